"""The ramp holds for the fleet: what cold endpoints get from all copies together, by many shapes of it."""

from __future__ import annotations

from dataclasses import replace

import pytest

from tests.helpers import SECOND
from tests.slow_start_fleet import CHECKS, STANDINGS, Case, Fleet, Site

ONE = Case()
FEW = replace(ONE, copies=30, endpoints=3)
SHAPES = {
    "alone": replace(ONE, copies=1),
    "three copies": replace(ONE, copies=3),
    "thirty copies": replace(ONE, copies=30),
    "uneven": replace(ONE, copies=30, uneven=True),
    "half are cold": replace(ONE, cold=4),
    "told over 3 s": replace(ONE, cold=4, spread_us=3 * SECOND),
    "all copies just started": replace(ONE, fresh=1.0),
    "some just started, uneven": replace(ONE, copies=30, fresh=0.3, uneven=True),
    "few endpoints": FEW,
    "few endpoints, uneven": replace(FEW, uneven=True, cold=2),
    "many endpoints": replace(ONE, copies=3, endpoints=16, cold=4, load=0.4),
    "a burst at one copy": replace(ONE, copies=3, burst=6.0),
    "three zones": replace(ONE, copies=30, endpoints=9, zones=3, uneven=True),
    "overload": replace(ONE, copies=20, endpoints=6, load=1.1),
}
# All copies' first requests to what an operator put back add up, more so while it refuses connections.
PUT_BACK = {
    "as ready": Case(copies=40, endpoints=4, load=0.9, operator=True),
    "ready 2 s later": Case(copies=30, endpoints=4, load=0.8, operator=True, unready_us=2 * SECOND),
}
SITES = pytest.mark.parametrize("site", [CHECKS, STANDINGS], ids=["checks", "standings"])


@SITES
@pytest.mark.parametrize("shape", SHAPES)
def test_cold_endpoints_stay_under_their_budget_and_are_not_shunned(shape: str, site: Site) -> None:
    seen = Fleet(replace(SHAPES[shape], site=site), 1).run()
    print(f"{shape}: {seen}")
    assert seen.calls <= 0.9 and seen.share > 0.0


@SITES
def test_over_the_whole_ramp_a_cold_endpoint_gets_a_good_part_of_its_traffic(site: Site) -> None:
    seen = Fleet(replace(ONE, site=site, watched_us=site.settings.cold_us), 1).run()
    print(seen)
    assert seen.calls <= 0.9 and seen.share >= 0.12


@SITES
@pytest.mark.parametrize("shape", PUT_BACK)
def test_the_first_requests_to_what_an_operator_put_back_are_part_of_its_budget(
    shape: str, site: Site
) -> None:
    for seed in (1, 2):
        seen = Fleet(replace(PUT_BACK[shape], site=site), seed).run()
        print(f"{shape}, seed {seed}: {seen}")
        assert seen.calls <= 1.0 and seen.share >= 0.1


def test_where_all_are_cold_each_is_sent_what_it_bears_from_the_start() -> None:
    seen = Fleet(replace(ONE, endpoints=4, copies=8, cold=4, load=0.3), 1).run()
    assert 0.0 < seen.calls <= 0.9
