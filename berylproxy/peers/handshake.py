"""The handshake that opens each stream: versions, identities and proof of the shared key.

Both sides send a :class:`Hello`; then the dialling side and after it the accepting side prove that
they have the key. A proof is an HMAC over the prover's role and the bytes of both hellos, which
contain both nonces and both identities.
"""

import hmac
from collections.abc import Awaitable, Callable
from hashlib import sha256
from secrets import token_bytes
from typing import TypeVar

from anyio import BrokenResourceError, ClosedResourceError, EndOfStream, fail_after
from anyio.abc import ByteStream
from anyio.streams.buffered import BufferedByteStream
from msgpack import packb
from msgspec import Struct

from berylproxy.models import DaemonIdentity
from berylproxy.peers.codec import FrameDecoder, MessageCodec, NoticeFrame
from berylproxy.peers.errors import (
    PeerHandshakeError,
    PeerProtocolError,
    PeerVersionUnsupportedError,
)
from berylproxy.peers.settings import MAX_KEYS, PeerSettings

PROTOCOL_VERSION = 1
OLDEST_PROTOCOL_VERSION = 1
NONCE_BYTES = 32
MAX_HANDSHAKE_BYTES = 2048
MAX_HANDSHAKE_ITEMS = 16
PROOF_LABEL = "berylproxy peer handshake"
DIALLER = "dialler"
ACCEPTOR = "acceptor"


class Hello(Struct, frozen=True):
    """The first message of either side.

    :param protocol_version: newest protocol version that the sender supports.
    :param oldest_protocol_version: oldest protocol version that the sender supports.
    """

    protocol_version: int
    oldest_protocol_version: int
    cluster: str
    identity: DaemonIdentity
    nonce: bytes


class Proof(Struct, frozen=True):
    """Proves that the sender has its shared keys, with one digest per key."""

    digests: tuple[bytes, ...]


class HandshakeRefusal(Struct, frozen=True):
    """The reason why the sender closes the stream, with the protocol versions it supports."""

    code: str
    message: str
    protocol_version: int
    oldest_protocol_version: int


HANDSHAKE_CODEC = MessageCodec((Hello, Proof, HandshakeRefusal))
Message = TypeVar("Message", Hello, Proof)
HelloBytes = tuple[bytes, bytes]  # as sent: the dialling side's, then the accepting side's
CheckIdentity = Callable[[DaemonIdentity], None]


