"""A store of the platform whose answers arrive in pieces, on a loopback socket of the test."""

import asyncio
import json
from base64 import b64encode
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from urllib.parse import parse_qs, urlsplit

PIECES = 20


class SlowStore:
    """Answers reads and watches; each answer is sent in pieces with pauses between them.

    :ivar values: the keys with their values and revisions.
    :ivar history: all changes, in their order.
    :ivar configuration_s: time that each configuration in an answer adds to ``duration_s``.
    :ivar sent_versions: number of configurations in each answer.
    :ivar duration_s: time from the first to the last piece.
    :ivar hides_changes: whether watches report no changes.
    :ivar sent_pieces: number of pieces that are sent; the connection then stays silent.
    """

    def __init__(self, duration_s: float, sent_pieces: int = PIECES) -> None:
        self.values: dict[str, tuple[bytes, int]] = {}
        self.history: list[tuple[str, bytes, int]] = []
        self.revision = 1
        self.duration_s = duration_s
        self.sent_pieces = sent_pieces
        self.hides_changes = False
        self.configuration_s = 0.0
        self.sent_versions = [0]
        self.address = ""
        self.watched = asyncio.Event()
        self._changed = asyncio.Event()
        self._connections: set[asyncio.Task[None]] = set()

    def put(self, key: str, value: bytes) -> None:
        """Writes a key and ends the watches."""
        self.revision += 1
        self.values[key] = (value, self.revision)
        self.history.append((key, value, self.revision))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    @asynccontextmanager
    async def serve(self):
        """Serves within the context."""
        async with AsyncExitStack() as stack:
            server = await asyncio.start_server(self._serve_connection, "127.0.0.1", 0)
            stack.callback(server.close)
            self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
            stack.callback(self._end_connections)
            yield self

    def _end_connections(self) -> None:
        for task in self._connections:
            task.cancel()

    async def _serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._connections.add(asyncio.current_task())
        try:
            while request := (await reader.readuntil(b"\r\n\r\n")).decode():
                content = await self._answer(urlsplit(request.split(" ")[1]))
                await self._send(writer, json.dumps(content).encode())
        except (asyncio.IncompleteReadError, ConnectionError):
            pass  # the client has closed the connection
        finally:
            writer.close()

    async def _answer(self, target) -> dict:
        query = {name: values[0] for name, values in parse_qs(target.query).items()}
        prefix = query["prefix"]
        if target.path == "/-/kv-range":
            after = query.get("after", "")
            rows = [(key, value, rev) for key, (value, rev) in sorted(self.values.items())]
            items = [row for row in rows if row[0].startswith(prefix) and row[0] > after]
            return {"items": self._encode(items), "store-revision": self.revision}
        self.watched.set()
        with suppress(TimeoutError):
            async with asyncio.timeout(int(query["wait-ms"]) / 1000):
                while not (events := self._list_changes(prefix, int(query["after"]))):
                    await self._changed.wait()
        return {"events": self._encode(events), "store-revision": self.revision}

    def _list_changes(self, prefix: str, after: int) -> list[tuple[str, bytes, int]]:
        if self.hides_changes:
            return []
        return [row for row in self.history if row[0].startswith(prefix) and row[2] > after]

    def _encode(self, rows: list[tuple[str, bytes, int]]) -> list[dict]:
        self.sent_versions.append(sum(key == "op/config" for key, _, _ in rows))
        return [
            {"key": key, "value": b64encode(value).decode(), "rev": revision}
            for key, value, revision in rows
        ]

    async def _send(self, writer: asyncio.StreamWriter, body: bytes) -> None:
        data = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
        if len(body) < PIECES * 4:  # without entries; such an answer fits one packet
            writer.write(data)
            return
        size = -(-len(data) // PIECES)
        duration_s = self.duration_s + self.configuration_s * self.sent_versions[-1]
        for number in range(self.sent_pieces):
            writer.write(data[number * size : (number + 1) * size])
            await writer.drain()
            await asyncio.sleep(duration_s / PIECES)
        if self.sent_pieces < PIECES:
            await asyncio.Event().wait()
