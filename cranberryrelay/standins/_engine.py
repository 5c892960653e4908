"""Stand-in for a model engine: batching, priorities, prefix cache and faults.

The answer is a deterministic function of the prompt, so a caller can check
that an answer is complete and belongs to its request.
"""

import hashlib
from collections import OrderedDict
from collections.abc import AsyncIterator, Mapping
from typing import Final, NamedTuple

import trio
from result import Err, Ok, Result

from cranberryrelay.agreement import EngineOrder, OrderOutcome
from cranberryrelay.codes import Failure, ResultCode, fail

CHARACTERS_PER_TOKEN: Final = 4
CACHED_PREFIX_LIMIT: Final = 256
PREFIX_CHARACTERS: Final = 256
_WORD_COUNT: Final = 1000


class EngineSpeed(NamedTuple):
    """Speed and capacity of an engine."""

    # Prompt tokens prefilled per second.
    prefill_tokens_per_second: float = 20_000

    # Duration of one decode step, in seconds.
    step_seconds: float = 0.01

    # Number of requests decoded concurrently.
    slots: int = 16

    # Duration of a role change or of loading models, in seconds.
    order_seconds: float = 0.5


class EngineFaults(NamedTuple):
    """Faults that an engine injects."""

    # Prompts that contain this text crash the engine; empty for none.
    crash_on: str = ''

    # Running answers stall at the next decode step and never end.
    hang: bool = False

    # Delay before the prefill of each request, in seconds.
    late_seconds: float = 0

    # Answers have an exchange id that differs from the request's.
    crossed: bool = False

    # Orders with an outdated fencing token are executed.
    ignore_fencing: bool = False

    # Number of upcoming orders that take effect but get no answer.
    lost_order_answers: int = 0

    # Downtime after a crash, in seconds.
    down_seconds: float = 1.0


class GenerateRequest(NamedTuple):
    """A request to generate a range of tokens of an answer."""

    # Id of this attempt, different for each attempt.
    exchange: str

    # Name of the model, which must be loaded.
    model: str

    # Text of the prompt.
    prompt: str

    # Position of the first token; above 0 to resume an answer.
    start: int

    # Position after the last token.
    end: int

    # Priority in the queue; a lower number is served first.
    priority: int

    # Scope of prefix reuse; requests share a cached prefix only within it.
    cache_scope: str

    # Engine to import the KV cache of the prompt from; empty for none.
    kv_from: str = ''


class TokenEvent(NamedTuple):
    """One token of an answer, or the end of it."""

    # Id of the attempt.
    exchange: str

    # Position of the token in the answer, from 0.
    position: int

    # Text of the token; empty in the last event.
    text: str

    # True in the last event, which follows the last token.
    done: bool = False


class EngineCrashedError(Exception):
    """The engine crashed while it ran a request."""


