"""Forwards calls to services, at most once where the note demands it."""

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
from cranberryrelay.codes import ExecutionState, Failure, ResultCode, fail
from cranberryrelay.entry._actor import CoreActor
from cranberryrelay.entry._context import IdentifiedRequest
from cranberryrelay.entry._exchange import MILLISECONDS_PER_SECOND
from cranberryrelay.entry._messages import (
    ReleaseUpstream,
    ReserveCall,
    SelectUpstream,
    SettleReservation,
)
from cranberryrelay.notes import ServiceRule
from cranberryrelay.wire import request_whole

IDEMPOTENCY_KEY_HEADER: Final = 'idempotency-key'
SERVICE_PREFIX: Final = '/services/'

# Largest answer of a service, in bytes.
ANSWER_BYTES_LIMIT: Final = 4_000_000
_NOT_SENT_ERRORS: Final = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.PoolTimeout,
)


class ServiceCall(NamedTuple):
    """A call to a service with the service's rule."""

    # The request and its caller.
    identified: IdentifiedRequest

    # The service's rule in the note.
    rule: ServiceRule

    # Method and path within the service, such as 'POST /renewals'.
    route: str

    # The Idempotency-Key; empty if the caller sent none.
    key: str


def resolve_service_call(
    identified: IdentifiedRequest,
) -> Result[ServiceCall, Failure]:
    """Look up the service and check the caller's permission and key.

    Errors: ``ROUTE_UNKNOWN``, ``KIND_NOT_ALLOWED``,
    ``IDEMPOTENCY_KEY_MISSING``.
    """
    incoming = identified.admitted.incoming
    rest = incoming.path.removeprefix(SERVICE_PREFIX)
    name, _, path = rest.partition('/')
    rule = identified.admitted.notes.services.get(name)
    if rule is None:
        return Err(fail(ResultCode.ROUTE_UNKNOWN, f'unknown service {name}'))
    if name not in identified.caller.services:
        detail = f'caller {identified.caller.name} may not use service {name}'
        return Err(fail(ResultCode.KIND_NOT_ALLOWED, detail))
    route = f'{incoming.method} /{path}'
    key = incoming.headers.get(IDEMPOTENCY_KEY_HEADER, '')
    if route in rule.at_most_once_calls and not key:
        detail = f'{route} needs an Idempotency-Key header'
        return Err(fail(ResultCode.IDEMPOTENCY_KEY_MISSING, detail))
    return Ok(ServiceCall(identified, rule, route, key))


async def run_call(
    call: ServiceCall, actor: CoreActor, client: httpx.AsyncClient
) -> Result[Outcome, Failure]:
    """Run a call; one that must run at most once is reserved first."""
    if call.route not in call.rule.at_most_once_calls:
        return await _dispatch(call, actor, client)
    command = _make_reserve_command(call)
    reservation_result = await actor.ask(command)
    if reservation_result.is_err():
        return Err(reservation_result.unwrap_err())
    reserved: Reserved = reservation_result.unwrap()
    if reserved.verdict is Verdict.REPLAY and reserved.outcome:
        return Ok(reserved.outcome)
    if reserved.verdict is not Verdict.RUN:
        return Err(_make_refusal(reserved.verdict))
    outcome = await _dispatch(call, actor, client)
    recorded = _outcome_to_record(outcome)
    if recorded is not None:
        await actor.tell(
            SettleReservation(command.key_digest, command.attempt_id, recorded)
        )
    return outcome


def _outcome_to_record(outcome: Result[Outcome, Failure]) -> Outcome | None:
    """Return the outcome for the ledger; None if it is unresolved."""
    if isinstance(outcome, Ok):
        ended = outcome.unwrap()
        return ended._replace(body=ended.body[:OUTCOME_BYTES_LIMIT])
    if outcome.unwrap_err().ran is ExecutionState.NOT_RUN:
        return Outcome(0, '', b'')
    return None


async def _dispatch(
    call: ServiceCall, actor: CoreActor, client: httpx.AsyncClient
) -> Result[Outcome, Failure]:
    selection = await actor.ask(SelectUpstream(call.rule.name))
    if selection.is_err():
        return Err(selection.unwrap_err())
    upstream: UpstreamView = selection.unwrap()
    try:
        return await _send(call, upstream, client)
    finally:
        await actor.tell(ReleaseUpstream(upstream.name))


async def _send(
    call: ServiceCall, upstream: UpstreamView, client: httpx.AsyncClient
) -> Result[Outcome, Failure]:
    method, _, path = call.route.partition(' ')
    incoming = call.identified.admitted.incoming
    headers = {'X-Request-Id': call.identified.admitted.request_id_text}
    if call.key:
        headers['Idempotency-Key'] = call.key
    try:
        answer = await request_whole(
            client,
            method,
            f'http://{upstream.address}/call{path}',
            ANSWER_BYTES_LIMIT,
            content=incoming.body,
            headers=headers,
            timeout=call.rule.timeout_ms / MILLISECONDS_PER_SECOND,
        )
    except _NOT_SENT_ERRORS as unsent:
        detail = f'{upstream.name}: {unsent!r}'
        return Err(
            fail(ResultCode.UPSTREAM_FAILED, detail, ExecutionState.NOT_RUN)
        )
    except httpx.HTTPError as error:
        detail = (
            f'{upstream.name}: {error!r}; outcome unresolved, ask the service'
        )
        return Err(fail(ResultCode.UPSTREAM_TIMEOUT, detail))
    media_type = answer.headers.get('content-type', 'text/plain')
    return Ok(Outcome(answer.status, media_type, answer.body))


def _make_reserve_command(call: ServiceCall) -> ReserveCall:
    caller = call.identified.caller.name
    body = call.identified.admitted.incoming.body
    return ReserveCall(
        key_digest=_digest(f'{caller}\n{call.key}'.encode()),
        call_digest=_digest(f'{call.rule.name} {call.route}\n'.encode() + body),
        attempt_id=uuid.uuid4().hex,
    )


def _make_refusal(verdict: Verdict) -> Failure:
    if verdict is Verdict.MISMATCH:
        detail = 'the key was used for another call; use a new key'
        return fail(ResultCode.IDEMPOTENCY_KEY_REUSED, detail)
    detail = 'an earlier attempt is running or unresolved; ask the service'
    return fail(ResultCode.EARLIER_ATTEMPT_UNRESOLVED, detail)


def _digest(text: bytes) -> str:
    return hashlib.sha256(text).hexdigest()
