"""Client of the platform's list of VMs over HTTP; the list lags behind the actual VMs."""

from typing import Literal

from httpx import AsyncClient, HTTPError
from pydantic import BaseModel, ValidationError

from berylproxy.store.port import StoreUnavailableError, VirtualMachine

VMS_PATH = "/v1/vms"


class VirtualMachineRow(BaseModel):
    """One VM in the platform's response."""

    name: str
    host: str
    failure_domain: str
    state: Literal["live", "leaving"]


class VirtualMachinePage(BaseModel):
    """The platform's response."""

    vms: list[VirtualMachineRow]


class HttpVirtualMachineList:
    """Implements :class:`berylproxy.store.port.VirtualMachineList`.

    :param url: base URL of the platform.
    :param timeout_s: timeout of each call.
    """

    def __init__(self, url: str, timeout_s: float) -> None:
        self.url = url.rstrip("/") + VMS_PATH
        self.client = AsyncClient(trust_env=False, timeout=timeout_s)

    async def close(self) -> None:
        """Closes all connections."""
        await self.client.aclose()

    async def fetch(self) -> tuple[VirtualMachine, ...]:
        """Reads the list.

        :raises StoreUnavailableError: if the platform is unavailable or its answer is malformed.
        """
        try:
            response = await self.client.get(self.url)
            response.raise_for_status()
            page = VirtualMachinePage.model_validate_json(response.content)
        except (HTTPError, ValidationError) as error:
            raise StoreUnavailableError(f"{VMS_PATH}: {error!r}") from error
        return tuple(convert_row(row) for row in page.vms)


def convert_row(row: VirtualMachineRow) -> VirtualMachine:
    """Converts a validated row."""
    return VirtualMachine(row.name, row.host, row.failure_domain, row.state == "leaving")
