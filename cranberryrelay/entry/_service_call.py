"""The filters that pass a call to a service, at most once where asked."""

import hashlib
import uuid
from typing import Final, NamedTuple

import httpx
from result import Err, Ok, Result

from cranberryrelay.agreement import (
    OUTCOME_BYTES_LIMIT,
    Outcome,
    Reserved,
    UpstreamView,
    Verdict,
)
from cranberryrelay.codes import Failure, Ran, ResultCode, fail
from cranberryrelay.entry._actor import EntryLink
from cranberryrelay.entry._context import Identified
from cranberryrelay.entry._exchange import MILLISECONDS
from cranberryrelay.entry._messages import (
    AskService,
    Book,
    CloseBooking,
    EndService,
)
from cranberryrelay.notes import ServiceRule

KEY_HEADER: Final = 'idempotency-key'
SERVICE_PREFIX: Final = '/services/'
_NOT_SENT: Final = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.PoolTimeout,
)


class ServiceCall(NamedTuple):
    """A call of a service whose rule is known."""

    # The request and its caller.
    identified: Identified

    # The service's rule in the note.
    rule: ServiceRule

    # Method and path within the service, such as 'POST /renewals'.
    route: str

    # The Idempotency-Key; empty if there is none.
    key: str


def find_call(identified: Identified) -> Result[ServiceCall, Failure]:
    """Find the service and whether the call may be repeated.

    Errors: ``ROUTE_UNKNOWN``, ``KIND_NOT_ALLOWED``,
    ``IDEMPOTENCY_KEY_MISSING``.
    """
    incoming = identified.pinned.incoming
    rest = incoming.path.removeprefix(SERVICE_PREFIX)
    name, _, path = rest.partition('/')
    rule = identified.pinned.notes.services.get(name)
    if rule is None:
        return Err(fail(ResultCode.ROUTE_UNKNOWN, f'no service {name}'))
    if name not in identified.caller.services:
        detail = f'{identified.caller.name} may not use {name}'
        return Err(fail(ResultCode.KIND_NOT_ALLOWED, detail))
    route = f'{incoming.method} /{path}'
    key = incoming.headers.get(KEY_HEADER, '')
    if route in rule.once and not key:
        detail = f'{route} needs an Idempotency-Key header'
        return Err(fail(ResultCode.IDEMPOTENCY_KEY_MISSING, detail))
    return Ok(ServiceCall(identified, rule, route, key))


async def run_call(
    call: ServiceCall, link: EntryLink, client: httpx.AsyncClient
) -> Result[Outcome, Failure]:
    """Run a call; one that may not be repeated is booked before."""
    if call.route not in call.rule.once:
        return await _dispatch(call, link, client)
    book = _make_book(call)
    booked = await link.ask(book)
    if booked.is_err():
        return Err(booked.unwrap_err())
    reserved: Reserved = booked.unwrap()
    if reserved.verdict is Verdict.REPLAY and reserved.outcome:
        return Ok(reserved.outcome)
    if reserved.verdict is not Verdict.RUN:
        return Err(_refuse(reserved.verdict))
    outcome = await _dispatch(call, link, client)
    closing = _closing_outcome(outcome)
    if closing is not None:
        await link.tell(CloseBooking(book.key, book.exchange, closing))
    return outcome


def _closing_outcome(outcome: Result[Outcome, Failure]) -> Outcome | None:
    """Return what the ledger is to keep; None while that is not known."""
    if isinstance(outcome, Ok):
        ended = outcome.unwrap()
        return ended._replace(body=ended.body[:OUTCOME_BYTES_LIMIT])
    if outcome.unwrap_err().ran is Ran.NOT_RUN:
        return Outcome(0, '', b'')
    return None


async def _dispatch(
    call: ServiceCall, link: EntryLink, client: httpx.AsyncClient
) -> Result[Outcome, Failure]:
    chosen = await link.ask(AskService(call.rule.name))
    if chosen.is_err():
        return Err(chosen.unwrap_err())
    upstream: UpstreamView = chosen.unwrap()
    try:
        return await _send(call, upstream, client)
    finally:
        await link.tell(EndService(upstream.name))


async def _send(
    call: ServiceCall, upstream: UpstreamView, client: httpx.AsyncClient
) -> Result[Outcome, Failure]:
    method, _, path = call.route.partition(' ')
    incoming = call.identified.pinned.incoming
    headers = {'X-Request-Id': call.identified.pinned.name}
    if call.key:
        headers['Idempotency-Key'] = call.key
    try:
        response = await client.request(
            method,
            f'http://{upstream.address}/call{path}',
            content=incoming.body,
            headers=headers,
            timeout=call.rule.timeout_ms / MILLISECONDS,
        )
    except _NOT_SENT as unsent:
        detail = f'{upstream.name}: {unsent!r}'
        return Err(fail(ResultCode.UPSTREAM_FAILED, detail, Ran.NOT_RUN))
    except httpx.HTTPError as error:
        detail = f'{upstream.name}: {error!r}; ask the service what it did'
        return Err(fail(ResultCode.UPSTREAM_TIMEOUT, detail))
    media_type = response.headers.get('content-type', 'text/plain')
    return Ok(Outcome(response.status_code, media_type, response.content))


def _make_book(call: ServiceCall) -> Book:
    caller = call.identified.caller.name
    body = call.identified.pinned.incoming.body
    return Book(
        key=_digest(f'{caller}\n{call.key}'.encode()),
        call=_digest(f'{call.rule.name} {call.route}\n'.encode() + body),
        exchange=uuid.uuid4().hex,
    )


def _refuse(verdict: Verdict) -> Failure:
    if verdict is Verdict.MISMATCH:
        detail = 'use a new key for another call'
        return fail(ResultCode.IDEMPOTENCY_KEY_REUSED, detail)
    detail = 'it is running, or its outcome was lost; ask the service'
    return fail(ResultCode.EARLIER_ATTEMPT_UNRESOLVED, detail)


def _digest(text: bytes) -> str:
    return hashlib.sha256(text).hexdigest()
