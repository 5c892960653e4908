"""The hypothesis profile of all tests: the same verdict at every run."""

from hypothesis import HealthCheck, settings

EXAMPLES = 40
STEPS = 25
STEADY = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=EXAMPLES,
    stateful_step_count=STEPS,
    suppress_health_check=list(HealthCheck),
)
