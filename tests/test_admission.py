"""Tests of admission control at the entry tier."""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import replace

from tests.helpers import MS, PATIENT, SECOND, SETTINGS, Client, ready_entries, sends, started_balancer
from woadyard.interface import LIST_DELTA, OK, Outcome
from woadyard.policy.admission import Admission


def test_late_responses_cause_rejections_and_timely_ones_end_them() -> None:
    """In incident i19db7a queues were full of work that no client waited for any more."""
    client = Client(started_balancer())
    assert all(client.serve(k * 50 * MS, 20 * MS) for k in range(100))
    late = [client.serve(5 * SECOND + k * SECOND, 900 * MS) for k in range(200)]
    assert sum(late[100:]) < 30, "most are rejected while all responses are late"
    assert sum(late[100:]) > 0, "a few are still admitted as trials"
    again = [client.serve(300 * SECOND + k * 50 * MS, 20 * MS) for k in range(400)]
    assert all(again[300:])


def test_nothing_is_rejected_behind_the_entry_tier() -> None:
    client = Client(started_balancer(stage=1, stages=3))
    assert all(client.serve(k * SECOND, 900 * MS) for k in range(200))


def test_a_standing_queue_causes_rejections_before_any_response_is_late() -> None:
    """In incidents i28d44f and iad7bbc endpoints were overloaded within seconds, while the responses that did
    arrive were still fast."""
    client = Client(started_balancer(settings=replace(SETTINGS, classes=(PATIENT,))))
    assert all(client.serve(k * 50 * MS, 20 * MS) for k in range(100))
    pending = [sends(client.submit(5 * SECOND + k * MS)[1]) for k in range(200)]
    assert all(pending[:8]), "the floor is always admitted"
    assert sum(map(bool, pending)) < 60
    for sent in filter(None, pending):
        done = Outcome(sent[0].request, 0, sent[0].endpoint, OK, SECOND, over=True)
        client.balancer.outcome(6 * SECOND, done)
    assert sends(client.submit(6 * SECOND)[1]), "admitted again once they are answered"


def test_a_rise_in_traffic_is_admitted_before_its_responses_arrive() -> None:
    """On a calm day cheap classes were rejected while all responses were good, because a sidecar relied only
    on the rate of its responses, which lags behind a rise by seconds."""
    admission, due, rejected = Admission(PATIENT.aim_us), deque[int](), 0
    for now in [*range(0, 20 * SECOND, 100 * MS), *range(20 * SECOND, 26 * SECOND, 30 * MS)]:
        while due and due[0] <= now:
            admission.record_result(due.popleft(), SECOND, True, True, PATIENT.aim_us)
        if admission.admits(now, len(due), (0.0, 0.0), 0.0):
            due.append(now + SECOND)
        elif now >= 20 * SECOND:
            rejected += 1
    assert rejected == 0
    for now in range(26 * SECOND, 46 * SECOND, 30 * MS):
        if admission.admits(now, len(due), (0.0, 0.0), 0.0):
            due.append(now + SECOND)
    assert len(due) < 100, "without any response it is bounded as before"


def admitted_by(client: Client, kinds: list[tuple[int, int]], now: int) -> Counter[tuple[int, int]]:
    """Send requests of each (class, tenant) in turn, which stay pending, and count those admitted."""
    admitted: Counter[tuple[int, int]] = Counter()
    for k in range(40 * len(kinds)):
        kind = kinds[k % len(kinds)]
        admitted[kind] += bool(sends(client.submit(now + k * MS, *kind)[1]))
    return admitted


def test_a_sidecar_that_starts_into_an_overload_is_bounded_from_its_first_request() -> None:
    """Sidecars restarted into an overload admitted everything for 5 s, which kept the overload going."""
    client = Client(started_balancer(settings=replace(SETTINGS, classes=(PATIENT,))))
    assert 8 <= sum(bool(sends(client.submit(k * MS)[1])) for k in range(200)) <= 24


def test_the_latency_of_an_overload_is_not_learned_as_base_latency() -> None:
    admission = Admission(PATIENT.aim_us)
    for k in range(400):
        admission.record_result(k * 50 * MS, 2 * SECOND, True, True, PATIENT.aim_us)
    assert admission.is_full(20 * SECOND, 70), "20 a second within half an aim of 2.5 s, and a burst"
    assert not admission.is_full(20 * SECOND, 20)


def test_the_least_worthy_class_is_rejected_first() -> None:
    """On overload days classes were rejected alike, whatever they were worth."""
    classes = (PATIENT, replace(PATIENT, worth=8.0))
    client = Client(started_balancer(settings=replace(SETTINGS, classes=classes)))
    assert all(client.serve(k * 50 * MS, 200 * MS, k % 2) for k in range(100))
    admitted = admitted_by(client, [(0, 0), (1, 0)], 6 * SECOND)
    assert admitted[1, 0] > admitted[0, 0] > 0


def test_a_tenant_over_its_share_is_rejected_first() -> None:
    two_tenants = replace(SETTINGS, classes=(PATIENT,), tenants=(1.0, 1000.0), over_share_worth=0.1)
    client = Client(started_balancer(settings=two_tenants))
    assert all(client.serve(k * 50 * MS, 200 * MS) for k in range(100))
    admitted = admitted_by(client, [(0, 0), (0, 1)], 6 * SECOND)
    assert admitted[0, 1] > admitted[0, 0] > 0


