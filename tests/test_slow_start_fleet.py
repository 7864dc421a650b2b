"""Tests that all sidecars of a tier together stay within the cold budget, in many shapes of the tier."""

from __future__ import annotations

from dataclasses import replace

import pytest

from tests.helpers import SECOND
from tests.slow_start_fleet import CHECKS, STANDINGS, Deployment, Scenario, TierSimulation

BASE = Scenario()
FEW = replace(BASE, sidecars=30, endpoints=3)
SHAPES = {
    "alone": replace(BASE, sidecars=1),
    "three sidecars": replace(BASE, sidecars=3),
    "thirty sidecars": replace(BASE, sidecars=30),
    "uneven": replace(BASE, sidecars=30, uneven=True),
    "half are cold": replace(BASE, cold=4),
    "listed over 3 s": replace(BASE, cold=4, spread_us=3 * SECOND),
    "all sidecars just started": replace(BASE, restarted_share=1.0),
    "some just started, uneven": replace(BASE, sidecars=30, restarted_share=0.3, uneven=True),
    "few endpoints": FEW,
    "few endpoints, uneven": replace(FEW, uneven=True, cold=2),
    "many endpoints": replace(BASE, sidecars=3, endpoints=16, cold=4, load=0.4),
    "a burst at one sidecar": replace(BASE, sidecars=3, burst=6.0),
    "three zones": replace(BASE, sidecars=30, endpoints=9, zones=3, uneven=True),
    "overload": replace(BASE, sidecars=20, endpoints=6, load=1.1),
}
# The trials of all sidecars at attached endpoints add up, more so while these refuse connections.
ATTACHED = {
    "as ready": Scenario(sidecars=40, endpoints=4, load=0.9, by_operator=True),
    "ready 2 s later": Scenario(sidecars=30, endpoints=4, load=0.8, by_operator=True, unready_us=2 * SECOND),
}
DEPLOYMENTS = pytest.mark.parametrize("deployment", [CHECKS, STANDINGS], ids=["checks", "standings"])


@DEPLOYMENTS
@pytest.mark.parametrize("shape", SHAPES)
def test_cold_endpoints_stay_within_their_budget_and_are_used(shape: str, deployment: Deployment) -> None:
    measured = TierSimulation(replace(SHAPES[shape], deployment=deployment), 1).run()
    print(f"{shape}: {measured}")
    assert measured.worst_requests <= 0.9 and measured.traffic_share > 0.0


@DEPLOYMENTS
def test_over_the_whole_ramp_a_cold_endpoint_gets_a_fair_part_of_its_traffic(deployment: Deployment) -> None:
    measured = TierSimulation(
        replace(BASE, deployment=deployment, watched_us=deployment.settings.cold_us), 1
    ).run()
    print(measured)
    assert measured.worst_requests <= 0.9 and measured.traffic_share >= 0.12


@DEPLOYMENTS
@pytest.mark.parametrize("shape", ATTACHED)
def test_the_trials_of_attached_endpoints_stay_within_their_budget(
    shape: str, deployment: Deployment
) -> None:
    for seed in (1, 2):
        measured = TierSimulation(replace(ATTACHED[shape], deployment=deployment), seed).run()
        print(f"{shape}, seed {seed}: {measured}")
        assert measured.worst_requests <= 1.0 and measured.traffic_share >= 0.1


def test_if_all_endpoints_are_cold_each_is_sent_requests_within_its_budget() -> None:
    measured = TierSimulation(replace(BASE, endpoints=4, sidecars=8, cold=4, load=0.3), 1).run()
    assert 0.0 < measured.worst_requests <= 0.9