class EngineStandIn:
    """A simulated model engine with a priority queue and a prefix cache."""

    def __init__(self, name: str, speed: EngineSpeed) -> None:
        self.name = name
        self.speed = speed
        self.faults = EngineFaults()
        self.role = 'mixed'
        self.models: Mapping[str, str] = {}
        self.fencing_token = 0
        self.executed_orders: list[EngineOrder] = []
        self.running: dict[str, GenerateRequest] = {}
        self.waiting: list[tuple[int, int, GenerateRequest]] = []
        self.queue_changed = trio.Event()
        self.arrival_count = 0
        self.incarnation = 0
        self.down_until = float('-inf')
        self.interrupted_count = 0
        self.crash_count = 0
        self.cached_prefixes: OrderedDict[str, int] = OrderedDict()
        self.prefill_backlog = 0
        self.kv_import_count = 0
        self.order_in_progress = False

    def switch_faults(self, switches: Mapping[str, object]) -> None:
        """Set the named fault switches; the others keep their values."""
        self.faults = self.faults._replace(**switches)  # type: ignore[arg-type]

    def is_down(self) -> bool:
        """Return whether the engine is restarting after a crash."""
        return trio.current_time() < self.down_until

    def crash(self) -> None:
        """Drop requests, models and caches; be down for ``down_seconds``."""
        self.crash_count += 1
        self.incarnation += 1
        self.running.clear()
        self.waiting.clear()
        self.cached_prefixes.clear()
        self.prefill_backlog = 0
        self.models = {}
        self.down_until = trio.current_time() + self.faults.down_seconds
        self._wake_waiting()

    async def generate(
        self, request: GenerateRequest
    ) -> AsyncIterator[TokenEvent]:
        """Yield the tokens of an answer.

        Raises ``EngineCrashedError`` if the engine crashes meanwhile.
        """
        try:
            async for event in self._run_request(request):
                yield event
        finally:
            self._remove_request(request)

    async def execute_order(
        self, order: EngineOrder
    ) -> Result[OrderOutcome, Failure]:
        """Execute an order; idempotent.

        Errors: ``ORDER_FENCED``, ``UPSTREAM_TIMEOUT`` for a lost answer.
        """
        if order.token < self.fencing_token and not self.faults.ignore_fencing:
            return Err(
                fail(
                    ResultCode.ORDER_FENCED,
                    f'token is older than {self.fencing_token}',
                )
            )
        self.fencing_token = max(self.fencing_token, order.token)
        unchanged = (order.role, order.models) == (self.role, self.models)
        if not unchanged:
            await self._apply_order(order)
        if self.faults.lost_order_answers > 0:
            remaining = self.faults.lost_order_answers - 1
            self.switch_faults({'lost_order_answers': remaining})
            return Err(fail(ResultCode.UPSTREAM_TIMEOUT, 'lost answer'))
        return Ok(OrderOutcome.DONE)

    def count_prefill_tokens(self) -> int:
        """Return the number of prompt tokens not yet prefilled."""
        return self.prefill_backlog

    async def _run_request(
        self, request: GenerateRequest
    ) -> AsyncIterator[TokenEvent]:
        incarnation = self.incarnation
        await self._wait_for_slot(request, incarnation)
        await self._prefill(request, incarnation)
        exchange = self._response_exchange(request)
        for position in range(request.start, request.end):
            await self._decode_step(incarnation)
            text = make_token_text(request.prompt, position)
            yield TokenEvent(exchange, position, text)
        yield TokenEvent(exchange, request.end, '', done=True)

    def _remove_request(self, request: GenerateRequest) -> None:
        self.running.pop(request.exchange, None)
        self.waiting = [
            queued for queued in self.waiting if queued[2] != request
        ]
        self._wake_waiting()

    async def _apply_order(self, order: EngineOrder) -> None:
        incarnation = self.incarnation
        self.interrupted_count += len(self.running) + len(self.waiting)
        self.executed_orders.append(order)
        self.order_in_progress = True
        await trio.sleep(self.speed.order_seconds)
        self.order_in_progress = False
        if incarnation != self.incarnation:
            return
        self.role = order.role
        self.models = dict(order.models)
        self.cached_prefixes.clear()

    async def _wait_for_slot(
        self, request: GenerateRequest, incarnation: int
    ) -> None:
        self.arrival_count += 1
        queued = (request.priority, self.arrival_count, request)
        self.waiting.append(queued)
        self.waiting.sort(key=lambda item: item[:2])
        self.prefill_backlog += count_tokens(request.prompt)
        while self._must_wait(queued):
            queue_changed = self.queue_changed
            await queue_changed.wait()
            self._raise_if_crashed(incarnation)
        self._raise_if_crashed(incarnation)
        self.waiting.pop(0)
        self.running[request.exchange] = request

    def _must_wait(self, queued: tuple[int, int, GenerateRequest]) -> bool:
        is_first = bool(self.waiting) and self.waiting[0] == queued
        return not is_first or len(self.running) >= self.speed.slots

    async def _prefill(
        self, request: GenerateRequest, incarnation: int
    ) -> None:
        self._wake_waiting()
        if self.faults.late_seconds:
            await trio.sleep(self.faults.late_seconds)
        tokens = count_tokens(request.prompt)
        key = f'{request.cache_scope}/{request.prompt[:PREFIX_CHARACTERS]}'
        uncached_tokens = tokens - min(self.cached_prefixes.get(key, 0), tokens)
        if request.kv_from:
            self.kv_import_count += 1
            uncached_tokens = 0
        await trio.sleep(uncached_tokens / self.speed.prefill_tokens_per_second)
        self._raise_if_crashed(incarnation)
        self.prefill_backlog = max(self.prefill_backlog - tokens, 0)
        if self.faults.crash_on and self.faults.crash_on in request.prompt:
            self.crash()
            raise EngineCrashedError(self.name)
        self.cached_prefixes[key] = tokens
        while len(self.cached_prefixes) > CACHED_PREFIX_LIMIT:
            self.cached_prefixes.popitem(last=False)

    async def _decode_step(self, incarnation: int) -> None:
        await trio.sleep(self.speed.step_seconds)
        if self.faults.hang:
            await trio.sleep_forever()
        self._raise_if_crashed(incarnation)

    def _raise_if_crashed(self, incarnation: int) -> None:
        if incarnation != self.incarnation or self.is_down():
            raise EngineCrashedError(self.name)

    def _response_exchange(self, request: GenerateRequest) -> str:
        if self.faults.crossed:
            return f'crossed-{request.exchange}'
        return request.exchange

    def _wake_waiting(self) -> None:
        self.queue_changed.set()
        self.queue_changed = trio.Event()


def count_tokens(text: str) -> int:
    """Return the number of tokens that the engine counts in a text."""
    return len(text) // CHARACTERS_PER_TOKEN + 1


def make_token_text(prompt: str, position: int) -> str:
    """Return the text of one token of the answer to a prompt."""
    digest = hashlib.sha256(f'{prompt}/{position}'.encode()).digest()
    number = int.from_bytes(digest[:4], 'big') % _WORD_COUNT
    return f'w{number} '


def make_answer_text(prompt: str, token_count: int) -> str:
    """Return the first ``tokens`` tokens of the answer to a prompt."""
    return ''.join(
        make_token_text(prompt, position) for position in range(token_count)
    )
