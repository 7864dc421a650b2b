"""Lowers the trust in endpoints by the verdicts of other sidecars, within a cap.

One accusing sidecar halves an endpoint's weight; two or more that have ejected it leave
it the weight of a half-open trial. At most a configured share of the listed endpoints is
lowered, first those ejected by a quorum, then those with the most accusers, so that neither
one faulty sidecar nor many together can take the whole fleet out of use. A sidecar's own
observations count in its own balancer, and nothing here raises trust above that.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable

from woadyard.interface import COLD, DEGRADED, EJECTED
from woadyard.shared.store import SharedEntry

STATES = (EJECTED, DEGRADED, COLD)
EJECT_QUORUM = 2
TRUST_ACCUSED, TRUST_EJECTED = 0.5, 0.05


def trust_factors(
    entries: Iterable[SharedEntry], own_name: str, endpoints: Collection[int], max_share: float
) -> dict[int, float]:
    """Return factors below 1 by endpoint number, from verdicts of sidecars other than `own_name`.

    At most the share `max_share` of `endpoints` gets a factor.
    """
    accusers: dict[int, dict[str, str]] = {}
    for entry in entries:
        if entry.sidecar == own_name or not entry.key.isdecimal() or entry.value not in STATES:
            continue
        if (number := int(entry.key)) in endpoints:
            states = accusers.setdefault(number, {})
            if states.get(entry.sidecar) != EJECTED:  # the worst verdict of a sidecar's processes counts
                states[entry.sidecar] = entry.value
    ranked = sorted((_trust(states), -len(states), number) for number, states in accusers.items())
    max_lowered = int(max_share * len(endpoints))
    return {number: trust for trust, _, number in ranked[:max_lowered]}


def _trust(states: dict[str, str]) -> float:
    ejected = sum(state == EJECTED for state in states.values())
    return TRUST_EJECTED if ejected >= EJECT_QUORUM else TRUST_ACCUSED
