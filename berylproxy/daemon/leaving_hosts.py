"""Polls the platform's list of VMs for hosts whose VMs are leaving."""

from collections.abc import Callable

from anyio import sleep
from logbook import Logger

from berylproxy.store.machines import HttpVirtualMachineList
from berylproxy.store.port import StoreUnavailableError

FETCH_INTERVAL_S = 1.0
FETCH_TIMEOUT_S = 2.0

logger = Logger(__name__)


class LeavingHostWatcher:
    """Polls the list of VMs and keeps the set of hosts whose VMs are leaving.

    :param url: base URL of the platform's list of VMs.
    :param on_change: called after the set of hosts has changed.
    :ivar hosts: the hosts of the last list that could be read.
    """

    def __init__(self, url: str, on_change: Callable[[], None]) -> None:
        self.hosts: frozenset[str] = frozenset()
        self._url = url
        self._on_change = on_change
        self._is_list_readable = True

    async def run(self) -> None:
        """Polls the list until cancelled."""
        vm_list = HttpVirtualMachineList(self._url, FETCH_TIMEOUT_S)
        try:
            while True:
                await self._fetch(vm_list)
                await sleep(FETCH_INTERVAL_S)
        finally:
            await vm_list.close()

    async def _fetch(self, vm_list: HttpVirtualMachineList) -> None:
        try:
            machines = await vm_list.fetch()
        except StoreUnavailableError as error:
            if self._is_list_readable:
                logger.warning(
                    "the list of VMs can't be read; the previous list stays in force: {}",
                    error.message,
                )
            self._is_list_readable = False
            return
        self._is_list_readable = True
        hosts = frozenset(machine.host for machine in machines if machine.leaving)
        if hosts != self.hosts:
            self.hosts = hosts
            self._on_change()