def test_a_burst_is_admitted_but_not_a_standing_queue() -> None:
    """In incidents iad7bbc and i511002 a single bound was too tight for chance and too loose for a queue."""
    bounds = []
    for pending_before in (8, 30):
        client = Client(started_balancer(settings=replace(SETTINGS, classes=(PATIENT,))))
        assert all(client.serve(k * 20 * MS, 400 * MS) for k in range(300))
        admission = client.balancer.admission
        for k in range(10):
            admission.is_full(6_400 * MS + k * 100 * MS, pending_before)
        bounds.append(next(pending for pending in range(8, 200) if admission.is_full(7_400 * MS, pending)))
    assert bounds[1] < 0.8 * bounds[0]


def test_a_single_late_response_rejects_nobody_but_a_missing_one_does() -> None:
    """In haverhill-accounts quiet each heavy request caused a few rejections."""
    for is_late, sheds in ((True, False), (False, True)):
        client = Client(started_balancer())
        assert all(client.serve(k * 50 * MS, 20 * MS) for k in range(100))
        if is_late:
            assert client.serve(6 * SECOND, 900 * MS)
        else:
            request_id, _ = client.submit(6 * SECOND)
            client.balancer.gone(6_900 * MS, request_id)
        assert (client.balancer.admission.admit_share < 1.0) is sheds


def test_the_bound_of_each_of_many_sidecars_is_lower_once_responses_are_slow() -> None:
    """In incident i4e7940 a hundred sidecars with eight pending requests each kept a tier overloaded."""
    bounds = []
    for sidecars in (1, 100):
        client = Client(started_balancer(settings=replace(SETTINGS, classes=(PATIENT,)), instances=sidecars))
        admission = client.balancer.admission
        assert all(client.serve(k * 500 * MS, 100 * MS) for k in range(60))
        assert not admission.is_full(30 * SECOND, 8), (
            "with fast responses a few pending requests are no queue"
        )
        for k in range(60):
            admission.record_result((30 + k) * SECOND, 2 * SECOND, True, True, PATIENT.aim_us)
        bounds.append(next(pending for pending in range(1, 99) if admission.is_full(90 * SECOND, pending)))
    assert bounds[1] < bounds[0]


def test_the_floor_grows_with_the_endpoints_of_a_sidecar() -> None:
    """In inc2685 the requests of two endpoints were rejected at a fixed floor of eight."""
    bounds = []
    for size in (4, 8):
        client = Client(started_balancer(size, settings=replace(SETTINGS, classes=(PATIENT,)), instances=2))
        admission = client.balancer.admission
        assert all(client.serve(k * 500 * MS, 100 * MS) for k in range(60))
        for k in range(60):
            admission.record_result((30 + k) * SECOND, 2 * SECOND, True, True, PATIENT.aim_us)
        bounds.append(next(pending for pending in range(1, 99) if admission.is_full(90 * SECOND, pending)))
    assert bounds[0] > 9 and bounds[1] > bounds[0] + 4


def test_requests_at_stalled_endpoints_do_not_count_against_the_others() -> None:
    """In zone+vast the requests at a lost zone were half of the bound, so that others were rejected."""
    client = Client(started_balancer(8, settings=replace(SETTINGS, classes=(PATIENT,)), instances=4))
    assert all(client.serve(k * 100 * MS, 100 * MS) for k in range(300))
    stalled = {entry.endpoint for entry in ready_entries(3)}
    now, served = 31 * SECOND, 0
    for k in range(60):
        requests = [client.submit(now + n * MS) for n in range(20)]
        answered = [
            send for _, actions in requests for send in sends(actions) if send.endpoint not in stalled
        ]
        for send in answered:
            done = Outcome(send.request, 0, send.endpoint, OK, 100 * MS, over=True)
            client.balancer.outcome(now + 100 * MS, done)
        served += len(answered) if k >= 30 else 0
        now += 110 * MS
    assert served > 300, "five of eight endpoints serve as before"


def floor(client: Client, now: int) -> int:
    """Record many late responses, so that only the floor is left, and return it."""
    admission = client.balancer.admission
    for k in range(60):
        admission.record_result(now + k * SECOND, 2 * SECOND, True, True, PATIENT.aim_us)
    client.submit(now + 60 * SECOND)
    return next(pending for pending in range(1, 99) if admission.is_full(now + 120 * SECOND, pending))


def test_the_floors_of_all_sidecars_add_up_to_the_capacity_of_the_endpoints() -> None:
    """In join+vast seven sidecars kept a full floor each while half the endpoints were cold or gone."""
    patient, floors = replace(SETTINGS, classes=(PATIENT,), cold_us=500 * SECOND), {}
    for sidecars, cold in ((1, 0), (4, 0), (4, 4)):
        client = Client(started_balancer(8, settings=patient, instances=sidecars))
        assert all(client.serve(k * 500 * MS, 100 * MS) for k in range(60))
        restarted = [replace(entry, boot=30 * SECOND) for entry in ready_entries(cold)]
        client.balancer.members(30 * SECOND, LIST_DELTA, restarted)
        floors[sidecars, cold] = floor(client, 30 * SECOND)
    assert floors[1, 0] > floors[4, 0] > floors[4, 4]


def test_the_bound_of_each_of_many_sidecars_is_lower_while_a_queue_stands() -> None:
    client = Client(started_balancer(8, settings=replace(SETTINGS, classes=(PATIENT,)), instances=8))
    assert all(client.serve(k * 100 * MS, 100 * MS) for k in range(300))
    admission = client.balancer.admission
    assert not admission.is_full(30 * SECOND, 8)
    full = [admission.is_full(30 * SECOND + k * 100 * MS, 8) for k in range(20)]
    assert full[-1], "with seven more sidecars of eight each it is no burst"
