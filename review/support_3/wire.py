"""A small HTTP/1.1 server and client for the stand-ins, on asyncio streams."""

import asyncio
import json
import socket
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qsl, unquote

Answer = tuple[int, Any]
Handler = Callable[["Request"], Awaitable[Answer | None]]


class Request:
    """A request with its decoded query and body."""

    def __init__(self, method: str, target: str, headers: dict[str, str], body: bytes) -> None:
        path, _, query = target.partition("?")
        self.method, self.path = method, unquote(path)
        self.query = dict(parse_qsl(query, keep_blank_values=True))
        self.headers = headers
        self.body = json.loads(body) if body else {}


class Server:
    """Serves one address; a handler that returns ``None`` leaves the call unanswered."""

    def __init__(self, handler: Handler, host: str = "127.0.0.1", port: int = 0) -> None:
        self.handler, self.host, self.port = handler, host, port
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """The address as ``host:port``."""
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        """Listens; a server that was stopped gets the port that it had."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, backlog=1024, reuse_address=True
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Resets all connections and refuses new ones, as when the process ends."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while request := await _read_request(reader):
                answer = await self.handler(request)
                if answer is None:  # this connection returns nothing further
                    await reader.read()
                    return
                status, content = answer
                body = json.dumps(content).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


async def _read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while (row := await reader.readline()) not in (b"\r\n", b""):
        name, _, value = row.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    return line.decode("latin-1").strip(), headers


async def _read_request(reader: asyncio.StreamReader) -> Request | None:
    head = await _read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ", 2)
    body = await reader.readexactly(int(head[1].get("content-length", 0)))
    return Request(method, target, head[1], body)


async def call(
    address: str,
    method: str,
    path: str,
    *,
    headers: dict[str, str],
    body: Any = None,
    timeout_s: float,
) -> tuple[int, Any]:
    """Sends a request on a connection of its own.

    :return: the status and the decoded body; status 0 without an answer.
    """
    content = json.dumps(body).encode() if body is not None else b""
    lines = [f"{method} {path} HTTP/1.1", "Connection: close"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body is not None:
        lines += ["Content-Type: application/json", f"Content-Length: {len(content)}"]
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + content)
            await writer.drain()
            head = await _read_head(reader)
            if head is None:
                return 0, None
            status = int(head[0].split(" ")[1])
            text = await reader.readexactly(int(head[1].get("content-length", 0)))
            return status, json.loads(text) if text else None
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, None
    finally:
        if writer is not None:
            writer.close()


def pick_ports(host: str, count: int) -> list[int]:
    """Returns ports of an address that are free at this moment."""
    sockets = [socket.create_server((host, 0)) for _ in range(count)]
    ports = [bound.getsockname()[1] for bound in sockets]
    for bound in sockets:
        bound.close()
    return ports
