"""A budget for retries, so that failures can not multiply the load."""

from typing import Final

RETRY_RATIO: Final = 0.1
RETRY_RESERVE: Final = 3.0
RETRY_TOKENS_LIMIT: Final = 20.0
ATTEMPTS_LIMIT: Final = 3


class RetryBudget:
    """Retries earned by first attempts, by caller and rank."""

    def __init__(self) -> None:
        self.tokens: dict[tuple[str, str], float] = {}

    def earn(self, caller: str, rank: str) -> None:
        """Count a first attempt."""
        known = self.tokens.get((caller, rank), RETRY_RESERVE)
        self.tokens[(caller, rank)] = min(
            known + RETRY_RATIO, RETRY_TOKENS_LIMIT
        )

    def allow(
        self, caller: str, rank: str, attempts: int, *, crashed: bool
    ) -> bool:
        """Tell if a request may be tried again after so many attempts.

        The first time that an engine ends under a request draws nothing from
        the budget: it can happen to no more requests than the engine ran.
        """
        if attempts >= ATTEMPTS_LIMIT:
            return False
        if crashed and attempts == 1:
            return True
        return self.spend(caller, rank)

    def spend(self, caller: str, rank: str) -> bool:
        """Take one retry; False when the budget is spent."""
        known = self.tokens.get((caller, rank), RETRY_RESERVE)
        if known < 1:
            return False
        self.tokens[(caller, rank)] = known - 1
        return True
