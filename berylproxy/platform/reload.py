"""Applies changes of the settings file while the daemon runs."""

from collections.abc import Callable
from dataclasses import dataclass, fields
from pathlib import Path

from anyio import Event, move_on_after
from logbook import Logger

from berylproxy.errors import SettingsError
from berylproxy.platform.settings import PlatformSettings, load_platform_settings

CHECK_INTERVAL_S = 1.0  # half of the shortest time within which a change must take effect
# Fields that take effect at the next start only: open connections depend on them.
RESTART_FIELDS = frozenset(
    {
        "daemon_id",
        "failure_domain",
        "callers_address",
        "ready_address",
        "peer_address",
        "metrics_address",
        "memory_mb",
        "max_descriptors",
    }
)

logger = Logger(__name__)


@dataclass(frozen=True, slots=True)
class SettingsChange:
    """The differences between two versions of the settings.

    :param applied: names of the fields that take effect at once.
    :param held: names of the fields that take effect at the next start.
    """

    applied: tuple[str, ...]
    held: tuple[str, ...]


def compare_settings(former: PlatformSettings, new: PlatformSettings) -> SettingsChange:
    """Returns the fields that differ."""
    names = [
        field.name
        for field in fields(PlatformSettings)
        if getattr(former, field.name) != getattr(new, field.name)
    ]
    return SettingsChange(
        tuple(name for name in names if name not in RESTART_FIELDS),
        tuple(name for name in names if name in RESTART_FIELDS),
    )


class SettingsWatcher:
    """Reloads the settings file on request and whenever its content changes.

    A file that is unreadable or invalid changes nothing and is logged once.

    :param path: path of the settings file.
    :param settings: the current settings.
    :param apply: applies new settings; must ignore the fields that need a restart.
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
        self._last_content: bytes | None = None
        self._reload_requested = Event()

    def request_reload(self) -> None:
        """Requests an immediate reload."""
        self._reload_requested.set()

    async def run(self) -> None:
        """Watches the file until cancelled."""
        self._last_content = self._read_bytes()
        while True:
            with move_on_after(CHECK_INTERVAL_S):
                await self._reload_requested.wait()
            was_requested, self._reload_requested = self._reload_requested.is_set(), Event()
            content = self._read_bytes()
            if content != self._last_content or was_requested:
                self._last_content = content
                self._reload(was_requested)

    def _reload(self, was_requested: bool) -> None:
        cause = "signal" if was_requested else "change"
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
            return Path(self._path).read_bytes()  # about 2 KB, served from the page cache
        except OSError:
            return None  # the reload that follows logs the reason
