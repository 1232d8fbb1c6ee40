"""Steps that send raw HTTP/1.1 to the small HTTP server, which runs on a loop in a thread."""

import asyncio
import gc
import socket
import ssl
import threading
from asyncio.sslproto import SSLProtocol
from contextlib import suppress
from time import monotonic, sleep
from unittest.mock import Mock

from behave import given, then, when

from berylproxy.http_limits import HttpLimits
from berylproxy.http_server import HttpServer, _Connection
from berylproxy.listeners import open_listener

TIMEOUT_S = 10.0
GRACEFUL_TIMEOUT_S = 0.5
LONG_KEEP_ALIVE_S = 60.0
PARTS, PART_BYTES = 40, 1_000_000
BODY_BYTES = 4_000_000


class ServedApplication:
    """Runs a server with one of the applications below.

    :ivar parts_sent: number of parts that the application has sent.
    :ivar request_began: set when a request has reached the application.
    :ivar request_ended: set when a request has ended in the application.
    :ivar all_answered: what the server has returned.
    """

    def __init__(
        self,
        name: str,
        keep_alive_s: float,
        limits: HttpLimits | None = None,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._tls = tls
        self.parts_sent = 0
        self.request_began = threading.Event()
        self.request_ended = threading.Event()
        self.all_answered: bool | None = None
        self._is_stopping = False
        self._answer = getattr(self, name)
        self._keep_alive_s = keep_alive_s
        self._limits = limits
        listener = open_listener("127.0.0.1:0")
        self.address = listener.getsockname()
        self._started = threading.Event()
        self._thread = threading.Thread(target=asyncio.run, args=(self._run(listener),))
        self._thread.start()
        assert self._started.wait(TIMEOUT_S)

    async def _run(self, listener: socket.socket) -> None:
        self._loop = asyncio.get_running_loop()
        self._stop, self._permit = asyncio.Event(), asyncio.Event()
        self._loop.call_soon(self._started.set)
        server = HttpServer(self._serve, self._keep_alive_s, limits=self._limits)
        self.all_answered = await server.serve(
            [listener], self._stop.wait, GRACEFUL_TIMEOUT_S, self._tls
        )

    def connect(self) -> socket.socket:
        """Opens a caller's connection."""
        return socket.create_connection(self.address, timeout=TIMEOUT_S)

    def stop(self) -> None:
        """Begins the planned stop."""
        self._is_stopping = True
        self._loop.call_soon_threadsafe(self._stop.set)

    def permit(self) -> None:
        """Lets the application that waits for it answer."""
        self._loop.call_soon_threadsafe(self._permit.set)

    def close(self) -> None:
        """Stops the server and waits for its end."""
        if not self._is_stopping:
            self.stop()
        self._thread.join(TIMEOUT_S)

    async def _serve(self, scope, receive, send) -> None:
        self.request_began.set()
        try:
            await self._answer(scope, receive, send)
        finally:
            self.request_ended.set()

    async def echo(self, scope, receive, send) -> None:
        body = b""
        while True:
            message = await receive()
            body += message["body"]
            if not message["more_body"]:
                break
        await respond(send, 200, body)

    async def fail(self, scope, receive, send) -> None:
        raise RuntimeError("this application always fails")

    async def wait_for_disconnection(self, scope, receive, send) -> None:
        while (await receive())["type"] != "http.disconnect":
            pass

    async def answer_early(self, scope, receive, send) -> None:
        await respond(send, 413, b"")

    async def stream(self, scope, receive, send) -> None:
        await send({"type": "http.response.start", "status": 200, "headers": []})
        for _ in range(PARTS):
            part = {"type": "http.response.body", "body": bytes(PART_BYTES), "more_body": True}
            await send(part)
            self.parts_sent += 1
        await send({"type": "http.response.body"})

    async def wait_for_permit(self, scope, receive, send) -> None:
        await self._permit.wait()
        await respond(send, 200, b"")


async def respond(send, status: int, body: bytes) -> None:
    await send({"type": "http.response.start", "status": status, "headers": []})
    await send({"type": "http.response.body", "body": body})


APPLICATIONS = {
    "echoes bodies": "echo",
    "fails": "fail",
    "waits for the disconnection": "wait_for_disconnection",
    "answers before the body": "answer_early",
    "sends 40 parts of a million bytes": "stream",
    "waits for a permit": "wait_for_permit",
}


def serve(
    context,
    name: str,
    keep_alive_s: float = LONG_KEEP_ALIVE_S,
    limits: HttpLimits | None = None,
) -> None:
    context.served = ServedApplication(APPLICATIONS[name], keep_alive_s, limits)
    context.add_cleanup(context.served.close)
    context.connection = context.served.connect()
    context.add_cleanup(context.connection.close)


def encode_request(body: bytes = b"", method: str = "POST", version: str = "1.1") -> bytes:
    head = f"{method} /x HTTP/{version}\r\nHost: h\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def read_until(connection: socket.socket, end: bytes) -> bytes:
    received = b""
    while not received.endswith(end):
        chunk = connection.recv(65_536)
        assert chunk, received
        received += chunk
    return received


def read_to_end(connection: socket.socket) -> bytes:
    received = bytearray()
    while chunk := connection.recv(1_000_000):
        received += chunk
    return bytes(received)


def check_status_and_end(connection: socket.socket, status: int) -> None:
    received = read_to_end(connection)
    assert received.startswith(b"HTTP/1.1 %d " % status), received[:200]


def check_told_to_come_back(connection: socket.socket) -> None:
    received = read_to_end(connection)
    assert received.startswith(b"HTTP/1.1 503 "), received
    assert b"\r\nretry-after: 1\r\n" in received, received


@given("an HTTP server with an application that {name} that closes idle connections")
def step_impl(context, name):
    serve(context, name, keep_alive_s=0.0)


@given("an HTTP server with an application that {name}")
def step_impl(context, name):
    serve(context, name)


@when("a caller sends three requests at once on one connection")
def step_impl(context):
    context.connection.sendall(b"".join(encode_request(body) for body in (b"one", b"two", b"3")))


@then("the caller receives the three bodies in order")
def step_impl(context):
    received = read_until(context.connection, b"\r\n\r\n3")
    assert received.index(b"\r\n\r\none") < received.index(b"\r\n\r\ntwo"), received


@when('a caller sends a chunked body after "100 Continue"')
def step_impl(context):
    head = b"POST /x HTTP/1.1\r\nExpect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\n"
    context.connection.sendall(head)
    assert read_until(context.connection, b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
    context.connection.sendall(b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")


@then("the caller receives the body whole")
def step_impl(context):
    assert b"content-length: 5\r\n" in read_until(context.connection, b"abcde")


@when("a caller sends bytes of any kind")
def step_impl(context):
    context.connection.sendall(b"\x00\x01 no HTTP \xff\r\n\r\n")


@when("a caller sends a request and then bytes of any kind")
def step_impl(context):
    context.connection.sendall(encode_request())
    assert context.served.request_began.wait(TIMEOUT_S)
    context.connection.sendall(b"\x00\x01 no HTTP \xff\r\n\r\n" * 100)


@when("a caller sends a request to switch to another protocol")
def step_impl(context):
    head = b"GET /x HTTP/1.1\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n"
    context.connection.sendall(head)
    assert context.served.request_began.wait(TIMEOUT_S)
    context.connection.sendall(b"\x81\x05hello")


@when("a caller sends a request whose second chunk has no size")
def step_impl(context):
    head = b"POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
    context.connection.sendall(head + b"3\r\nabc\r\nnone\r\n")


@when("the permit is given")
def step_impl(context):
    context.served.permit()


@when("a caller sends an endless head")
def step_impl(context):
    context.connection.sendall(b"GET / HTTP/1.1\r\n" + b"name: value\r\n" * 6_000)


@when("a caller sends a request")
def step_impl(context):
    context.connection.sendall(encode_request())


@when("a caller sends a request and disconnects")
def step_impl(context):
    context.connection.sendall(encode_request())
    context.connection.close()


@when("a caller sends a request and reads nothing")
def step_impl(context):
    context.connection.sendall(encode_request())


@when("a caller sends a request with a body of 4000000 bytes")
def step_impl(context):
    context.connection.sendall(encode_request(bytes(BODY_BYTES)))


@when("a caller sends the head of a request with a body")
def step_impl(context):
    context.connection.sendall(b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n")


@then("the response with status {status:d} says that the connection closes")
def step_impl(context, status):
    head = read_until(context.connection, b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 %d " % status), head
    assert b"\r\nconnection: close\r\n" in head, head


@when("a caller sends a HEAD request and then one of HTTP/1.0")
def step_impl(context):
    context.connection.sendall(encode_request(method="HEAD"))
    head = read_until(context.connection, b"\r\n\r\n")
    assert b"content-length: 0\r\n" in head, head
    context.connection.sendall(encode_request(b"ab", version="1.0"))


@when("the server is stopped, then the permit is given")
def step_impl(context):
    assert context.served.request_began.wait(TIMEOUT_S)
    context.served.stop()
    context.served.permit()


@when("the server is stopped")
def step_impl(context):
    assert context.served.request_began.wait(TIMEOUT_S)
    context.served.stop()


@when("a caller connects and sends nothing")
def step_impl(context):
    pass


@then("the caller receives status {status:d} and the end of the connection")
def step_impl(context, status):
    check_status_and_end(context.connection, status)


@then("another caller receives status {status:d} and the end of the connection")
def step_impl(context, status):
    with context.served.connect() as connection:
        connection.sendall(encode_request())
        check_status_and_end(connection, status)


@then("the application's request ends")
def step_impl(context):
    assert context.served.request_ended.wait(TIMEOUT_S)


@then("the application has not sent all parts")
def step_impl(context):
    assert not context.served.request_ended.wait(0.3)
    assert context.served.parts_sent < PARTS


@then("the caller then receives 40000000 bytes in chunks")
def step_impl(context):
    received, size = bytearray(), PARTS * PART_BYTES
    while not received.endswith(b"\r\n0\r\n\r\n"):
        received += context.connection.recv(1_000_000)
    assert received.count(b"\x00") == size, received.count(b"\x00")


@then("the first response has no body, and the connection ends after the second")
def step_impl(context):
    assert read_to_end(context.connection).endswith(b"\r\n\r\nab")


@then("the caller receives the end of the connection")
def step_impl(context):
    with suppress(ConnectionResetError):  # if the caller's request was cut off
        assert read_to_end(context.connection) == b""


@then("the server says that {amount} requests were answered")
def step_impl(context, amount):
    context.served.close()
    assert context.served.all_answered is (amount == "all"), context.served.all_answered


@given("an HTTP server that echoes bodies, with {max_bytes:d} bytes for requests")
def step_impl(context, max_bytes):
    serve(context, "echoes bodies", limits=HttpLimits(max_input_bytes=max_bytes))


@given("an HTTP server that echoes bodies, with {count:d} connections")
def step_impl(context, count):
    serve(context, "echoes bodies", limits=HttpLimits(max_connections=count))


def connect(context):
    connection = context.served.connect()
    context.add_cleanup(connection.close)
    return connection


def check_echo(connection, body: bytes) -> None:
    connection.sendall(encode_request(body))
    read_until(connection, b"\r\n\r\n" + body)


@when("two callers, one after the other, each send {count:d} bytes of a {part}")
def step_impl(context, count, part):
    head = b"POST /x HTTP/1.1\r\na: "
    if part == "body":
        head = b"POST /x HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % (count + 3)
    context.callers = [context.connection, connect(context)]
    for connection in context.callers:
        connection.sendall(head + b"x" * count)
        sleep(0.2)  # the second one begins later


@then("the first caller is told to come back, and its connection ends")
def step_impl(context):
    check_told_to_come_back(context.callers[0])


@then("the second caller is answered once its {part} is complete")
def step_impl(context, part):
    end = b"\r\nContent-Length: 3\r\n\r\nabc" if part == "head" else b"abc"
    context.callers[1].sendall(end)
    assert read_until(context.callers[1], b"abc").startswith(b"HTTP/1.1 200 ")


@when("a caller is answered, and then two callers connect")
def step_impl(context):
    check_echo(context.connection, b"one")
    context.callers = [context.connection]
    for _ in range(2):
        context.callers.append(connect(context))
        sleep(0.2)  # the server accepts them in this order


@then("the connection of the second caller ends")
def step_impl(context):
    with suppress(ConnectionResetError):
        assert read_to_end(context.callers[1]) == b""


@then("the first and the third caller are answered")
def step_impl(context):
    for connection in (context.callers[0], context.callers[2]):
        check_echo(connection, b"again")


@given("an HTTP server that sends 40 parts of a million bytes, with {count:d} connections")
def step_impl(context, count):
    name = "sends 40 parts of a million bytes"
    serve(context, name, limits=HttpLimits(max_connections=count))


@when("two callers send a request and read nothing")
def step_impl(context):
    for connection in (context.connection, connect(context)):
        connection.sendall(encode_request())
    sleep(0.5)  # until the responses fill the buffers


@then("a third caller is answered")
def step_impl(context):
    connection = connect(context)
    connection.sendall(encode_request())
    assert connection.recv(64).startswith(b"HTTP/1.1 200 ")


@when("a body of {size:d} bytes reaches a connection in one read")
def step_impl(context, size):
    context.received_bytes = 0

    async def read_body(scope, receive, send):
        has_more = True
        while has_more:
            message = await receive()
            context.received_bytes += len(message["body"])
            has_more = message["more_body"]
        await respond(send, 200, b"")

    async def play():
        transport = Mock()
        transport.is_closing.return_value = False
        transport.get_extra_info.return_value = ("127.0.0.1", 1)
        connection = _Connection(HttpServer(read_body, LONG_KEEP_ALIVE_S))
        connection.connection_made(transport)
        connection.data_received(encode_request(bytes(size)))
        async with asyncio.timeout(TIMEOUT_S):
            while not transport.write.called:  # noqa: ASYNC110
                await asyncio.sleep(0)

    asyncio.run(play())


@then("the application receives {size:d} bytes")
def step_impl(context, size):
    assert context.received_bytes == size, context.received_bytes


@given("an HTTP server that waits for a permit, with {max_bytes:d} bytes for requests")
def step_impl(context, max_bytes):
    serve(context, "waits for a permit", limits=HttpLimits(max_input_bytes=max_bytes))


@when("two callers, one after the other, send whole requests with a query of {count:d} bytes")
def step_impl(context, count):
    context.callers = [context.connection, connect(context)]
    for connection in context.callers:
        connection.sendall(b"GET /x?" + b"x" * count + b" HTTP/1.1\r\n\r\n")
        sleep(0.2)  # the second one comes later


@then("the second caller is told to come back")
def step_impl(context):
    check_told_to_come_back(context.callers[1])


@then("the first caller is answered once the permit is given")
def step_impl(context):
    context.served.permit()
    head = read_until(context.callers[0], b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200 "), head


@given("a TLS server of {most:d} connections at most, without garbage collection")
def step_tls_server(context, most):
    gc.collect()
    gc.disable()
    context.add_cleanup(gc.enable)
    tls = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    limits = HttpLimits(max_connections=most)
    context.served = ServedApplication("echo", LONG_KEEP_ALIVE_S, limits, tls)
    context.add_cleanup(context.served.close)


@when("{count:d} callers connect and send nothing")
def step_silent_callers(context, count):
    for _ in range(count):
        context.add_cleanup(context.served.connect().close)
        sleep(0.01)


@then("the server comes to hold the TLS buffers of {count:d} connections")
def step_tls_buffers(context, count):
    until_s = monotonic() + TIMEOUT_S
    while (held := sum(isinstance(item, SSLProtocol) for item in gc.get_objects())) > count:
        assert monotonic() < until_s, held
        sleep(0.05)
    assert held == count, held
