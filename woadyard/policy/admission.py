"""Admission control at the entry tier, from the results of this sidecar's own requests.

A result is the outcome of one admitted request. Pending requests are the admitted ones without a result.
"""

from math import exp, log, sqrt

from woadyard.interface import Arrival, Settings

# Share of admitted requests that must be answered within their aim, or fewer are admitted (chance alone must
# reject nobody); the part of it required while most requests are rejected; the least share admitted, so that
# there are always trials.
TARGET_IN_TIME_SHARE, SHEDDING_TARGET_FACTOR, MIN_ADMIT_SHARE = 0.85, 0.5, 0.1
# A window is this multiple of the current latency, because the result of a decision comes that late, and at
# least this many results. A window of good results raises the admitted share by at most this factor.
WINDOW_LATENCIES, MIN_WINDOW_RESULTS, MAX_WINDOW_RISE = 2.0, 5, 2.0
# Good results save up as much as one bad result takes, so that a single heavy request rejects nobody.
MAX_ADMIT_SHARE = MAX_WINDOW_RISE ** (
    TARGET_IN_TIME_SHARE / (1.0 - TARGET_IN_TIME_SHARE) / MIN_WINDOW_RESULTS
)
# Bounds on pending requests: a multiple of the number that the same rate of results keeps pending without
# load (Little's law), plus a number of standard deviations. The first pair allows a burst. Once more than the
# second pair allows was pending for a whole window, that is the bound, until no more was pending for two
# windows: a burst passes, a standing queue does not.
BURST_MULTIPLE, BURST_DEVIATIONS, STANDING_MULTIPLE, STANDING_DEVIATIONS = 2.0, 1.5, 1.3, 0.5
# The base latency (without load): the results and the windows it is averaged over; its rise per window, slow
# enough that a long queue is not soon taken for normal; and the largest part of the aim it may be, because a
# sidecar that starts into an overload would learn the latency of that.
BASE_SAMPLES, BASE_WINDOWS, BASE_RISE_PER_WINDOW, MAX_BASE_AIM_SHARE = 30, 2, 0.01, 0.5
# The floor, the pending requests that are always allowed: a number for each endpoint that falls to this
# sidecar, up to a maximum; the factors while the base latency is unknown and while a queue stands; the least
# floor without a queue, and where latencies are high, since the floors of many sidecars add up.
FLOOR_PER_ENDPOINT, MAX_FLOOR, UNKNOWN_BASE_FLOOR_FACTOR, STANDING_FLOOR_FACTOR, MIN_FLOOR, MIN_SLOW_FLOOR = (
    8, 24, 0.75, 0.75, 8, 2,
)  # fmt: skip
WORTH_MIX_REQUESTS = 100.0  # requests over which the mix of worth in the offered work is remembered
# The worthiest work may fill the bound on pending requests by this much more than the least worthy, which is
# rejected first but still gets this part of an equal share, so that no class starves.
WORTHIEST_EXTRA, LEAST_WORTH_FACTOR = 0.5, 0.5
ALLOWANCE_AIMS = 2.0  # aims for which a tenant may save up its part of the allowance


