"""A panic threshold on the list: one that loses too much at once is held back.

A broken writer, or a network that parts it from the endpoints, must not empty
the fleet. As Envoy's panic threshold sets health aside where too few hosts are
healthy, this sets losses aside where they are more than a set share of the
endpoints within `LOSS_WINDOW_S`, be it by one short list or by many lapsed leases.
Endpoints told as draining are no loss: somebody took them out on purpose.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from woadyard.errors import PeerError
from woadyard.membership import ListHandler

# Leases that lapse together lapse within one lease, and a roll takes longer.
LOSS_WINDOW_S = 30.0
LOG = logging.getLogger(__name__)
Entries = dict[str, dict[str, Any]]


@dataclass(frozen=True)
class ListView:
    """What discovery says, and what of its losses is not believed."""

    listed: Entries  # ready and draining
    held: Entries  # lost, and still used
    loss_times_s: dict[str, float]  # lost and believed so: when, s

    def ready(self) -> Entries:
        both = {**self.listed, **self.held}
        return {name: one for name, one in both.items() if one.get("lifecycle") == "ready"}


class ShrinkGuard:
    """Stands before `on_list` and holds losses of more than the share `max_loss_share` back;
    with 1.0 or more it is off.

    Until a first whole list (or `set_known_list`) it passes all on. Lists are checked by
    `on_list` before any of one counts here: PeerError leaves all as it was."""

    def __init__(self, most: float, listen: ListHandler, clock: Callable[[], float]) -> None:
        self.max_loss_share, self.on_list, self.clock = most, listen, clock
        self.version = 0
        self.view: ListView | None = None
        self.on_held_change: Callable[[int], None] = lambda count: None

    def set_known_list(self, entries: list[dict[str, Any]]) -> None:
        """The list that the process starts with."""
        self.view = ListView(_merged({}, entries), {}, {})

    def __call__(self, version: int, whole: bool, entries: list[dict[str, Any]]) -> None:
        old = self.view
        if self.max_loss_share >= 1.0 or (old is None and not whole):
            self.on_list(version, whole, entries)
            return
        new = self._weigh(
            old or ListView({}, {}, {}), _merged({} if whole or old is None else old.listed, entries)
        )
        if new.held or (old is not None and old.held):
            self.on_list(version, True, [*new.listed.values(), *new.held.values()])
        else:
            self.on_list(version, whole, entries)
        self._settle(version, new)

    def set_max_loss_share(self, most: float) -> None:
        """A new share. Off, it forgets; on, it waits for a whole list."""
        if most >= 1.0:
            self.accept_losses()
            self.view = None
        self.max_loss_share = most

    def accept_losses(self) -> bool:
        """An operator's word that the losses are meant; False where none is held."""
        if self.view is None or not self.view.held:
            return False
        view = ListView(self.view.listed, {}, {})
        self.on_list(self.version, True, list(view.listed.values()))
        self._settle(self.version, view)
        return True

    def _weigh(self, old: ListView, told: Entries) -> ListView:
        now, ready = self.clock(), old.ready()
        lost = {name: one for name, one in ready.items() if name not in told}
        recent = {n: at for n, at in old.loss_times_s.items() if now - at < LOSS_WINDOW_S and n not in told}
        if len(lost) + len(recent) > self.max_loss_share * (len(ready) + len(recent)):
            return ListView(told, lost, recent)
        return ListView(told, {}, {**recent, **dict.fromkeys(lost, now)})

    def _settle(self, version: int, new: ListView) -> None:
        before = len(self.view.held) if self.view is not None else 0
        self.version, self.view = version, new
        if new.held and not before:
            fields = {"version": version, "lost": len(new.held), "of": len(new.ready())}
            LOG.warning("list held back: it loses too much at once", extra=fields)
        elif before and not new.held:
            LOG.info("list believed again", extra={"version": version, "ready": len(new.ready())})
        self.on_held_change(len(new.held))


def _merged(told: Entries, entries: list[dict[str, Any]]) -> Entries:
    """What is told after these changes; PeerError where an entry is none."""
    merged = dict(told)
    try:
        for one in entries:
            if one["lifecycle"] == "gone":
                merged.pop(one["instanceId"], None)
            else:
                merged[one["instanceId"]] = one
    except (KeyError, TypeError) as error:
        raise PeerError(f"no entry: {error!r}") from None
    return merged
