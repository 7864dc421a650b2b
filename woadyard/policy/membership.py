"""Endpoint lists from discovery, and the endpoints that operators detach and attach."""

from collections.abc import Sequence
from dataclasses import replace

from woadyard.interface import COLD, LIST_CACHED, LIST_DELTA, LIST_FAILED, MOOT, NO_CONNECT, READY, Entry
from woadyard.policy.backoff import DiscoveryBackoff
from woadyard.policy.request import Request
from woadyard.policy.ring import Ring
from woadyard.policy.state import Context, Endpoint

# An attached endpoint gets its half-open trial within the first, at a time that each sidecar draws by itself,
# because the trials of all sidecars add up while it is cold. If it cannot be reached yet, the trial is
# repeated within the second, until the third after the attach.
TRIAL_WITHIN_US, TRIAL_RETRY_WITHIN_US, TRIAL_RETRY_FOR_US = 4_000_000, 1_500_000, 5_000_000


class Membership:
    """Applies lists, detach and attach to the ring."""

    def __init__(self, ctx: Context, ring: Ring) -> None:
        self.ctx, self.ring = ctx, ring
        self.backoff = DiscoveryBackoff(ctx)
        self.banned: dict[int, Entry | None] = {}  # detached by operators, with the current list entry
        self.attached_us: dict[int, int] = {}  # when operators attached an endpoint
        self.trial_due_us: dict[int, int] = {}  # attached, nothing sent yet: the trial's earliest time

    def apply_list(self, now: int, mode: int, entries: Sequence[Entry]) -> None:
        """Apply a full list, a delta, a cached list, or the failure to get one."""
        if mode == LIST_FAILED:
            self.ctx.lease.call_failed(now, self.ctx.settings.ask_within_us)
            self.backoff.call_failed(now)
            return
        changed = False
        if mode != LIST_CACHED:  # a list from before the start is no contact with discovery
            self.backoff.list_received()
            self.ctx.lease.confirm(now)
        if mode != LIST_DELTA:
            listed = {entry.endpoint for entry in entries}
            self.banned |= dict.fromkeys(self.banned.keys() - listed)
            unlisted = [known for known in self.ring.endpoints.values() if known.id not in listed]
            changed = any([self.ring.remove(endpoint) for endpoint in unlisted])
        if any([self._apply_entry(now, entry) for entry in entries]) or changed:
            self.ring.rebuild_groups()

    def detach(self, endpoint_id: int) -> None:
        """Take an endpoint out of use; no list brings it back before `attach`."""
        endpoint = self.ring.endpoints.get(endpoint_id)
        self.banned[endpoint_id] = (
            endpoint.entry if endpoint and endpoint.is_ready else self.banned.get(endpoint_id)
        )
        if endpoint and self.ring.remove(endpoint):
            self.ring.rebuild_groups()

    def attach(self, now: int, endpoint_id: int) -> None:
        """Put a detached endpoint back into use.

        It may have been restarted without a list saying so, so it counts as just started. As it may be drawn
        seldom, one half-open trial is scheduled.
        """
        if endpoint_id not in self.banned:
            return
        still_cold = {
            other: attached_at_us
            for other, attached_at_us in self.attached_us.items()
            if now < attached_at_us + self.ctx.settings.cold_us
        }
        self.attached_us = still_cold | {endpoint_id: now}
        if (entry := self.banned.pop(endpoint_id)) and self._apply_entry(now, entry):
            self.ring.rebuild_groups()
        if endpoint_id in self.ring.endpoints:
            self.ctx.report_verdict(self.ring.endpoints[endpoint_id], COLD)
        self.trial_due_us[endpoint_id] = now + int(self.ctx.rng.random() * TRIAL_WITHIN_US)

    def pick_trial(self, now: int, request: Request) -> Endpoint | None:
        """Return an attached endpoint whose half-open trial is due, if the request may serve as one."""
        if request.attempts or not self.ctx.lease.is_valid(now):
            return None
        for endpoint_id, due_us in self.trial_due_us.items():
            endpoint = self.ring.endpoints.get(endpoint_id)
            if endpoint is None:
                continue
            if endpoint.in_subset and endpoint.is_ready and now >= due_us and endpoint.arm == request.arm:
                return endpoint
        return None

    def attempt_ended(self, now: int, endpoint_id: int, outcome: int) -> None:
        """Schedule another trial if an attached endpoint could not be reached yet."""
        if (
            outcome in (NO_CONNECT, MOOT)
            and now - self.attached_us.get(endpoint_id, -TRIAL_RETRY_FOR_US) < TRIAL_RETRY_FOR_US
        ):
            self.trial_due_us[endpoint_id] = now + int(self.ctx.rng.random() * TRIAL_RETRY_WITHIN_US)

    def _apply_entry(self, now: int, entry: Entry) -> bool:
        """Apply one entry of a list. Return whether the ring changed."""
        endpoint = self.ring.endpoints.get(entry.endpoint)
        if entry.endpoint in self.banned:
            self.banned[entry.endpoint] = entry if entry.phase == READY else None
            return False
        if entry.phase != READY:
            return self.ring.remove(endpoint) if endpoint else False
        if (restarted_us := self.attached_us.get(entry.endpoint, 0)) > entry.boot:
            entry = replace(entry, boot=restarted_us)
        if endpoint is None:
            endpoint = Endpoint(entry, self.ctx.class_tenant_count)
        if (endpoint.cell, endpoint.zone) != (entry.cell, entry.zone):
            self.ring.remove(endpoint)  # its position on the ring changes
            endpoint.set_location(entry)
        endpoint.entry = entry
        endpoint.rating = entry.rating if entry.rating > 0 else 1.0
        if entry.boot != endpoint.boot_us or not endpoint.is_ready:
            if entry.boot != endpoint.boot_us:
                endpoint.reset_learned(self.ctx.class_tenant_count)  # a new process
            endpoint.boot_us, endpoint.cold_budget_updated_us = entry.boot, now
            # A random level, so that the sidecars' first requests to a cold endpoint do not coincide.
            endpoint.cold_budget = self.ctx.rng.random()
        if endpoint.is_ready:
            return False
        self.ring.add(endpoint)
        return True
