"""Decodes the daemons' records in the store's list of members."""

from collections.abc import Iterable
from typing import NamedTuple

import orjson
from logbook import Logger

from berylproxy.durable.holding.records import ROOT
from berylproxy.peers.errors import PeerSettingsError
from berylproxy.peers.settings import split_address
from berylproxy.store.port import Entry

MEMBER_PREFIX = ROOT + "members/"

logger = Logger(__name__)


class MemberRecord(NamedTuple):
    """A daemon's entry in the list of members."""

    peer_address: str
    failure_domain: str


class MemberList:
    """Decodes the list at each read, and logs a record that is not valid once."""

    def __init__(self) -> None:
        self._skipped_keys: set[str] = set()

    def decode(self, entries: Iterable[Entry]) -> dict[str, MemberRecord]:
        """Returns the valid records by daemon identifier."""
        members, skipped_keys = {}, set()
        for entry in entries:
            member = decode_member(entry)
            if member is not None:
                members[entry.key.removeprefix(MEMBER_PREFIX)] = member
                continue
            skipped_keys.add(entry.key)
            if entry.key not in self._skipped_keys:
                logger.warning("skipped member {!r}: its record is not valid", entry.key)
        self._skipped_keys = skipped_keys
        return members


def decode_member(entry: Entry) -> MemberRecord | None:
    """Decodes an entry of the list of members; returns ``None`` if it is not valid."""
    try:
        content = orjson.loads(entry.value)
        member = MemberRecord(content["peer_address"], content["failure_domain"])
        split_address(member.peer_address)
    except (ValueError, TypeError, KeyError, AttributeError, PeerSettingsError):
        return None
    return member if isinstance(member.failure_domain, str) else None
