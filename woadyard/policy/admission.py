"""Load shedding at the entry, from the results of own requests alone."""

from math import exp, log, sqrt

from woadyard.interface import Arrival, Settings

# The share of admitted requests answered within their aim below which fewer are let through (chance must
# refuse nobody), the part still asked for when most is shed, and the least let through: the trial.
TARGET_IN_TIME_SHARE, SHEDDING_TARGET_FACTOR, MIN_ADMIT_SHARE = 0.85, 0.5, 0.1
# Results within this multiple of what a request takes by now, as a decision's result comes that late, and so
# many at least, are one look. One look of good results alone raises the share let through by this factor.
WINDOW_LATENCIES, MIN_WINDOW_RESULTS, MAX_WINDOW_RISE = 2.0, 5, 2.0
# Good results save up as much as one bad one takes: heavy work refuses nobody.
MAX_ADMIT_SHARE = MAX_WINDOW_RISE ** (
    TARGET_IN_TIME_SHARE / (1.0 - TARGET_IN_TIME_SHARE) / MIN_WINDOW_RESULTS
)
# Requests held may grow to this multiple of what the same stream of answers holds unloaded (Little's law),
# and by so many deviations of chance: a burst. Once more than the second was held for a whole look, it is the
# bound until no more was held for two: a burst passes, a standing queue does not.
BURST_MULTIPLE, BURST_DEVIATIONS, STANDING_MULTIPLE, STANDING_DEVIATIONS = 2.0, 1.5, 1.3, 0.5
# Results that make an unloaded time; looks over which it is taken; its rise per look: a long queue does not
# soon pass for usual. More than this part of the aim is none: a copy that starts into a jam would learn it.
BASE_SAMPLES, BASE_WINDOWS, BASE_RISE_PER_WINDOW, MAX_BASE_AIM_SHARE = 30, 2, 0.01, 0.5
# HELD_EACH for each endpoint that falls to a copy are always let through, HELD_MOST at most; a part of them
# while no unloaded time is known or a queue stands; HELD_FEW where copies are many, HELD_MIN with no queue.
FLOOR_PER_ENDPOINT, MAX_FLOOR, UNKNOWN_BASE_FLOOR_FACTOR, STANDING_FLOOR_FACTOR, MIN_FLOOR, MIN_SLOW_FLOOR = (
    8,
    24,
    0.75,
    0.75,
    8,
    2,
)
WORTH_MIX_REQUESTS = 100.0  # work asked for, in requests, over which its mix of worth is remembered
# The most worthy work may fill the bound on held requests by this much more than the least worthy, that gives
# way first; that still gets this part of what all would get alike, as a class must not starve.
WORTHIEST_EXTRA, LEAST_WORTH_FACTOR = 0.5, 0.5
ALLOWANCE_AIMS = 2.0  # aims for which a tenant may save up its part of the allowance


