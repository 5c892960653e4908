"""Authenticated sockets between processes and the codec of their messages."""

from cranberryrelay.wire._addresses import is_address as is_address
from cranberryrelay.wire._authentication import ZAP_ADDRESS as ZAP_ADDRESS
from cranberryrelay.wire._authentication import Authenticator as Authenticator
from cranberryrelay.wire._authentication import (
    open_authenticator as open_authenticator,
)
from cranberryrelay.wire._byte_stream import ByteStream as ByteStream
from cranberryrelay.wire._client import INBOX_LIMIT as INBOX_LIMIT
from cranberryrelay.wire._client import PeerClient as PeerClient
from cranberryrelay.wire._client import open_peer_client as open_peer_client
from cranberryrelay.wire._codec import Codec as Codec
from cranberryrelay.wire._codec import Message as Message
from cranberryrelay.wire._codec import make_codec as make_codec
from cranberryrelay.wire._keep_alive import (
    KEEP_ALIVE_OPTIONS as KEEP_ALIVE_OPTIONS,
)
from cranberryrelay.wire._kept_connections import (
    KeptConnectionTransport as KeptConnectionTransport,
)
from cranberryrelay.wire._kept_connections import (
    UnsentRequestError as UnsentRequestError,
)
from cranberryrelay.wire._limited_answers import (
    AnswerTooLargeError as AnswerTooLargeError,
)
from cranberryrelay.wire._limited_answers import WholeAnswer as WholeAnswer
from cranberryrelay.wire._limited_answers import request_whole as request_whole
from cranberryrelay.wire._network import PeerNetwork as PeerNetwork
from cranberryrelay.wire._network import open_peer_network as open_peer_network
from cranberryrelay.wire._plain_values import INTEGER_MAX as INTEGER_MAX
from cranberryrelay.wire._plain_values import find_fault as find_fault
from cranberryrelay.wire._sockets import FRAME_BYTES_LIMIT as FRAME_BYTES_LIMIT
from cranberryrelay.wire._sockets import HIGH_WATER_MARK as HIGH_WATER_MARK
from cranberryrelay.wire._sockets import CurveKeys as CurveKeys
from cranberryrelay.wire._sockets import FrameSocket as FrameSocket
from cranberryrelay.wire._sockets import make_keys as make_keys
from cranberryrelay.wire._sockets import open_context as open_context
from cranberryrelay.wire._sockets import open_dealer as open_dealer
from cranberryrelay.wire._sockets import open_router as open_router
