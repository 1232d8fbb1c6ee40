"""Clients that send what no client inside the limits sends, and what a process spends on them."""

import socket
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from pathlib import Path
from subprocess import Popen
from time import sleep

SEND_TIMEOUT_S = 10.0
SENDERS = 16
IDLE_CHECKS, IDLE_CHECK_S, IDLE_TICKS = 60, 0.5, 10  # of 10 ms
START = b"POST {path} HTTP/1.1\r\nHost: jobs.example\r\n"
SHORT_LINE = b"a:\r\n"
LONG_HEAD = START + SHORT_LINE * 15_000  # with the rest of the head below 64 KB
LEGAL_HEAD = LONG_HEAD + b"Content-Length: 9\r\n\r\n"
CHUNKED_HEAD = START + b"Transfer-Encoding: chunked\r\n\r\n"
LARGE_BYTES = 1_600_000

STREAMS: dict[str, bytes] = {
    "nothing": b"",
    "a head of many short lines, and no body": LEGAL_HEAD,
    "a head of many short lines that never ends": LONG_HEAD,
    "17 requests with many short lines": LEGAL_HEAD + (b"{}       " + LEGAL_HEAD) * 16,
    "a head over the limit in short lines": START + SHORT_LINE * (LARGE_BYTES // 4),
    "a head over the limit in one line": START + b"a: " + b"x" * LARGE_BYTES,
    "a target without end": b"GET /" + b"x" * LARGE_BYTES,
    "empty lines without end": b"\r\n" * (LARGE_BYTES // 2),
    "trailers without end in short lines": CHUNKED_HEAD + b"0\r\n" + SHORT_LINE * 500_000,
    "trailers without end in one line": CHUNKED_HEAD + b"0\r\na: " + b"x" * LARGE_BYTES,
    "a chunk extension without end": CHUNKED_HEAD + b"1;" + b"x" * LARGE_BYTES,
    "a body of 262,144 bytes without its last": START
    + b"Content-Length: 262144\r\n\r\n"
    + b"x" * 262_143,
    "a head of 4,000 short lines, and no body": START
    + SHORT_LINE * 3_900
    + b"Content-Length: 9\r\n\r\n",
    "a body of 8,000,000 bytes without its last": START
    + b"Content-Length: 8000000\r\n\r\n"
    + b"x" * 7_999_999,
    "20,000 small requests": b"GET / HTTP/1.1\r\n\r\n" * 20_000,
    "20,000 small requests for the metrics": b"GET /metrics HTTP/1.1\r\n\r\n" * 20_000,
    "bytes without sense": bytes(range(128, 256)) * 2_000,
}


class Crowd:
    """Connections that have each sent one of the streams, and stay open.

    :param count: number of connections.
    :param path: path of the requests.
    """

    def __init__(self, address: tuple[str, int], stream: str, count: int, path: str) -> None:
        self._sockets: list[socket.socket] = []
        data = STREAMS[stream].replace(b"{path}", path.encode())
        with ThreadPoolExecutor(SENDERS) as senders:
            for _ in range(count):
                senders.submit(self._send, address, data)

    def close(self) -> None:
        """Closes the connections."""
        for connection in self._sockets:
            connection.close()

    def _send(self, address: tuple[str, int], data: bytes) -> None:
        with suppress(OSError):  # a server may refuse or cut off such a client
            connection = socket.create_connection(address, timeout=SEND_TIMEOUT_S)
            self._sockets.append(connection)
            connection.sendall(data)


def read_peak_mb(process_id: int) -> float:
    """Returns the largest resident memory that a process has had."""
    lines = Path(f"/proc/{process_id}/status").read_text().splitlines()
    return next(int(line.split()[1]) / 1024 for line in lines if line.startswith("VmHWM:"))


def count_descriptors(process_id: int) -> int:
    """Returns the number of open descriptors of a process."""
    return len(list(Path(f"/proc/{process_id}/fd").iterdir()))


def check_lives(process: Popen, memory_mb: int, descriptors: int) -> None:
    """Checks that a process runs and has stayed within its memory and its descriptors."""
    assert process.poll() is None, process.returncode
    peak_mb, open_descriptors = read_peak_mb(process.pid), count_descriptors(process.pid)
    seen = f"{peak_mb:.0f} MB, {open_descriptors} descriptors"
    assert peak_mb <= memory_mb and open_descriptors <= descriptors, seen


def wait_until_idle(process_id: int) -> None:
    """Waits until a process uses little processor time, so that it has read what it was sent."""
    for _ in range(IDLE_CHECKS):
        before = _read_processor_ticks(process_id)
        sleep(IDLE_CHECK_S)
        if _read_processor_ticks(process_id) - before <= IDLE_TICKS:
            return


def _read_processor_ticks(process_id: int) -> int:
    fields = Path(f"/proc/{process_id}/stat").read_text().rpartition(")")[2].split()
    return int(fields[11]) + int(fields[12])
