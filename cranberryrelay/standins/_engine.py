"""A stand-in for a model engine: batches, priorities, cache and faults.

The answer is a fixed function of the prompt, so anybody can tell whether
an answer is whole and belongs to its request.
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
CACHE_PREFIXES: Final = 256
PREFIX_CHARACTERS: Final = 256
_WORD_COUNT: Final = 1000


class EngineSpeed(NamedTuple):
    """How fast the stand-in works."""

    # Prompt tokens prefilled in a second.
    prefill_tokens_per_second: float = 20_000

    # Time of one decode step, in seconds.
    step_seconds: float = 0.01

    # Sequences decoded at once.
    slots: int = 16

    # Time that a role change or a load takes, in seconds.
    order_seconds: float = 0.5


class EngineFaults(NamedTuple):
    """Fault switches of an engine."""

    # Prompts that hold this text crash the engine; empty for none.
    crash_on: str = ''

    # Answers stop after the next token and never end.
    hang: bool = False

    # Delay before each answer begins, in seconds.
    late_seconds: float = 0

    # Answers carry the exchange id of another request.
    crossed: bool = False

    # Orders with an old fencing token are obeyed.
    ignore_fencing: bool = False

    # Number of next orders that take effect but are not answered.
    lost_order_answers: int = 0

    # Time for which the engine is down after a crash, in seconds.
    down_seconds: float = 1.0


class GenerateRequest(NamedTuple):
    """A request for tokens."""

    # Fresh id of this attempt.
    exchange: str

    # Model, which must be loaded.
    model: str

    # The prompt.
    prompt: str

    # First token wanted; above 0 to resume an answer.
    start: int

    # One above the last token wanted.
    end: int

    # Lower is more urgent.
    priority: int

    # Prefix reuse stays within one scope.
    cache_scope: str

    # Engine that has the KV cache of the prompt, to import; empty for none.
    kv_from: str = ''


class TokenEvent(NamedTuple):
    """One token of an answer."""

    # Id of the attempt.
    exchange: str

    # Number of the token, from 0.
    position: int

    # Text of the token; empty in the last event.
    text: str

    # True in the last event, which follows the last token.
    done: bool = False


class EngineCrashedError(Exception):
    """The engine crashed while it ran a request."""


class EngineStandIn:
    """A model engine in memory."""

    def __init__(self, name: str, speed: EngineSpeed) -> None:
        self.name = name
        self.speed = speed
        self.faults = EngineFaults()
        self.role = 'mixed'
        self.models: Mapping[str, str] = {}
        self.token = 0
        self.obeyed: list[EngineOrder] = []
        self.running: dict[str, GenerateRequest] = {}
        self.waiting: list[tuple[int, int, GenerateRequest]] = []
        self.turn = trio.Event()
        self.arrivals = 0
        self.incarnation = 0
        self.down_until = float('-inf')
        self.cut = 0
        self.crashes = 0
        self.cached: OrderedDict[str, int] = OrderedDict()
        self.prefill_backlog = 0
        self.imports = 0
        self.ordering = False

    def switch_faults(self, switches: Mapping[str, object]) -> None:
        """Change the named fault switches."""
        self.faults = self.faults._replace(**switches)  # type: ignore[arg-type]

    def is_down(self) -> bool:
        """Tell if the engine is restarting after a crash."""
        return trio.current_time() < self.down_until

    def crash(self) -> None:
        """Lose all that runs, and be down for a while."""
        self.crashes += 1
        self.incarnation += 1
        self.running.clear()
        self.waiting.clear()
        self.cached.clear()
        self.prefill_backlog = 0
        self.models = {}
        self.down_until = trio.current_time() + self.faults.down_seconds
        self._wake()

    async def generate(
        self, request: GenerateRequest
    ) -> AsyncIterator[TokenEvent]:
        """Yield the tokens of an answer; raises if the engine crashes."""
        try:
            async for event in self._run(request):
                yield event
        finally:
            self._leave(request)

    async def obey(self, order: EngineOrder) -> Result[OrderOutcome, Failure]:
        """Carry out an order; the same order again changes nothing.

        Errors: ``ORDER_FENCED``, ``STORE_OUTCOME_UNKNOWN`` for a lost answer.
        """
        if order.token < self.token and not self.faults.ignore_fencing:
            return Err(fail(ResultCode.ORDER_FENCED, f'have {self.token}'))
        self.token = max(self.token, order.token)
        same = (order.role, order.models) == (self.role, self.models)
        if not same:
            await self._change(order)
        if self.faults.lost_order_answers > 0:
            left = self.faults.lost_order_answers - 1
            self.switch_faults({'lost_order_answers': left})
            return Err(fail(ResultCode.UPSTREAM_TIMEOUT, 'lost answer'))
        return Ok(OrderOutcome.DONE)

    def count_prefill_tokens(self) -> int:
        """Return the prompt tokens that are not prefilled yet."""
        return self.prefill_backlog

    async def _run(self, request: GenerateRequest) -> AsyncIterator[TokenEvent]:
        incarnation = self.incarnation
        await self._enter(request, incarnation)
        await self._prefill(request, incarnation)
        exchange = self._exchange_of(request)
        for position in range(request.start, request.end):
            await self._step(incarnation)
            text = token_text(request.prompt, position)
            yield TokenEvent(exchange, position, text)
        yield TokenEvent(exchange, request.end, '', done=True)

    def _leave(self, request: GenerateRequest) -> None:
        self.running.pop(request.exchange, None)
        self.waiting = [place for place in self.waiting if place[2] != request]
        self._wake()

    async def _change(self, order: EngineOrder) -> None:
        incarnation = self.incarnation
        self.cut += len(self.running) + len(self.waiting)
        self.obeyed.append(order)
        self.ordering = True
        await trio.sleep(self.speed.order_seconds)
        self.ordering = False
        if incarnation != self.incarnation:
            return
        self.role = order.role
        self.models = dict(order.models)
        self.cached.clear()

    async def _enter(self, request: GenerateRequest, incarnation: int) -> None:
        self.arrivals += 1
        place = (request.priority, self.arrivals, request)
        self.waiting.append(place)
        self.waiting.sort(key=lambda one: one[:2])
        self.prefill_backlog += count_tokens(request.prompt)
        while self._must_wait(place):
            turn = self.turn
            await turn.wait()
            self._check_alive(incarnation)
        self._check_alive(incarnation)
        self.waiting.pop(0)
        self.running[request.exchange] = request

    def _must_wait(self, place: tuple[int, int, GenerateRequest]) -> bool:
        first = bool(self.waiting) and self.waiting[0] == place
        return not first or len(self.running) >= self.speed.slots

    async def _prefill(
        self, request: GenerateRequest, incarnation: int
    ) -> None:
        self._wake()
        if self.faults.late_seconds:
            await trio.sleep(self.faults.late_seconds)
        tokens = count_tokens(request.prompt)
        key = f'{request.cache_scope}/{request.prompt[:PREFIX_CHARACTERS]}'
        uncached = tokens - min(self.cached.get(key, 0), tokens)
        if request.kv_from:
            self.imports += 1
            uncached = 0
        await trio.sleep(uncached / self.speed.prefill_tokens_per_second)
        self._check_alive(incarnation)
        self.prefill_backlog = max(self.prefill_backlog - tokens, 0)
        if self.faults.crash_on and self.faults.crash_on in request.prompt:
            self.crash()
            raise EngineCrashedError(self.name)
        self.cached[key] = tokens
        while len(self.cached) > CACHE_PREFIXES:
            self.cached.popitem(last=False)

    async def _step(self, incarnation: int) -> None:
        await trio.sleep(self.speed.step_seconds)
        if self.faults.hang:
            await trio.sleep_forever()
        self._check_alive(incarnation)

    def _check_alive(self, incarnation: int) -> None:
        if incarnation != self.incarnation or self.is_down():
            raise EngineCrashedError(self.name)

    def _exchange_of(self, request: GenerateRequest) -> str:
        if self.faults.crossed:
            return f'crossed-{request.exchange}'
        return request.exchange

    def _wake(self) -> None:
        self.turn.set()
        self.turn = trio.Event()


def count_tokens(text: str) -> int:
    """Return the number of tokens of a text, as engines count them."""
    return len(text) // CHARACTERS_PER_TOKEN + 1


def token_text(prompt: str, index: int) -> str:
    """Return the text of a token of the answer to a prompt."""
    seed = hashlib.sha256(f'{prompt}/{index}'.encode()).digest()
    number = int.from_bytes(seed[:4], 'big') % _WORD_COUNT
    return f'w{number} '


def whole_answer(prompt: str, tokens: int) -> str:
    """Return the whole answer to a prompt."""
    return ''.join(token_text(prompt, index) for index in range(tokens))