class Handshake:
    """One side of the handshake on a new stream.

    :param check_identity: raises :class:`PeerHandshakeError` for an identity to be refused.
    :ivar stream: the stream to use after the handshake. It begins with what the other side has sent
        right after its last message, which may have arrived together with that.
    """

    def __init__(
        self,
        stream: ByteStream,
        identity: DaemonIdentity,
        settings: PeerSettings,
        check_identity: CheckIdentity,
    ) -> None:
        self.stream = BufferedByteStream(stream)
        self._settings = settings
        self._check_identity = check_identity
        self._decoder: FrameDecoder = HANDSHAKE_CODEC.make_decoder(
            MAX_HANDSHAKE_BYTES, MAX_HANDSHAKE_ITEMS, MAX_HANDSHAKE_BYTES
        )
        self._received_bytes = b""
        hello = Hello(
            PROTOCOL_VERSION,
            OLDEST_PROTOCOL_VERSION,
            settings.cluster,
            identity,
            token_bytes(NONCE_BYTES),
        )
        self._nonce = hello.nonce
        self._hello_bytes = HANDSHAKE_CODEC.encode(NoticeFrame(hello))

    async def dial(self) -> DaemonIdentity:
        """Runs the dialling side and returns the other side's identity.

        :raises PeerHandshakeError: if either side refuses, or on timeout.
        """
        return await self._run_with_timeout(self._dial)

    async def accept(self) -> DaemonIdentity:
        """Runs the accepting side and returns the other side's identity.

        :raises PeerHandshakeError: if either side refuses, or on timeout.
        """
        return await self._run_with_timeout(self._accept)

    async def _dial(self) -> DaemonIdentity:
        await self.stream.send(self._hello_bytes)
        peer_hello = await self._receive(Hello)
        hellos = (self._hello_bytes, self._received_bytes)
        await self._check_hello(peer_hello)
        await self._send(self._make_proof(DIALLER, hellos))
        await self._check_proof(await self._receive(Proof, is_last=True), ACCEPTOR, hellos)
        await self._verify_identity(peer_hello)
        return peer_hello.identity

    async def _accept(self) -> DaemonIdentity:
        peer_hello = await self._receive(Hello)
        hellos = (self._received_bytes, self._hello_bytes)
        await self._check_hello(peer_hello)
        await self.stream.send(self._hello_bytes)
        await self._check_proof(await self._receive(Proof), DIALLER, hellos)
        await self._verify_identity(peer_hello)
        await self._send(self._make_proof(ACCEPTOR, hellos))
        return peer_hello.identity

    async def _run_with_timeout(
        self, run_side: Callable[[], Awaitable[DaemonIdentity]]
    ) -> DaemonIdentity:
        try:
            with fail_after(self._settings.handshake_timeout_s):
                return await run_side()
        except TimeoutError as error:
            raise PeerHandshakeError("the handshake timed out") from error
        except (EndOfStream, BrokenResourceError, ClosedResourceError) as error:
            raise PeerHandshakeError("the stream ended during the handshake") from error
        except PeerProtocolError as error:
            raise PeerHandshakeError(f"the other side is not a daemon: {error.message}") from error

    async def _check_hello(self, peer_hello: Hello) -> None:
        if not _has_common_version(peer_hello):
            message = (
                f"no common protocol version: {OLDEST_PROTOCOL_VERSION} to {PROTOCOL_VERSION}"
                f" supported here, {peer_hello.oldest_protocol_version} to"
                f" {peer_hello.protocol_version} by the other side"
            )
            await self._refuse(PeerVersionUnsupportedError(message))
        if peer_hello.cluster != self._settings.cluster:
            await self._refuse(PeerHandshakeError("the other side belongs to another cluster"))
        if len(peer_hello.nonce) != NONCE_BYTES or peer_hello.nonce == self._nonce:
            await self._refuse(
                PeerHandshakeError("the nonce has a wrong length or repeats this side's own")
            )

    async def _check_proof(self, proof: Proof, role: str, hellos: HelloBytes) -> None:
        expected = [make_digest(key, role, hellos) for key in self._settings.keys]
        offered = proof.digests[:MAX_KEYS]
        matches = [hmac.compare_digest(mine, theirs) for mine in expected for theirs in offered]
        if any(matches) or (not expected and not offered):
            return
        await self._refuse(PeerHandshakeError("the other side has no shared key of this cluster"))

    async def _verify_identity(self, peer_hello: Hello) -> None:
        try:
            self._check_identity(peer_hello.identity)
        except PeerHandshakeError as error:
            await self._refuse(error)

    def _make_proof(self, role: str, hellos: HelloBytes) -> Proof:
        return Proof(tuple(make_digest(key, role, hellos) for key in self._settings.keys))

    async def _refuse(self, error: PeerHandshakeError) -> None:
        refusal = HandshakeRefusal(
            error.code, error.message, PROTOCOL_VERSION, OLDEST_PROTOCOL_VERSION
        )
        await self._send(refusal)
        raise error

    async def _send(self, message: object) -> None:
        await self.stream.send(HANDSHAKE_CODEC.encode(NoticeFrame(message)))

    async def _receive(self, message_type: type[Message], *, is_last: bool = False) -> Message:
        """Returns the next message.

        :param is_last: whether the other side may send messages of the open stream right after it;
            in any other case it has to wait for an answer first.
        """
        self._received_bytes = b""
        frame = None
        while frame is None:
            data = await self.stream.receive(MAX_HANDSHAKE_BYTES)
            self._received_bytes += data
            frame = next(self._decoder.feed(data), None)
        message = getattr(frame, "message", None)
        if isinstance(message, HandshakeRefusal):
            raise _make_error(message)
        rest = self._decoder.take_rest()
        if not isinstance(message, message_type) or (rest and not is_last):
            raise PeerProtocolError(f"expected one {message_type.__name__}")
        self.stream.feed_data(rest)
        return message


def make_digest(key: bytes, role: str, hellos: HelloBytes) -> bytes:
    """Computes the digest that proves one key for one role."""
    return hmac.new(key, packb((PROOF_LABEL, role, *hellos)), sha256).digest()


def _has_common_version(peer_hello: Hello) -> bool:
    newest = min(PROTOCOL_VERSION, peer_hello.protocol_version)
    return newest >= max(OLDEST_PROTOCOL_VERSION, peer_hello.oldest_protocol_version)


def _make_error(refusal: HandshakeRefusal) -> PeerHandshakeError:
    message = f"refused by the other side: {refusal.message}"
    if refusal.code != PeerVersionUnsupportedError.code:
        return PeerHandshakeError(message)
    supported = f"{refusal.oldest_protocol_version} to {refusal.protocol_version}"
    return PeerVersionUnsupportedError(f"{message} (it supports {supported})")
