"""The deterministic hypothesis profile that all tests use."""

from hypothesis import HealthCheck, settings

MAX_EXAMPLES = 40
STATEFUL_STEPS = 25
DETERMINISTIC_PROFILE = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=MAX_EXAMPLES,
    stateful_step_count=STATEFUL_STEPS,
    suppress_health_check=list(HealthCheck),
)