class Admission:
    """Prevents congestion collapse: queues make every response late, and clients' retries keep them full.

    Once the share of responses in time falls, fewer requests are admitted.
    """

    def __init__(self, aim_us: float) -> None:
        # Latency of late, averaged over more windows, and without load (the minimum of these); the mean aim.
        self.recent_latency_us = self.smoothed_latency_us = self.base_latency_us = self.mean_aim_us = aim_us
        # Results in all; results and admitted requests of late, with exponential decay.
        self.result_count, self.weighted_results, self.weighted_admitted = 0, 0.0, 0.0
        # last_low_us, last_high_us: when the pending requests were last within and above the standing bound
        self.began_us = self.results_updated_us = self.admitted_updated_us = self.last_low_us = (
            self.last_high_us
        ) = 0
        self.floor, self.admit_share = float(MIN_FLOOR), 1.0
        # last_full_us: when the bound last rejected a request
        self.is_base_known, self.has_standing_queue, self.last_full_us = False, False, -1

    def record_result(self, now: int, took_us: int, in_time: bool, was_answered: bool, aim_us: int) -> None:
        """Record the result of one admitted request.

        The steps up and down balance at `TARGET_IN_TIME_SHARE`, and at less the more is rejected.
        """
        window_us = WINDOW_LATENCIES * self.recent_latency_us
        self.weighted_results = self.weighted_results * exp((self.results_updated_us - now) / window_us) + 1.0
        self.results_updated_us, self.result_count = now, self.result_count + 1
        window_results = max(self.weighted_results, MIN_WINDOW_RESULTS)
        self.mean_aim_us += (aim_us - self.mean_aim_us) / min(self.result_count, BASE_SAMPLES)
        self.recent_latency_us += (max(took_us, 1) - self.recent_latency_us) / min(
            self.result_count, window_results
        )
        self.smoothed_latency_us += (max(took_us, 1) - self.smoothed_latency_us) / min(
            self.result_count, max(BASE_SAMPLES, BASE_WINDOWS * window_results)
        )
        self.began_us = self.began_us or now - took_us
        # The first responses are the fastest ones: they only show where to begin.
        self.is_base_known |= (
            self.result_count >= BASE_SAMPLES and now - self.began_us > BASE_WINDOWS * window_us
        )
        self.base_latency_us = (
            min(
                self.base_latency_us * (1.0 + BASE_RISE_PER_WINDOW / window_results),
                self.smoothed_latency_us,
            )
            if self.is_base_known
            else self.smoothed_latency_us
        )
        step = log(MAX_WINDOW_RISE) / window_results
        if not in_time:
            if now - took_us <= self.last_full_us:
                return  # admitted before the bound last rejected a request, which was the reaction to it
            target = TARGET_IN_TIME_SHARE * (
                SHEDDING_TARGET_FACTOR + (1.0 - SHEDDING_TARGET_FACTOR) * min(1.0, self.admit_share)
            )
            step *= -target / (1.0 - target)
            if not was_answered:  # not just a heavy request: what was saved up is lost
                self.admit_share = min(1.0, self.admit_share)
        self.admit_share = min(MAX_ADMIT_SHARE, max(MIN_ADMIT_SHARE, self.admit_share * exp(step)))

    def admits(self, now: int, pending: int, rank: tuple[float, float], chance: float) -> bool:
        """Whether to admit a request; the least worthy work is rejected first.

        `rank` is the part of the work that is worth less and the part that is worth more, and `chance` a
        random number from 0 to 1.
        """
        less, more = rank
        share, equal = min(1.0, self.admit_share), max(1e-9, 1.0 - less - more)
        probability = max(LEAST_WORTH_FACTOR * share, min(1.0, (share - more) / equal))
        if is_admitted := chance < probability and not self.is_full(
            now, pending / (1.0 + WORTHIEST_EXTRA * less)
        ):
            remaining = self.weighted_admitted * exp(
                (self.admitted_updated_us - now) / (WINDOW_LATENCIES * self.recent_latency_us)
            )
            self.weighted_admitted, self.admitted_updated_us = 1.0 + remaining, now
        return is_admitted

    def is_full(self, now: int, pending: float) -> bool:
        """Whether too many requests are pending.

        Overloaded endpoints queue for seconds before any response is late, so the admitted share reacts too
        late to protect them.
        """
        window_us = WINDOW_LATENCIES * self.recent_latency_us
        # Results lag behind a rise in traffic. Up to a doubling, the admitted requests indicate it, once the
        # base latency is known.
        recent = self.weighted_results * exp((self.results_updated_us - now) / window_us)
        admitted = (
            self.weighted_admitted * exp((self.admitted_updated_us - now) / window_us) * self.is_base_known
        )
        recent = max(recent, min(MAX_WINDOW_RISE * recent, admitted))
        unloaded = recent / window_us * min(self.base_latency_us, MAX_BASE_AIM_SHARE * self.mean_aim_us)
        # Fewer than MIN_SLOW_FLOOR are no queue, however little traffic this sidecar has.
        standing_bound = max(
            MIN_SLOW_FLOOR, STANDING_MULTIPLE * unloaded + STANDING_DEVIATIONS * sqrt(unloaded)
        )
        burst_bound = BURST_MULTIPLE * unloaded + BURST_DEVIATIONS * sqrt(unloaded)
        self.last_low_us, self.last_high_us = (
            (now, self.last_high_us) if pending <= standing_bound else (self.last_low_us, now)
        )
        is_slow = self.has_standing_queue or self.smoothed_latency_us > BURST_MULTIPLE * self.base_latency_us
        # A queue stands once it has lasted for a window; it is over once none was seen for two.
        self.has_standing_queue |= self.is_base_known and now - self.last_low_us > window_us
        self.has_standing_queue &= now - self.last_high_us < 2.0 * window_us
        factor = (
            STANDING_FLOOR_FACTOR
            if self.has_standing_queue
            else 1.0
            if self.is_base_known
            else UNKNOWN_BASE_FLOOR_FACTOR
        )
        scaled_floor = max(MIN_SLOW_FLOOR if is_slow else MIN_FLOOR, self.floor * factor)
        is_over = pending > max(scaled_floor, standing_bound if self.has_standing_queue else burst_bound)
        self.last_full_us = now if is_over else self.last_full_us
        return is_over


class WorthRanking:
    """Ranks requests by worth among the recent work, by class and by whether the tenant is over its share."""

    def __init__(self, settings: Settings, aim_us: float) -> None:
        self.settings, self.allowance_span_us = settings, ALLOWANCE_AIMS * aim_us
        class_worths = [request_class.worth for request_class in settings.classes]
        # By class, first within and then over the tenant's share.
        self.worths = class_worths + [plain * settings.over_share_worth for plain in class_worths]
        self.recent_work = [0.0] * len(self.worths)
        self.allowances = [(0.0, 0)] * len(settings.tenants)  # requests saved up, and when that was

    def rank(self, now: int, event: Arrival) -> tuple[float, float]:
        """Return the parts of the recently offered work that are worth less and more than the request."""
        index = event.cls + len(self.worths) // 2 * self._is_over_share(now, event.tenant)
        self.recent_work = [part * (1.0 - 1.0 / WORTH_MIX_REQUESTS) for part in self.recent_work]
        self.recent_work[index] += event.work_us or 1.0
        worth, total = self.worths[index], sum(self.recent_work)
        less = sum(part for part, other in zip(self.recent_work, self.worths, strict=True) if other < worth)
        more = sum(part for part, other in zip(self.recent_work, self.worths, strict=True) if other > worth)
        return less / total, more / total

    def _is_over_share(self, now: int, tenant: int) -> bool:
        """Whether a tenant exceeds its share; each sidecar meters an equal part of the allowance."""
        if tenant >= len(self.allowances) or not self.settings.tenants[tenant]:
            return False
        rate_per_us = self.settings.tenants[tenant] / self.settings.instances / 1e6
        saved, updated_us = self.allowances[tenant]
        saved = min(1.0 + rate_per_us * self.allowance_span_us, saved + rate_per_us * (now - updated_us))
        self.allowances[tenant] = (saved if saved < 1.0 else saved - 1.0, now)
        return saved < 1.0
