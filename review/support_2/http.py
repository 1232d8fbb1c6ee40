"""A small HTTP/1.1 server on asyncio, for the stand-ins."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qsl, unquote

REASON = {200: "OK"}


@dataclass(frozen=True, slots=True)
class Request:
    """A complete request.

    :param headers: by their name in lower case.
    :param body: the decoded JSON body; empty if there is none.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: dict[str, Any]


class AnswerLostError(Exception):
    """The request was carried out, and its answer never arrives."""


Handler = Callable[[Request], Awaitable[tuple[int, dict[str, Any]]]]


async def _read_request(reader: asyncio.StreamReader) -> Request | None:
    """Reads a request; ``None`` at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    method, target, _ = first.split(" ")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    data = await reader.readexactly(int(headers.get("content-length", "0")))
    path, _, query = target.partition("?")
    body = json.loads(data) if data else {}
    return Request(method, unquote(path), dict(parse_qsl(query)), headers, body)


async def start_server(host: str, port: int, handle: Handler) -> asyncio.Server:
    """Starts to serve requests; each connection carries one at a time."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await _read_request(reader)) is not None:
                status, content = await handle(request)
                data = json.dumps(content).encode()
                head = f"HTTP/1.1 {status} {REASON.get(status, '-')}\r\n"
                head += "Content-Type: application/json\r\n"
                head += f"Content-Length: {len(data)}\r\n\r\n"
                writer.write(head.encode() + data)
                await writer.drain()
        except AnswerLostError:
            await asyncio.sleep(3600)  # such a connection returns nothing further
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(serve, host, port, backlog=1024)