class Admission:
    """Guards against congestion collapse: queues so long that every answer is late, and clients' further
    tries that keep them so. Once the share of answers in time falls, fewer are let through."""

    def __init__(self, aim_us: float) -> None:
        # What a request takes by now, over more looks, for less noise, and unloaded: the least of those.
        self.recent_latency_us = self.smoothed_latency_us = self.base_latency_us = self.mean_aim_us = (
            aim_us  # and the mean aim
        )
        self.result_count, self.weighted_results, self.weighted_admitted = (
            0,
            0.0,
            0.0,
        )  # in all; lately, and let through lately
        self.began_us = self.results_updated_us = self.admitted_updated_us = self.last_low_us = (
            self.last_high_us
        ) = 0  # few last held, and many
        self.floor, self.admit_share = (
            float(MIN_FLOOR),
            1.0,
        )  # so many may always be held; the share let through
        self.is_base_known, self.has_standing_queue, self.last_full_us = (
            False,
            False,
            -1,
        )  # bounded: when it last refused one

    def record_result(self, now: int, took: int, good: bool, answered: bool, aim: int) -> None:
        """One admitted request's result; the steps balance at ADMIT_GOOD, at less the more is shed."""
        memory = WINDOW_LATENCIES * self.recent_latency_us
        self.weighted_results = self.weighted_results * exp((self.results_updated_us - now) / memory) + 1.0
        self.results_updated_us, self.result_count = now, self.result_count + 1
        look = max(self.weighted_results, MIN_WINDOW_RESULTS)
        self.mean_aim_us += (aim - self.mean_aim_us) / min(self.result_count, BASE_SAMPLES)
        self.recent_latency_us += (max(took, 1) - self.recent_latency_us) / min(self.result_count, look)
        self.smoothed_latency_us += (max(took, 1) - self.smoothed_latency_us) / min(
            self.result_count, max(BASE_SAMPLES, BASE_WINDOWS * look)
        )
        self.began_us = self.began_us or now - took
        # The first answers are the quickest ones: they say only where to begin.
        self.is_base_known |= (
            self.result_count >= BASE_SAMPLES and now - self.began_us > BASE_WINDOWS * memory
        )
        self.base_latency_us = (
            min(self.base_latency_us * (1.0 + BASE_RISE_PER_WINDOW / look), self.smoothed_latency_us)
            if self.is_base_known
            else self.smoothed_latency_us
        )
        step = log(MAX_WINDOW_RISE) / look
        if not good:
            if now - took <= self.last_full_us:
                return  # taken before the bound last acted, which has answered it
            asked = TARGET_IN_TIME_SHARE * (
                SHEDDING_TARGET_FACTOR + (1.0 - SHEDDING_TARGET_FACTOR) * min(1.0, self.admit_share)
            )
            step *= -asked / (1.0 - asked)
            if not answered:  # no mere heavy work: the room saved up is gone
                self.admit_share = min(1.0, self.admit_share)
        self.admit_share = min(MAX_ADMIT_SHARE, max(MIN_ADMIT_SHARE, self.admit_share * exp(step)))

    def admits(self, now: int, held: int, place: tuple[float, float], chance: float) -> bool:
        """Whether to take a request: the least worthy work gives way first."""
        less, more = place
        share, alike = min(1.0, self.admit_share), max(1e-9, 1.0 - less - more)
        part = max(LEAST_WORTH_FACTOR * share, min(1.0, (share - more) / alike))
        if through := chance < part and not self.is_full(now, held / (1.0 + WORTHIEST_EXTRA * less)):
            kept = self.weighted_admitted * exp(
                (self.admitted_updated_us - now) / (WINDOW_LATENCIES * self.recent_latency_us)
            )
            self.weighted_admitted, self.admitted_updated_us = 1.0 + kept, now
        return through

    def is_full(self, now: int, held: float) -> bool:
        """Guards against choked endpoints: they queue for seconds before an answer is late."""
        memory = WINDOW_LATENCIES * self.recent_latency_us
        # Results lag behind a rise; up to a twofold, what was let through tells of it (base being known).
        recent = self.weighted_results * exp((self.results_updated_us - now) / memory)
        sent = self.weighted_admitted * exp((self.admitted_updated_us - now) / memory) * self.is_base_known
        recent = max(recent, min(MAX_WINDOW_RISE * recent, sent))
        usual = recent / memory * min(self.base_latency_us, MAX_BASE_AIM_SHARE * self.mean_aim_us)
        # Fewer than HELD_FEW are no queue, however seldom this copy is asked.
        tight = max(MIN_SLOW_FLOOR, STANDING_MULTIPLE * usual + STANDING_DEVIATIONS * sqrt(usual))
        loose = BURST_MULTIPLE * usual + BURST_DEVIATIONS * sqrt(usual)
        self.last_low_us, self.last_high_us = (
            (now, self.last_high_us) if held <= tight else (self.last_low_us, now)
        )
        slow = self.has_standing_queue or self.smoothed_latency_us > BURST_MULTIPLE * self.base_latency_us
        # A queue stands once it lasted for a look; it is over once none was seen for two.
        self.has_standing_queue |= self.is_base_known and now - self.last_low_us > memory
        self.has_standing_queue &= now - self.last_high_us < 2.0 * memory
        part = (
            STANDING_FLOOR_FACTOR
            if self.has_standing_queue
            else 1.0
            if self.is_base_known
            else UNKNOWN_BASE_FLOOR_FACTOR
        )
        least = max(MIN_SLOW_FLOOR if slow else MIN_FLOOR, self.floor * part)
        full = held > max(least, tight if self.has_standing_queue else loose)
        self.last_full_us = now if full else self.last_full_us
        return full


class WorthRanking:
    """What a request is worth against others of late, by class and by whether its tenant is past its part."""

    def __init__(self, settings: Settings, aim_us: float) -> None:
        self.settings, self.allowance_span_us = settings, ALLOWANCE_AIMS * aim_us
        worths = [c.worth for c in settings.classes]
        self.worths = worths + [w * settings.over_share_worth for w in worths]
        self.recent_work = [0.0] * len(self.worths)
        self.allowances = [(0.0, 0)] * len(settings.tenants)

    def rank(self, now: int, event: Arrival) -> tuple[float, float]:
        """The parts of the work lately asked for that are worth less and more."""
        kind = event.cls + len(self.worths) // 2 * self._is_over_share(now, event.tenant)
        self.recent_work = [part * (1.0 - 1.0 / WORTH_MIX_REQUESTS) for part in self.recent_work]
        self.recent_work[kind] += event.work_us or 1.0
        worth, total = self.worths[kind], sum(self.recent_work)
        less = sum(part for part, other in zip(self.recent_work, self.worths, strict=True) if other < worth)
        more = sum(part for part, other in zip(self.recent_work, self.worths, strict=True) if other > worth)
        return less / total, more / total

    def _is_over_share(self, now: int, tenant: int) -> bool:
        """Whether a tenant asks for more than its share; each copy meters an equal part of the allowance."""
        if tenant >= len(self.allowances) or not self.settings.tenants[tenant]:
            return False
        rate = self.settings.tenants[tenant] / self.settings.instances / 1e6
        saved, at = self.allowances[tenant]
        saved = min(1.0 + rate * self.allowance_span_us, saved + rate * (now - at))
        self.allowances[tenant] = (saved if saved < 1.0 else saved - 1.0, now)
        return saved < 1.0
