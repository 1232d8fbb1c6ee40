"""What a script saw, in the order of time."""

from pathlib import Path
from time import monotonic


class Record:
    """Collects lines with their time since the start, and writes them to ``record.txt``."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self._started_s = monotonic()
        self._lines: list[str] = []

    def now_s(self) -> float:
        """Returns the time since the start."""
        return monotonic() - self._started_s

    def note(self, text: str) -> None:
        """Adds a line."""
        self._lines.append(f"{self.now_s():8.3f} {text}")

    def write(self) -> None:
        """Writes all lines."""
        self._path.write_text("\n".join(self._lines) + "\n", encoding="utf-8")
