"""Types of record fields, with their bounds."""

import re
from ipaddress import ip_address
from typing import Annotated
from urllib.parse import urlsplit

from pydantic import AfterValidator, Field

NAME_PATTERN = r"[a-z0-9][a-z0-9-]{0,62}"
SHA256_PATTERN = r"^[0-9a-f]{64}$"
URL_PATTERN = re.compile(r"https?://[!-~]{1,500}")
MAX_POOLS_OF_SERVICE = 64
MAX_TOKENS_OF_TEAM = 16
MAX_TIMEOUT_S = 3_600
MAX_BODY_LIMIT_BYTES = 16 * 1024 * 1024
MAX_SLOTS = 4_096
MAX_CONNECTIONS = 65_536
MAX_MEMORY_MB = 16 * 1024 * 1024
MAX_ACCELERATORS = 64
MAX_QUOTA_TASKS = 10_000_000
MAX_WEIGHT = 1_000


def check_endpoint_url(url: str) -> str:
    """Validates ``http(s)://<IP address>:<port>[/path]`` and returns it unchanged.

    :raises ValueError: if the URL has another form.
    """
    if not URL_PATTERN.fullmatch(url):
        raise ValueError("must be http:// or https:// and printable ASCII, at most 500 characters")
    parts = urlsplit(url)
    if "@" in parts.netloc or "?" in url or "#" in url:
        raise ValueError("must have no user, query or fragment")
    if "%" in parts.netloc:
        raise ValueError("must have no address scope")
    try:
        ip_address(parts.hostname or "")
    except ValueError:
        raise ValueError("the host must be an IPv4 or IPv6 address") from None
    if not parts.port:
        raise ValueError("must have a port from 1 to 65535")
    if parts.path.endswith("/"):
        raise ValueError("must not end in a slash")
    return url


def check_unique(names: list[str]) -> list[str]:
    """Validates that a list has no duplicates and returns it unchanged.

    :raises ValueError: if a name occurs twice.
    """
    if len(set(names)) != len(names):
        raise ValueError("must not contain duplicates")
    return names


# Pydantic matches in Rust, where ``$`` is only the end of the text: the anchors force a full match.
Name = Annotated[str, Field(pattern=f"^{NAME_PATTERN}$")]
Sha256 = Annotated[str, Field(pattern=SHA256_PATTERN)]
DurationS = Annotated[float, Field(gt=0, le=MAX_TIMEOUT_S, allow_inf_nan=False)]
EndpointUrl = Annotated[str, AfterValidator(check_endpoint_url)]
PoolNames = Annotated[
    list[Name], Field(min_length=1, max_length=MAX_POOLS_OF_SERVICE), AfterValidator(check_unique)
]
TokenDigests = Annotated[
    list[Sha256], Field(max_length=MAX_TOKENS_OF_TEAM), AfterValidator(check_unique)
]
Slots = Annotated[int, Field(ge=1, le=MAX_SLOTS)]
Connections = Annotated[int, Field(ge=1, le=MAX_CONNECTIONS)]
BodyLimitBytes = Annotated[int, Field(ge=1, le=MAX_BODY_LIMIT_BYTES)]
MemoryMb = Annotated[int, Field(ge=0, le=MAX_MEMORY_MB)]
Accelerators = Annotated[int, Field(ge=0, le=MAX_ACCELERATORS)]
QuotaTasks = Annotated[int, Field(ge=1, le=MAX_QUOTA_TASKS)]
Weight = Annotated[int, Field(ge=1, le=MAX_WEIGHT)]
