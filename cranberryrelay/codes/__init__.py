"""Numbered result codes and the error value ``Failure``."""

from cranberryrelay.codes._result_code import CODE_TABLE as CODE_TABLE
from cranberryrelay.codes._result_code import CodeEntry as CodeEntry
from cranberryrelay.codes._result_code import ExecutionState as ExecutionState
from cranberryrelay.codes._result_code import Failure as Failure
from cranberryrelay.codes._result_code import ResultCode as ResultCode
from cranberryrelay.codes._result_code import fail as fail
