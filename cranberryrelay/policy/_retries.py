"""Retry budget, so that failures do not multiply the load.

The budget is a token bucket per caller and rank: each first attempt adds
``RETRY_RATIO`` tokens, each retry that is charged takes one.
"""

from typing import Final

RETRY_RATIO: Final = 0.1
INITIAL_RETRY_TOKENS: Final = 3.0
RETRY_TOKENS_LIMIT: Final = 20.0
ATTEMPTS_LIMIT: Final = 3


class RetryBudget:
    """Limits retries in proportion to first attempts, by caller and rank."""

    def __init__(self) -> None:
        self.tokens: dict[tuple[str, str], float] = {}

    def record_first_attempt(self, caller: str, rank: str) -> None:
        """Add the tokens for a first attempt."""
        tokens = self.tokens.get((caller, rank), INITIAL_RETRY_TOKENS)
        self.tokens[(caller, rank)] = min(
            tokens + RETRY_RATIO, RETRY_TOKENS_LIMIT
        )

    def allow_retry(
        self,
        caller: str,
        rank: str,
        attempts: int,
        *,
        crashed: bool,
        not_run: bool = False,
    ) -> bool:
        """Return whether a request may be retried; takes a token if needed.

        ``attempts`` is the number of attempts made so far; ``crashed`` is true
        if the last one failed because its engine ended, ``not_run`` if it is
        proved that the engine did not run it.  The retry of a first attempt
        that failed in one of these ways takes no token: the engine does no
        work for it any more, and there is one such retry a request at most.
        """
        if attempts >= ATTEMPTS_LIMIT:
            return False
        if attempts == 1 and (crashed or not_run):
            return True
        return self.take_token(caller, rank)

    def take_token(self, caller: str, rank: str) -> bool:
        """Take a token for a retry; return False if none is left."""
        tokens = self.tokens.get((caller, rank), INITIAL_RETRY_TOKENS)
        if tokens < 1:
            return False
        self.tokens[(caller, rank)] = tokens - 1
        return True
