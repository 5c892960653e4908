"""Serving over HTTP."""

from cranberryrelay.serving._http_server import CarefulApp as CarefulApp
from cranberryrelay.serving._http_server import HttpPlace as HttpPlace
from cranberryrelay.serving._http_server import send_to_end as send_to_end
from cranberryrelay.serving._http_server import serve_http as serve_http
