"""Lease for sending orders to engines, held in one record of the store.

A term starts with a conditional update of the record that increments its
fencing token; clocks of instances are never compared.  The holder sends orders
only within ``READ_VALID_SECONDS`` after sending a read that returned its own
record.  After each update of the record the new holder waits until the last
order of any former holder is older than the required separation.  It also
waits if the record held its own name, since that earlier term may not have
begun.  So orders of two holders are at least the separation apart, even if the
former holder was paused anywhere between its read and its order's deadline.

A store that is restored from an older copy loses terms.  A term therefore ends
with the era of the store in which it began, and fencing tokens of a later era
are higher.  A missing record does not prove that there was no earlier term.
"""

import logging
from typing import Any, Final, NamedTuple

from result import Err, Ok, Result

from cranberryrelay.codes import Failure, ResultCode, fail
from cranberryrelay.relay._records import (
    STORE_ORIGIN,
    KindRecord,
    RecordStore,
)
from cranberryrelay.timing import TimerService

LEASE_KIND: Final = 'relay-leases'
LEASE_NAME: Final = 'roles'

# Orders may be sent for this long after sending a read that confirmed the
# lease.
READ_VALID_SECONDS: Final = 0.8

# Timeout of an order, and so the longest time that it can be in transit.
ORDER_TIMEOUT_SECONDS: Final = 0.6
WAIT_MARGIN_SECONDS: Final = 0.3

# Fencing tokens of one era of the store. Tokens stay below 2**53 for two
# million eras, so that every JSON decoder reads them exactly.
TOKENS_PER_ERA: Final = 4_294_967_296

# Content of a lease record that nobody has held yet.
NO_HOLDER: Final = ''
NO_TOKEN: Final = 0
_LOG: Final = logging.getLogger('cranberryrelay.relay')


class LeaseTerm(NamedTuple):
    """A term of the lease held by this instance."""

    # Fencing token of the orders in this term; increases with each term.
    token: int

    # Era of the store in which the term was written.
    era: int

    # Local clock time before which no order may be sent, in seconds.
    begins_at: float


class OrderLease:
    """Acquires and verifies the lease; must be used by one task only."""

    def __init__(
        self,
        store: RecordStore,
        timers: TimerService,
        holder: str,
        separation_seconds: float,
    ) -> None:
        self.store = store
        self.timers = timers
        self.holder = holder
        self.takeover_wait_seconds = (
            separation_seconds
            + READ_VALID_SECONDS
            + ORDER_TIMEOUT_SECONDS
            + WAIT_MARGIN_SECONDS
        )
        self.term: LeaseTerm | None = None
        self.verified_at = float('-inf')
        self.malformed_at = STORE_ORIGIN

    async def acquire(self) -> Result[int, Failure]:
        """Acquire or verify the lease and return its fencing token.

        Errors: ``LEASE_LOST`` while orders of a former holder may be too
        recent, and those of the store.
        """
        sent_at = self.timers.now()
        found = await self.store.read(LEASE_KIND, LEASE_NAME)
        if isinstance(found, Err):
            if found.unwrap_err().code is ResultCode.STORE_NOT_FOUND:
                return await self._create()
            return found
        record = found.unwrap()
        if not self._is_own(record):
            return await self._take_over(record)
        if self.term is None or sent_at < self.term.begins_at:
            return Err(
                fail(ResultCode.LEASE_LOST, 'the lease term has not begun')
            )
        self.verified_at = sent_at
        return Ok(self.term.token)

    def may_send_order(self) -> bool:
        """Return whether the lease was verified recently enough to send."""
        if self.term is None:
            return False
        return self.timers.now() - self.verified_at < READ_VALID_SECONDS

    def invalidate(self) -> None:
        """Drop the term after an engine reported a higher fencing token."""
        self.term = None

    def log_malformed(self, record: KindRecord) -> None:
        """Log a malformed record once each time that it was written.

        It is not taken over, as the last fencing token is not known.
        """
        if record.position > self.malformed_at:
            self.malformed_at = record.position
            extra = {'record': record.name, 'position': record.position}
            _LOG.error('malformed lease record: no orders', extra=extra)

    def _is_own(self, record: KindRecord) -> bool:
        fields = _decode_record(record.value)
        own = self.term
        if own is None or fields is None:
            return False
        same_era = own.era == record.position.era
        return same_era and fields == (self.holder, own.token)

    async def _create(self) -> Result[int, Failure]:
        """Create the record to learn the store's era, then take it over."""
        created = await self.store.create(
            LEASE_KIND, LEASE_NAME, _encode_record(NO_HOLDER, NO_TOKEN)
        )
        if isinstance(created, Err):
            return created
        return await self._take_over(created.unwrap())

    async def _take_over(self, record: KindRecord) -> Result[int, Failure]:
        fields = _decode_record(record.value)
        if fields is None:
            detail = f'the lease record {LEASE_NAME} is malformed'
            self.log_malformed(record)
            return Err(fail(ResultCode.FRAME_MALFORMED, detail))
        era = record.position.era
        token = max(fields[1], era * TOKENS_PER_ERA) + 1
        value = _encode_record(self.holder, token)
        replaced = await self.store.replace(
            LEASE_KIND, record._replace(value=value)
        )
        if isinstance(replaced, Err):
            return replaced
        if replaced.unwrap().position.era != era:
            detail = 'the store was restored while the lease was written'
            return Err(fail(ResultCode.LEASE_LOST, detail))
        return self._start_term(token, era)

    def _start_term(self, token: int, era: int) -> Result[int, Failure]:
        begins_at = self.timers.now() + self.takeover_wait_seconds
        self.term = LeaseTerm(token, era, begins_at)
        _LOG.info(
            'lease acquired',
            extra={
                'token': token,
                'era': era,
                'wait_seconds': self.takeover_wait_seconds,
            },
        )
        return Err(fail(ResultCode.LEASE_LOST, 'the lease term has not begun'))


def _encode_record(holder: str, token: int) -> dict[str, Any]:
    return {'holder': holder, 'token': token}


def _decode_record(value: Any) -> tuple[str, int] | None:
    if not isinstance(value, dict):
        return None
    holder = value.get('holder')
    token = value.get('token')
    if isinstance(holder, str) and isinstance(token, int):
        return holder, token
    return None
