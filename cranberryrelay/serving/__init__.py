"""HTTP server on h11 for ASGI apps."""

from cranberryrelay.serving._exchange import ON_DISCONNECT as ON_DISCONNECT
from cranberryrelay.serving._http_connection import App as App
from cranberryrelay.serving._http_server import (
    DEFAULT_HEAD_SECONDS as DEFAULT_HEAD_SECONDS,
)
from cranberryrelay.serving._http_server import (
    HttpServerOptions as HttpServerOptions,
)
from cranberryrelay.serving._http_server import serve_http as serve_http
from cranberryrelay.serving._unanswered import EndReason as EndReason
from cranberryrelay.serving._unanswered import UnansweredLog as UnansweredLog
from cranberryrelay.serving._unanswered import (
    UnansweredRequest as UnansweredRequest,
)
