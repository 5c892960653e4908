"""Turns errors that nobody expected into failures with a log line."""

import logging

from cranberryrelay.codes import ExecutionState, Failure, ResultCode, fail

_LOG = logging.getLogger('cranberryrelay.relay')


def record_unexpected(
    error: Exception, request_id: str, *, is_sent: bool
) -> Failure:
    """Log an error with its traceback; return the failure of the request.

    ``is_sent`` tells whether an upstream may have got the request.
    """
    _LOG.error(
        'unexpected error',
        exc_info=error,
        extra={'request_id': request_id, 'is_sent': is_sent},
    )
    ran = ExecutionState.MAY_HAVE_RUN if is_sent else ExecutionState.NOT_RUN
    return fail(ResultCode.INTERNAL_ERROR, repr(error), ran)
