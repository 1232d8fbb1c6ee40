"""A minimal HTTP/1.1 server and client for the stand-ins; standard library only."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qsl, urlsplit

REASON = "Answer"


class NoAnswerError(Exception):
    """The call gets no answer, and its connection returns nothing further."""


class ResetError(Exception):
    """The connection is reset without an answer."""


@dataclass(frozen=True, slots=True)
class Request:
    """A received request."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Answer:
    """A response; ``status`` is 0 if there was none."""

    status: int
    content: dict[str, Any] = field(default_factory=dict)


Handler = Callable[[Request], Awaitable[Answer]]


class Server:
    """Serves one handler on one listening address, over persistent connections."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.port = 0

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Listens; port 0 picks a free one."""
        self._server = await asyncio.start_server(self._serve, host, port, backlog=512)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Closes the listening socket and resets all connections, as the end of a process does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for task in list(self._tasks):
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while (request := await _read_request(reader)) is not None:
                writer.write(_encode_answer(await self._handler(request)))
                await writer.drain()
        except NoAnswerError:
            with suppress(ConnectionError):
                while await reader.read(65_536):
                    pass
        except (ConnectionError, ResetError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.transport.abort()


async def _read_request(reader: asyncio.StreamReader) -> Request | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ", 2)
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    content = await reader.readexactly(int(headers.get("content-length", "0")))
    parts = urlsplit(target)
    body = json.loads(content) if content else {}
    return Request(method, parts.path, dict(parse_qsl(parts.query)), headers, body)


def _encode_answer(answer: Answer) -> bytes:
    body = json.dumps(answer.content).encode()
    head = f"HTTP/1.1 {answer.status} {REASON}\r\nContent-Type: application/json\r\n"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


async def call(
    address: tuple[str, int],
    method: str,
    path: str,
    body: dict[str, Any] | None = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 10.0,
) -> Answer:
    """Sends one request on a connection of its own; an answer of status 0 means there was none."""
    try:
        async with asyncio.timeout(timeout_s):
            return await _call(address, method, path, body, headers or {})
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return Answer(0)


async def _call(
    address: tuple[str, int],
    method: str,
    path: str,
    body: dict[str, Any] | None,
    headers: dict[str, str],
) -> Answer:
    reader, writer = await asyncio.open_connection(*address)
    try:
        content = json.dumps(body).encode() if body is not None else b""
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body is not None:
            lines += ["Content-Type: application/json", f"Content-Length: {len(content)}"]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + content)
        await writer.drain()
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        status = int(head[0].split(" ")[1])
        length = 0
        for line in head[1:]:
            name, _, value = line.partition(":")
            if name.strip().lower() == "content-length":
                length = int(value)
        answer = await reader.readexactly(length)
        return Answer(status, json.loads(answer) if answer else {})
    finally:
        writer.transport.abort()
