"""Reads reports of engines and sends orders to them."""

from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from http import HTTPStatus
from types import MappingProxyType
from typing import Annotated, Final

import httpx
import msgspec
from result import Err, Ok, Result

from cranberryrelay.codes import Failure, ResultCode, fail
from cranberryrelay.platform._dialect import TargetDialect
from cranberryrelay.platform._json_parts import decode_json
from cranberryrelay.relay import (
    ORDER_TIMEOUT_SECONDS,
    EngineReport,
    MetadataObserver,
    OrderOutcome,
    ResponseMetadata,
    Role,
    RoleOrder,
    Upstream,
)
from cranberryrelay.timing import limit_time
from cranberryrelay.wire import (
    INTEGER_MAX,
    KeptConnectionTransport,
    WholeAnswer,
    request_whole,
)

# Largest report of an engine, or answer to an order, in bytes.
ANSWER_BYTES_LIMIT: Final = 1_000_000

_EXPECT_INSTANCE: Final = 'X-Cranberryrelay-Expect-Instance'
_OUTCOMES_BY_STATUS: Final[Mapping[int, OrderOutcome]] = MappingProxyType(
    {
        HTTPStatus.OK: OrderOutcome.ACCEPTED,
        HTTPStatus.ACCEPTED: OrderOutcome.ACCEPTED,
        HTTPStatus.CONFLICT: OrderOutcome.CONFLICT,
        HTTPStatus.PRECONDITION_FAILED: OrderOutcome.FENCED,
    }
)


class _Report(msgspec.Struct, frozen=True):
    # Role of the engine.
    stage: str = ''
    # True while the engine executes an order.
    busy: bool = False
    # Orders accepted; the store's record uses the name in another sense.
    sequence: Annotated[int, msgspec.Meta(ge=0, le=INTEGER_MAX)] = 0


class TargetEngineControl:
    """Calls engines over HTTP; stateless but for the client."""

    def __init__(self, client: httpx.AsyncClient) -> None:
        self.client = client
        self.dialect = TargetDialect()

    async def report(
        self, engine: Upstream, observe: MetadataObserver
    ) -> Result[EngineReport, Failure]:
        """Request the report of an engine; errors: ``UPSTREAM_FAILED``."""
        sent = await self.send(
            'GET',
            f'http://{engine.address}/v1/report',
            {_EXPECT_INSTANCE: engine.name},
        )
        if isinstance(sent, Err):
            return sent
        response = sent.unwrap()
        observe(self.parse(response))
        if response.status != HTTPStatus.OK:
            detail = f'{engine.name}: status {response.status}'
            return Err(fail(ResultCode.UPSTREAM_FAILED, detail))
        return decode_report(response.body)

    async def order(
        self, order: RoleOrder, observe: MetadataObserver
    ) -> Result[OrderOutcome, Failure]:
        """Send an order to an engine and return its reply.

        Errors: ``UPSTREAM_FAILED``; the engine may still execute the order.
        """
        document = {
            'op': 'stage',
            'stage': order.role.value,
            'holder': order.holder,
            'fencing_token': order.token,
            'expect': order.orders_accepted,
        }
        sent = await self.send(
            'POST',
            f'http://{order.engine.address}/v1/order',
            {
                'Content-Type': 'application/json',
                _EXPECT_INSTANCE: order.engine.name,
            },
            msgspec.json.encode(document),
        )
        if isinstance(sent, Err):
            return sent
        response = sent.unwrap()
        observe(self.parse(response))
        return Ok(
            _OUTCOMES_BY_STATUS.get(response.status, OrderOutcome.REFUSED)
        )

    async def send(
        self,
        method: str,
        url: str,
        headers: dict[str, str],
        content: bytes = b'',
    ) -> Result[WholeAnswer, Failure]:
        """Make a call; ends in limited time, however slowly bytes arrive.

        Errors: ``UPSTREAM_FAILED``, also if the answer is too large.
        """
        with limit_time(ORDER_TIMEOUT_SECONDS):
            try:
                return Ok(
                    await request_whole(
                        self.client,
                        method,
                        url,
                        ANSWER_BYTES_LIMIT,
                        headers=headers,
                        content=content,
                    )
                )
            except httpx.HTTPError as error:
                return Err(fail(ResultCode.UPSTREAM_FAILED, repr(error)))
        detail = f'{url}: no answer within {ORDER_TIMEOUT_SECONDS} s'
        return Err(fail(ResultCode.UPSTREAM_FAILED, detail))

    def parse(self, response: WholeAnswer) -> ResponseMetadata:
        """Return what the headers of a response say of the engine."""
        return self.dialect.parse_response(
            response.status, response.headers.raw
        )


def decode_report(body: bytes) -> Result[EngineReport, Failure]:
    """Decode the report of an engine; errors: ``UPSTREAM_FAILED``."""
    decoded = decode_json(body, _Report)
    if isinstance(decoded, Err):
        detail = decoded.unwrap_err().detail
        return Err(fail(ResultCode.UPSTREAM_FAILED, detail))
    report: _Report = decoded.unwrap()
    try:
        role = Role(report.stage)
    except ValueError as error:
        return Err(fail(ResultCode.UPSTREAM_FAILED, str(error)))
    return Ok(EngineReport(role, report.busy, report.sequence))


@asynccontextmanager
async def open_engine_control() -> AsyncIterator[TargetEngineControl]:
    """Open an HTTP client for reports and orders."""
    async with httpx.AsyncClient(
        timeout=ORDER_TIMEOUT_SECONDS,
        transport=KeptConnectionTransport(
            httpx.Limits(max_keepalive_connections=0)
        ),
        trust_env=False,
    ) as client:
        yield TargetEngineControl(client)
