"""Membership: discovery's lists, and the endpoints that operators take out and put back."""

from collections.abc import Sequence
from dataclasses import replace

from woadyard.interface import COLD, LIST_CACHED, LIST_DELTA, LIST_FAILED, MOOT, NO_CONNECT, READY, Entry
from woadyard.policy.backoff import DiscoveryBackoff
from woadyard.policy.request import Request
from woadyard.policy.ring import Ring
from woadyard.policy.state import Context, Endpoint

# One put back is sent its first request within the first, each copy at its own time, as all their trials add
# up while it is cold; one that can't be reached yet is tried again within the second, for the third.
TRIAL_WITHIN_US, TRIAL_RETRY_WITHIN_US, TRIAL_RETRY_FOR_US = 4_000_000, 1_500_000, 5_000_000


class Membership:
    def __init__(self, ctx: Context, ring: Ring) -> None:
        self.ctx, self.ring = ctx, ring
        self.backoff = DiscoveryBackoff(ctx)
        self.banned: dict[int, Entry | None] = {}  # taken out by operators, as listed by now
        self.attached_us: dict[int, int] = {}  # put back by them: when
        self.trial_due_us: dict[int, int] = {}  # of those, not yet sent anything: not before

    def apply_list(self, now: int, mode: int, entries: Sequence[Entry]) -> None:
        if mode == LIST_FAILED:
            self.ctx.lease.call_failed(now, self.ctx.settings.ask_within_us)
            self.backoff.call_failed(now)
            return
        changed = False
        if mode != LIST_CACHED:  # a list from before the start is no word of discovery
            self.backoff.list_received()
            self.ctx.lease.confirm(now)
        if mode != LIST_DELTA:
            named = {entry.endpoint for entry in entries}
            self.banned |= dict.fromkeys(self.banned.keys() - named)
            gone = [one for one in self.ring.endpoints.values() if one.id not in named]
            changed = any([self.ring.remove(endpoint) for endpoint in gone])
        if any([self._apply_entry(now, entry) for entry in entries]) or changed:
            self.ring.rebuild_groups()

    def detach(self, number: int) -> None:
        """An operator takes an endpoint out: no list brings it back before `attach`."""
        endpoint = self.ring.endpoints.get(number)
        self.banned[number] = endpoint.entry if endpoint and endpoint.is_ready else self.banned.get(number)
        if endpoint and self.ring.remove(endpoint):
            self.ring.rebuild_groups()

    def attach(self, now: int, number: int) -> None:
        """Back in. It may have been restarted, told or not, so it counts as just started; one first request
        is due, as its draws may be few."""
        if number not in self.banned:
            return
        kept = {one: at for one, at in self.attached_us.items() if now < at + self.ctx.settings.cold_us}
        self.attached_us = kept | {number: now}
        if (entry := self.banned.pop(number)) and self._apply_entry(now, entry):
            self.ring.rebuild_groups()
        if number in self.ring.endpoints:
            self.ctx.report_verdict(self.ring.endpoints[number], COLD)
        self.trial_due_us[number] = now + int(self.ctx.rng.random() * TRIAL_WITHIN_US)

    def pick_trial(self, now: int, request: Request) -> Endpoint | None:
        """An endpoint that came back and is due its first request."""
        for number, due in () if request.attempts else self.trial_due_us.items():
            one = self.ring.endpoints.get(number)
            if one is None or not self.ctx.lease.allows(now, one.last_success_sent_us):
                continue
            if one.in_subset and one.is_ready and now >= due and one.arm == request.arm:
                return one
        return None

    def attempt_ended(self, now: int, number: int, outcome: int) -> None:
        """One put back that heard of nothing yet is tried again."""
        if (
            outcome in (NO_CONNECT, MOOT)
            and now - self.attached_us.get(number, -TRIAL_RETRY_FOR_US) < TRIAL_RETRY_FOR_US
        ):
            self.trial_due_us[number] = now + int(self.ctx.rng.random() * TRIAL_RETRY_WITHIN_US)

    def _apply_entry(self, now: int, entry: Entry) -> bool:
        """Put one line of a list to use; whether that moved the ring."""
        endpoint = self.ring.endpoints.get(entry.endpoint)
        if entry.endpoint in self.banned:
            self.banned[entry.endpoint] = entry if entry.phase == READY else None
            return False
        if entry.phase != READY:
            return self.ring.remove(endpoint) if endpoint else False
        if (at := self.attached_us.get(entry.endpoint, 0)) > entry.boot:
            entry = replace(entry, boot=at)
        if endpoint is None:
            endpoint = Endpoint(entry, self.ctx.class_tenant_count)
        if (endpoint.cell, endpoint.zone) != (entry.cell, entry.zone):
            self.ring.remove(endpoint)  # it stands elsewhere in the order now
            endpoint.set_location(entry)
        endpoint.entry = entry
        endpoint.rating = entry.rating if entry.rating > 0 else 1.0
        if entry.boot != endpoint.boot_us or not endpoint.is_ready:
            if entry.boot != endpoint.boot_us:
                endpoint.reset_learned(
                    self.ctx.class_tenant_count
                )  # a new process: nothing seen of the old one holds
            endpoint.boot_us, endpoint.cold_budget_updated_us = entry.boot, now
            # Part-filled at random, so that the copies' first sends to a cold one do not coincide.
            endpoint.cold_budget = self.ctx.rng.random()
        if endpoint.is_ready:
            return False
        self.ring.add(endpoint)
        return True
