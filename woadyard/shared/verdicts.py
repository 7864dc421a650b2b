"""What others' verdicts on endpoints do here: they lower trust, within a cap.

One sidecar's word halves an endpoint's weight; two or more that call it ejected
leave it the weight of a trial. No more than a set share of the list is lowered
on others' word, those with the most accusers first, so that one confused
sidecar can't empty the fleet, nor many together. A sidecar's own failures count
in its own module as before, and nothing here raises trust above that.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable

from woadyard.interface import COLD, DEGRADED, EJECTED
from woadyard.shared.store import SharedEntry

STATES = (EJECTED, DEGRADED, COLD)
EJECT_QUORUM = 2
TRUST_ACCUSED, TRUST_EJECTED = 0.5, 0.05


def trust_factors(
    entries: Iterable[SharedEntry], me: str, endpoints: Collection[int], share_most: float
) -> dict[int, float]:
    """Factors below 1 by endpoint number, from verdicts of sidecars other than `me`
    (a name), for at most the share `share_most` of `endpoints`."""
    accusers: dict[int, dict[str, str]] = {}
    for entry in entries:
        if entry.sidecar == me or not entry.key.isdecimal() or entry.value not in STATES:
            continue
        if (number := int(entry.key)) in endpoints:
            states = accusers.setdefault(number, {})
            if states.get(entry.sidecar) != EJECTED:  # the worst of one sidecar's processes
                states[entry.sidecar] = entry.value
    ranked = sorted((_trust(states), -len(states), number) for number, states in accusers.items())
    most = int(share_most * len(endpoints))
    return {number: trust for trust, _, number in ranked[:most]}


def _trust(states: dict[str, str]) -> float:
    ejected = sum(state == EJECTED for state in states.values())
    return TRUST_EJECTED if ejected >= EJECT_QUORUM else TRUST_ACCUSED
