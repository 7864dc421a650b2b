"""The ledger of limits as a state machine with one operation: a holder requests its shares."""

from __future__ import annotations

from typing import Any

from woadyard.errors import LogEntryError
from woadyard.limits.ledger import Ledger
from woadyard.registry.state_machine import LogEntry

HOLD = "hold"


class LimitsState:
    """The ledger of limits. Each request removes expired leases, so only active holders take space."""

    name = "limits"

    def __init__(self) -> None:
        self.ledger = Ledger()

    def check(self, entry: LogEntry) -> None:
        if entry.get("op") != HOLD:
            raise LogEntryError(f"unknown op of the limits: {entry.get('op')!r}")
        numbers = [entry.get(key) for key in ("seq_of", "ttl_us", "limit")]
        if not all(type(number) is int and number > 0 for number in numbers):
            raise LogEntryError("seq_of, ttl_us and limit of a hold must be integers above 0")
        resources, keeps = entry.get("of"), entry.get("keeps")
        if (
            not isinstance(entry.get("id"), str)
            or not isinstance(resources, list)
            or not isinstance(keeps, dict)
        ):
            raise LogEntryError("a hold needs an id, a list of resources and the units it keeps")
        if not all(isinstance(key, str) for key in resources):
            raise LogEntryError("the resources of a hold must be strings")
        if not all(type(count) is int and count >= 0 for count in keeps.values()):
            raise LogEntryError("the units that a hold keeps must be integers of 0 or more")
        self.ledger.check_sequence(int(entry["at"]), entry["id"], entry["seq_of"])

    def apply(self, entry: LogEntry) -> bool:
        request = entry["id"], entry["seq_of"], entry["ttl_us"], entry["limit"]
        self.ledger.grant_shares(int(entry["at"]), *request, entry["of"], entry["keeps"])
        return False

    def begin_term(self, term: int, at: int) -> None:
        """Extend every lease: holders could not renew while there was no leader."""
        self.ledger.extend_all(at)

    def grants(self, name: str) -> dict[str, int]:
        """Return the units granted to the holder by its last request, by resource."""
        return self.ledger.holder_leases[name].grants

    def count_holders(self, now_us: int) -> int:
        """Return the number of holders whose lease is active."""
        return sum(lease.expires_at_us > now_us for lease in self.ledger.holder_leases.values())

    def dump(self) -> dict[str, Any]:
        return self.ledger.dump()

    def load(self, raw: Any) -> None:
        try:
            self.ledger = Ledger.load(raw)
        except (AttributeError, TypeError, ValueError) as error:
            raise LogEntryError(f"invalid dump of the limits: {error!r}") from None
