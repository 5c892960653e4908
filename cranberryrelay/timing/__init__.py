"""Timer service: clocks, sleeps and periodic ticks."""

from cranberryrelay.timing._timer_service import TimerService as TimerService
from cranberryrelay.timing._timer_service import limit_time as limit_time
from cranberryrelay.timing._timer_service import (
    open_timer_service as open_timer_service,
)
from cranberryrelay.timing._timer_service import read_clock as read_clock
