"""Takes changes of the settings file into force while the daemon runs."""

from collections.abc import Callable
from dataclasses import dataclass, fields
from pathlib import Path

from anyio import Event, move_on_after
from logbook import Logger

from berylproxy.platform.settings import PlatformSettings, load_platform_settings
from berylproxy.settings import SettingsError

LOOK_INTERVAL_S = 1.0  # half of the shortest bound within which a change must hold
FIXED_FIELDS = frozenset(
    {
        "daemon_id",
        "failure_domain",
        "callers_address",
        "ready_address",
        "peer_address",
        "metrics_address",
    }
)

logger = Logger(__name__)


@dataclass(frozen=True, slots=True)
class SettingsChange:
    """What a new version of the settings changes.

    :param applied: names of the fields that take effect at once.
    :param held: names of the fields that take effect at the next start; connections hang on them.
    """

    applied: tuple[str, ...]
    held: tuple[str, ...]


def compare_settings(former: PlatformSettings, new: PlatformSettings) -> SettingsChange:
    """Lists the fields that differ."""
    names = [
        field.name
        for field in fields(PlatformSettings)
        if getattr(former, field.name) != getattr(new, field.name)
    ]
    return SettingsChange(
        tuple(name for name in names if name not in FIXED_FIELDS),
        tuple(name for name in names if name in FIXED_FIELDS),
    )


class SettingsReader:
    """Reads the file again on request, and when it has changed without one.

    A file that can't be read, or is wrong, changes nothing and is logged once.

    :param path: of the settings file.
    :param settings: those in force.
    :param apply: takes new settings; fields that are held until a start may differ in them.
    """

    def __init__(
        self,
        path: str,
        settings: PlatformSettings,
        apply: Callable[[PlatformSettings], None],
    ) -> None:
        self._path = path
        self._settings = settings
        self._apply = apply
        self._seen: bytes | None = None
        self._asked = Event()

    def ask(self) -> None:
        """Has the file read at once."""
        self._asked.set()

    async def run(self) -> None:
        """Looks after the file until cancelled."""
        self._seen = self._read_bytes()
        while True:
            with move_on_after(LOOK_INTERVAL_S):
                await self._asked.wait()
            was_asked, self._asked = self._asked.is_set(), Event()
            content = self._read_bytes()
            if content != self._seen or was_asked:
                self._seen = content
                self._reload(was_asked)

    def _reload(self, was_asked: bool) -> None:
        cause = "signal" if was_asked else "change"
        try:
            settings = load_platform_settings(self._path)
        except SettingsError as error:
            for problem in error.problems:
                logger.error("settings not taken: {}", problem, extra={"cause": cause})
            return
        change = compare_settings(self._settings, settings)
        self._settings = settings
        logger.info(
            "settings read again",
            extra={
                "cause": cause,
                "applied": {name: getattr(settings, name) for name in change.applied},
                "held_until_start": {name: getattr(settings, name) for name in change.held},
            },
        )
        if change.applied:
            self._apply(settings)

    def _read_bytes(self) -> bytes | None:
        try:
            return Path(self._path).read_bytes()  # some 2 KB in the page cache
        except OSError:
            return None  # the reload that follows tells why
