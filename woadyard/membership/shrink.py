"""A panic threshold on the endpoint list: a list that loses too much at once is held back.

A faulty writer of the list, or a network partition between it and the endpoints, must
not empty the fleet. As Envoy's panic threshold ignores health where too few hosts are
healthy, this ignores losses of more than a configured share of the endpoints within
`LOSS_WINDOW_S`, be it by one short list or by many expired leases. Draining endpoints
do not count as lost: they were taken out deliberately.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from woadyard.errors import PeerError
from woadyard.membership import ListHandler

# Leases that are lost together expire within one lease, and a rolling restart takes longer.
LOSS_WINDOW_S = 30.0
LOG = logging.getLogger(__name__)
Entries = dict[str, dict[str, Any]]


@dataclass(frozen=True)
class ListView:
    """The list of discovery, and the losses that are held back."""

    listed: Entries  # ready and draining
    held: Entries  # no longer listed, and still used
    loss_times_s: dict[str, float]  # of the losses that were applied

    def ready(self) -> Entries:
        """Return the ready endpoints, with those that are held back."""
        in_use = {**self.listed, **self.held}
        return {name: entry for name, entry in in_use.items() if entry.get("lifecycle") == "ready"}


class ShrinkGuard:
    """Passes lists on to `on_list`, and holds back losses of more than `max_loss_share`.

    With a share of 1.0 or more it is off. Until the first whole list (or `set_known_list`)
    it passes everything on. `on_list` checks a list before it takes effect here: after a
    PeerError nothing has changed.
    """

    def __init__(self, max_loss_share: float, on_list: ListHandler, clock: Callable[[], float]) -> None:
        self.max_loss_share, self.on_list, self.clock = max_loss_share, on_list, clock
        self.version = 0
        self.view: ListView | None = None
        self.on_held_change: Callable[[int], None] = lambda count: None

    def set_known_list(self, entries: list[dict[str, Any]]) -> None:
        """Set the list that the process starts with."""
        self.view = ListView(_merge({}, entries), {}, {})

    def __call__(self, version: int, whole: bool, entries: list[dict[str, Any]]) -> None:
        old = self.view
        if self.max_loss_share >= 1.0 or (old is None and not whole):
            self.on_list(version, whole, entries)
            return
        new = self._hold_losses(
            old or ListView({}, {}, {}), _merge({} if whole or old is None else old.listed, entries)
        )
        if new.held or (old is not None and old.held):
            self.on_list(version, True, [*new.listed.values(), *new.held.values()])
        else:
            self.on_list(version, whole, entries)
        self._set_view(version, new)

    def set_max_loss_share(self, max_loss_share: float) -> None:
        """Change the share; switched off, the list is forgotten, switched on, a whole list is awaited."""
        if max_loss_share >= 1.0:
            self.accept_losses()
            self.view = None
        self.max_loss_share = max_loss_share

    def accept_losses(self) -> bool:
        """Apply the losses that are held back, as an operator confirmed; False if there are none."""
        if self.view is None or not self.view.held:
            return False
        view = ListView(self.view.listed, {}, {})
        self.on_list(self.version, True, list(view.listed.values()))
        self._set_view(self.version, view)
        return True

    def _hold_losses(self, old: ListView, listed: Entries) -> ListView:
        now_s, ready = self.clock(), old.ready()
        lost = {name: entry for name, entry in ready.items() if name not in listed}
        recent_losses_s = {
            instance: lost_s
            for instance, lost_s in old.loss_times_s.items()
            if now_s - lost_s < LOSS_WINDOW_S and instance not in listed
        }
        if len(lost) + len(recent_losses_s) > self.max_loss_share * (len(ready) + len(recent_losses_s)):
            return ListView(listed, lost, recent_losses_s)
        return ListView(listed, {}, {**recent_losses_s, **dict.fromkeys(lost, now_s)})

    def _set_view(self, version: int, new: ListView) -> None:
        held_before = len(self.view.held) if self.view is not None else 0
        self.version, self.view = version, new
        if new.held and not held_before:
            fields = {"version": version, "lost": len(new.held), "of": len(new.ready())}
            LOG.warning("list held back: it loses too much at once", extra=fields)
        elif held_before and not new.held:
            LOG.info("list applied again", extra={"version": version, "ready": len(new.ready())})
        self.on_held_change(len(new.held))


def _merge(listed: Entries, entries: list[dict[str, Any]]) -> Entries:
    """Return the list after these changes; PeerError if an entry is invalid."""
    merged = dict(listed)
    try:
        for entry in entries:
            if entry["lifecycle"] == "gone":
                merged.pop(entry["instanceId"], None)
            else:
                merged[entry["instanceId"]] = entry
    except (KeyError, TypeError) as error:
        raise PeerError(f"invalid entry in the list: {error!r}") from None
    return merged
