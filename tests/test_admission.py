"""Load shedding at the entry."""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import replace

from tests.helpers import MS, PATIENT, SECOND, SETTINGS, Client, ready_entries, sends, started_balancer
from woadyard.interface import LIST_DELTA, OK, Outcome
from woadyard.policy.admission import Admission


def test_late_answers_shed_at_the_entry_and_good_ones_open_it_again() -> None:
    """Incident i19db7a: queues full of work that nobody waits for any more."""
    driver = Client(started_balancer())
    assert all(driver.serve(k * 50 * MS, 20 * MS) for k in range(100))
    late = [driver.serve(5 * SECOND + k * SECOND, 900 * MS) for k in range(200)]
    assert sum(late[100:]) < 30, "most are refused while all answers come late"
    assert sum(late[100:]) > 0, "a trial goes on"
    again = [driver.serve(300 * SECOND + k * 50 * MS, 20 * MS) for k in range(400)]
    assert all(again[300:])


def test_nothing_is_shed_further_down_the_chain() -> None:
    driver = Client(started_balancer(stage=1, stages=3))
    assert all(driver.serve(k * SECOND, 900 * MS) for k in range(200))


def test_a_standing_queue_is_shed_before_any_answer_is_late() -> None:
    """Incidents i28d44f, iad7bbc: endpoints choke within seconds, while the
    answers that do come are still quick."""
    driver = Client(started_balancer(settings=replace(SETTINGS, classes=(PATIENT,))))
    assert all(driver.serve(k * 50 * MS, 20 * MS) for k in range(100))
    held = [sends(driver.submit(5 * SECOND + k * MS)[1]) for k in range(200)]
    assert all(held[:8]), "a few are always let through"
    assert sum(map(bool, held)) < 60
    for sent in filter(None, held):
        done = Outcome(sent[0].request, 0, sent[0].endpoint, OK, SECOND, over=True)
        driver.balancer.outcome(6 * SECOND, done)
    assert sends(driver.submit(6 * SECOND)[1]), "open again once they are answered"


def test_a_rise_in_what_is_asked_is_let_through_before_its_answers_come() -> None:
    """The other deployment's calm day: cheap classes were shed while all answers were good, as
    a copy trusted only the rate of its answers, which lags behind a rise by seconds."""
    admission, due, refused = Admission(PATIENT.aim_us), deque[int](), 0
    for now in [*range(0, 20 * SECOND, 100 * MS), *range(20 * SECOND, 26 * SECOND, 30 * MS)]:
        while due and due[0] <= now:
            admission.record_result(due.popleft(), SECOND, True, True, PATIENT.aim_us)
        if admission.admits(now, len(due), (0.0, 0.0), 0.0):
            due.append(now + SECOND)
        elif now >= 20 * SECOND:
            refused += 1
    assert refused == 0
    for now in range(26 * SECOND, 46 * SECOND, 30 * MS):
        if admission.admits(now, len(due), (0.0, 0.0), 0.0):
            due.append(now + SECOND)
    assert len(due) < 100, "with no answers at all it is bounded as before"


def shed_by(driver: Client, kinds: list[tuple[int, int]], now: int) -> Counter[tuple[int, int]]:
    """Requests let through of each (class, tenant), asked for in turn and left unanswered."""
    through: Counter[tuple[int, int]] = Counter()
    for k in range(40 * len(kinds)):
        kind = kinds[k % len(kinds)]
        through[kind] += bool(sends(driver.submit(now + k * MS, *kind)[1]))
    return through


def test_a_copy_that_starts_into_a_jam_is_bounded_from_its_first_request() -> None:
    """Herd day: restarted copies took all that came for 5 s, and their jam held."""
    driver = Client(started_balancer(settings=replace(SETTINGS, classes=(PATIENT,))))
    assert 8 <= sum(bool(sends(driver.submit(k * MS)[1])) for k in range(200)) <= 24


def test_a_jam_is_not_learned_for_the_unloaded_time() -> None:
    admission = Admission(PATIENT.aim_us)
    for k in range(400):
        admission.record_result(k * 50 * MS, 2 * SECOND, True, True, PATIENT.aim_us)
    assert admission.is_full(20 * SECOND, 70), "20 a second within half an aim of 2.5 s, and a burst"
    assert not admission.is_full(20 * SECOND, 20)


def test_the_least_worthy_class_gives_way_first() -> None:
    """Overload days: classes were shed alike, whatever they were worth."""
    classes = (PATIENT, replace(PATIENT, worth=8.0))
    driver = Client(started_balancer(settings=replace(SETTINGS, classes=classes)))
    assert all(driver.serve(k * 50 * MS, 200 * MS, k % 2) for k in range(100))
    through = shed_by(driver, [(0, 0), (1, 0)], 6 * SECOND)
    assert through[1, 0] > through[0, 0] > 0


def test_a_tenant_past_its_allowance_gives_way_to_one_within() -> None:
    some = replace(SETTINGS, classes=(PATIENT,), tenants=(1.0, 1000.0), over_share_worth=0.1)
    driver = Client(started_balancer(settings=some))
    assert all(driver.serve(k * 50 * MS, 200 * MS) for k in range(100))
    through = shed_by(driver, [(0, 0), (0, 1)], 6 * SECOND)
    assert through[0, 1] > through[0, 0] > 0


