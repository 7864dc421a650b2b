"""The ledger of limits as a book: one kind of record, a holder's call for its shares."""

from __future__ import annotations

from typing import Any

from woadyard.errors import LogEntryError
from woadyard.limits.ledger import Ledger
from woadyard.registry.state_machine import LogEntry

HOLD = "hold"


class LimitsState:
    """Its size is bounded by the holders whose leases run: what lapsed is dropped at each hold."""

    name = "limits"

    def __init__(self) -> None:
        self.ledger = Ledger()

    def check(self, record: LogEntry) -> None:
        if record.get("op") != HOLD:
            raise LogEntryError(f"the limits have no such op: {record.get('op')!r}")
        numbers = [record.get(key) for key in ("seq_of", "ttl_us", "limit")]
        if not all(type(number) is int and number > 0 for number in numbers):
            raise LogEntryError("a hold needs numbers above 0")
        of, keeps = record.get("of"), record.get("keeps")
        if not isinstance(record.get("id"), str) or not isinstance(of, list) or not isinstance(keeps, dict):
            raise LogEntryError("a hold needs an id, resources and what it keeps")
        if not all(isinstance(key, str) for key in of):
            raise LogEntryError("a hold's resources are no list of names")
        if not all(type(count) is int and count >= 0 for count in keeps.values()):
            raise LogEntryError("a hold keeps what is no number")
        self.ledger.check_sequence(int(record["at"]), record["id"], record["seq_of"])

    def apply(self, record: LogEntry) -> bool:
        call = record["id"], record["seq_of"], record["ttl_us"], record["limit"]
        self.ledger.grant_shares(int(record["at"]), *call, record["of"], record["keeps"])
        return False

    def begin_term(self, term: int, at: int) -> None:
        self.ledger.extend_all(at)

    def grants(self, name: str) -> dict[str, int]:
        """The answer to the holder's last call."""
        return self.ledger.holder_leases[name].grants

    def count_holders(self, at: int) -> int:
        return sum(one.expires_at_us > at for one in self.ledger.holder_leases.values())

    def dump(self) -> dict[str, Any]:
        return self.ledger.dump()

    def load(self, raw: Any) -> None:
        try:
            self.ledger = Ledger.load(raw)
        except (AttributeError, TypeError, ValueError) as error:
            raise LogEntryError(f"no dump of the limits: {error!r}") from None
