"""Errors of the streams, in addition to those of :mod:`berylproxy.peers.membership`."""

from berylproxy.peers.membership import PeerError, PeerUnreachableError


class PeerSettingsError(PeerError):
    """The settings of the streams are invalid or contradict each other."""

    code = "peer_settings_invalid"


class PeerAddressUnavailableError(PeerError):
    """The address can't be listened on."""

    code = "peer_address_unavailable"


class PeerProtocolError(PeerError):
    """The other side sent something malformed, unknown or too large."""

    code = "peer_protocol_error"


class PeerHandshakeError(PeerError):
    """The other side is not a daemon of this cluster."""

    code = "peer_handshake_failed"


class PeerVersionUnsupportedError(PeerHandshakeError):
    """The two sides have no protocol version in common."""

    code = "peer_version_unsupported"


class PeerMessageTooLargeError(PeerUnreachableError):
    """The message is larger than the other side accepts and was not sent."""

    code = "peer_message_too_large"


class PeerRequestRefusedError(PeerError):
    """The other daemon answered a request with an error.

    :param code: the code of the error raised there.
    """

    code = "peer_request_refused"

    def __init__(self, code: str, message: str, *, retry_after_s: float | None = None) -> None:
        super().__init__(message, retry_after_s=retry_after_s)
        self.code = code


class PeerReplyUndeliverableError(PeerError):
    """The request was handled, but its reply is too large or the stream's send queue is full."""

    code = "peer_reply_undeliverable"


class PeerOverloadedError(PeerError):
    """The daemon already handles the maximum number of requests of this stream."""

    code = "peer_overloaded"