def test_a_burst_may_be_held_but_not_a_queue_that_stands() -> None:
    """Incidents iad7bbc, i511002: one bound is too tight for chance and too loose for a queue."""
    bounds = []
    for held_before in (8, 30):
        driver = Client(started_balancer(settings=replace(SETTINGS, classes=(PATIENT,))))
        assert all(driver.serve(k * 20 * MS, 400 * MS) for k in range(300))
        admission = driver.balancer.admission
        for k in range(10):
            admission.is_full(6_400 * MS + k * 100 * MS, held_before)
        bounds.append(next(held for held in range(8, 200) if admission.is_full(7_400 * MS, held)))
    assert bounds[1] < 0.8 * bounds[0]


def test_a_single_late_answer_refuses_nobody_but_one_unanswered_does() -> None:
    """haverhill-accounts quiet: each heavy request made the entry refuse a few."""
    for late, refused in ((True, False), (False, True)):
        driver = Client(started_balancer())
        assert all(driver.serve(k * 50 * MS, 20 * MS) for k in range(100))
        if late:
            assert driver.serve(6 * SECOND, 900 * MS)
        else:
            rid, _ = driver.submit(6 * SECOND)
            driver.balancer.gone(6_900 * MS, rid)
        assert (driver.balancer.admission.admit_share < 1.0) is refused


def test_many_copies_hold_less_each_once_answers_are_slow() -> None:
    """Incident i4e7940: a hundred copies that may each hold eight keep a choked tier choked."""
    bounds = []
    for copies in (1, 100):
        driver = Client(started_balancer(settings=replace(SETTINGS, classes=(PATIENT,)), instances=copies))
        admission = driver.balancer.admission
        assert all(driver.serve(k * 500 * MS, 100 * MS) for k in range(60))
        assert not admission.is_full(30 * SECOND, 8), "quick answers: small counts tell nothing"
        for k in range(60):
            admission.record_result((30 + k) * SECOND, 2 * SECOND, True, True, PATIENT.aim_us)
        bounds.append(next(held for held in range(1, 99) if admission.is_full(90 * SECOND, held)))
    assert bounds[1] < bounds[0]


def test_a_copy_with_more_endpoints_may_always_hold_more() -> None:
    """inc2685: two endpoints' worth of requests were refused at a fixed count of eight."""
    bounds = []
    for size in (4, 8):
        driver = Client(started_balancer(size, settings=replace(SETTINGS, classes=(PATIENT,)), instances=2))
        admission = driver.balancer.admission
        assert all(driver.serve(k * 500 * MS, 100 * MS) for k in range(60))
        for k in range(60):
            admission.record_result((30 + k) * SECOND, 2 * SECOND, True, True, PATIENT.aim_us)
        bounds.append(next(held for held in range(1, 99) if admission.is_full(90 * SECOND, held)))
    assert bounds[0] > 9 and bounds[1] > bounds[0] + 4


def test_requests_stuck_at_frozen_endpoints_do_not_idle_the_others() -> None:
    """zone+vast: a lost zone held half of what a copy may hold, and the rest was refused."""
    driver = Client(started_balancer(8, settings=replace(SETTINGS, classes=(PATIENT,)), instances=4))
    assert all(driver.serve(k * 100 * MS, 100 * MS) for k in range(300))
    frozen = {entry.endpoint for entry in ready_entries(3)}
    now, served = 31 * SECOND, 0
    for k in range(60):
        asked = [driver.submit(now + n * MS) for n in range(20)]
        out = [send for _, actions in asked for send in sends(actions) if send.endpoint not in frozen]
        for send in out:
            done = Outcome(send.request, 0, send.endpoint, OK, 100 * MS, over=True)
            driver.balancer.outcome(now + 100 * MS, done)
        served += len(out) if k >= 30 else 0
        now += 110 * MS
    assert served > 300, "five of eight answer as before"


def floor(driver: Client, now: int) -> int:
    """Requests that may be held once many a late answer left only the floor."""
    admission = driver.balancer.admission
    for k in range(60):
        admission.record_result(now + k * SECOND, 2 * SECOND, True, True, PATIENT.aim_us)
    driver.submit(now + 60 * SECOND)
    return next(held for held in range(1, 99) if admission.is_full(now + 120 * SECOND, held))


def test_the_floors_of_all_copies_add_up_to_what_the_endpoints_bear() -> None:
    """join+vast: seven copies kept a full floor each when half the endpoints were cold or gone."""
    patient, floors = replace(SETTINGS, classes=(PATIENT,), cold_us=500 * SECOND), {}
    for copies, cold in ((1, 0), (4, 0), (4, 4)):
        driver = Client(started_balancer(8, settings=patient, instances=copies))
        assert all(driver.serve(k * 500 * MS, 100 * MS) for k in range(60))
        fresh = [replace(entry, boot=30 * SECOND) for entry in ready_entries(cold)]
        driver.balancer.members(30 * SECOND, LIST_DELTA, fresh)
        floors[copies, cold] = floor(driver, 30 * SECOND)
    assert floors[1, 0] > floors[4, 0] > floors[4, 4]


def test_many_copies_hold_less_each_while_a_queue_stands() -> None:
    driver = Client(started_balancer(8, settings=replace(SETTINGS, classes=(PATIENT,)), instances=8))
    assert all(driver.serve(k * 100 * MS, 100 * MS) for k in range(300))
    admission = driver.balancer.admission
    assert not admission.is_full(30 * SECOND, 8)
    full = [admission.is_full(30 * SECOND + k * 100 * MS, 8) for k in range(20)]
    assert full[-1], "seven more copies hold eight each: no burst any more"
