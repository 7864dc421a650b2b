"""Load shedding at the entry, from the results of own requests alone."""

from math import exp, log, sqrt

from woadyard.interface import Arrival, Settings

# The share of admitted requests answered within their aim below which fewer are let through (chance must
# refuse nobody), the part still asked for when most is shed, and the least let through: the trial.
ADMIT_GOOD, ADMIT_GOOD_PART, ADMIT_MIN = 0.85, 0.5, 0.1
# Results within this multiple of what a request takes by now, as a decision's result comes that late, and so
# many at least, are one look. One look of good results alone raises the share let through by this factor.
ADMIT_MEMORY, ADMIT_SAMPLES, ADMIT_RISE = 2.0, 5, 2.0
# Good results save up as much as one bad one takes: heavy work refuses nobody.
ADMIT_ROOM = ADMIT_RISE ** (ADMIT_GOOD / (1.0 - ADMIT_GOOD) / ADMIT_SAMPLES)
# Requests held may grow to this multiple of what the same stream of answers holds unloaded (Little's law),
# and by so many deviations of chance: a burst. Once more than the second was held for a whole look, it is the
# bound until no more was held for two: a burst passes, a standing queue does not.
HELD_OVER, HELD_CHANCE, STANDING_OVER, STANDING_CHANCE = 2.0, 1.5, 1.3, 0.5
# Results that make an unloaded time; looks over which it is taken; its rise per look: a long queue does not
# soon pass for usual. More than this part of the aim is none: a copy that starts into a jam would learn it.
BASE_SAMPLES, CALM_LOOKS, BASE_RISE, BASE_MOST = 30, 2, 0.01, 0.5
# HELD_EACH for each endpoint that falls to a copy are always let through, HELD_MOST at most; a part of them
# while no unloaded time is known or a queue stands; HELD_FEW where copies are many, HELD_MIN with no queue.
HELD_EACH, HELD_MOST, HELD_NEW, HELD_PART, HELD_MIN, HELD_FEW = 8, 24, 0.75, 0.75, 8, 2
MIX_MEMORY = 100.0  # work asked for, in requests, over which its mix of worth is remembered
# The most worthy work may fill the bound on held requests by this much more than the least worthy, that gives
# way first; that still gets this part of what all would get alike, as a class must not starve.
WORTHY_MORE, WORTHLESS_PART = 0.5, 0.5
ALLOW_FOR = 2.0  # aims for which a tenant may save up its part of the allowance


class Admission:
    """Guards against congestion collapse: queues so long that every answer is late, and clients' further
    tries that keep them so. Once the share of answers in time falls, fewer are let through."""

    def __init__(self, aim_us: float) -> None:
        # What a request takes by now, over more looks, for less noise, and unloaded: the least of those.
        self.took = self.calm = self.base = self.aim = aim_us  # and the mean aim
        self.count, self.results, self.sent = 0, 0.0, 0.0  # in all; lately, and let through lately
        self.began = self.at = self.sent_at = self.calm_at = self.busy_at = 0  # few last held, and many
        self.least, self.share = float(HELD_MIN), 1.0  # so many may always be held; the share let through
        self.settled, self.standing, self.bounded = False, False, -1  # bounded: when it last refused one

    def note(self, now: int, took: int, good: bool, answered: bool, aim: int) -> None:
        """One admitted request's result; the steps balance at ADMIT_GOOD, at less the more is shed."""
        memory = ADMIT_MEMORY * self.took
        self.results = self.results * exp((self.at - now) / memory) + 1.0
        self.at, self.count = now, self.count + 1
        look = max(self.results, ADMIT_SAMPLES)
        self.aim += (aim - self.aim) / min(self.count, BASE_SAMPLES)
        self.took += (max(took, 1) - self.took) / min(self.count, look)
        self.calm += (max(took, 1) - self.calm) / min(self.count, max(BASE_SAMPLES, CALM_LOOKS * look))
        self.began = self.began or now - took
        # The first answers are the quickest ones: they say only where to begin.
        self.settled |= self.count >= BASE_SAMPLES and now - self.began > CALM_LOOKS * memory
        self.base = min(self.base * (1.0 + BASE_RISE / look), self.calm) if self.settled else self.calm
        step = log(ADMIT_RISE) / look
        if not good:
            if now - took <= self.bounded:
                return  # taken before the bound last acted, which has answered it
            asked = ADMIT_GOOD * (ADMIT_GOOD_PART + (1.0 - ADMIT_GOOD_PART) * min(1.0, self.share))
            step *= -asked / (1.0 - asked)
            if not answered:  # no mere heavy work: the room saved up is gone
                self.share = min(1.0, self.share)
        self.share = min(ADMIT_ROOM, max(ADMIT_MIN, self.share * exp(step)))

    def admits(self, now: int, held: int, place: tuple[float, float], chance: float) -> bool:
        """Whether to take a request: the least worthy work gives way first."""
        less, more = place
        share, alike = min(1.0, self.share), max(1e-9, 1.0 - less - more)
        part = max(WORTHLESS_PART * share, min(1.0, (share - more) / alike))
        if through := chance < part and not self.full(now, held / (1.0 + WORTHY_MORE * less)):
            kept = self.sent * exp((self.sent_at - now) / (ADMIT_MEMORY * self.took))
            self.sent, self.sent_at = 1.0 + kept, now
        return through

    def full(self, now: int, held: float) -> bool:
        """Guards against choked endpoints: they queue for seconds before an answer is late."""
        memory = ADMIT_MEMORY * self.took
        # Results lag behind a rise; up to a twofold, what was let through tells of it (base being known).
        recent = self.results * exp((self.at - now) / memory)
        sent = self.sent * exp((self.sent_at - now) / memory) * self.settled
        recent = max(recent, min(ADMIT_RISE * recent, sent))
        usual = recent / memory * min(self.base, BASE_MOST * self.aim)
        # Fewer than HELD_FEW are no queue, however seldom this copy is asked.
        tight = max(HELD_FEW, STANDING_OVER * usual + STANDING_CHANCE * sqrt(usual))
        loose = HELD_OVER * usual + HELD_CHANCE * sqrt(usual)
        self.calm_at, self.busy_at = (now, self.busy_at) if held <= tight else (self.calm_at, now)
        slow = self.standing or self.calm > HELD_OVER * self.base
        # A queue stands once it lasted for a look; it is over once none was seen for two.
        self.standing |= self.settled and now - self.calm_at > memory
        self.standing &= now - self.busy_at < 2.0 * memory
        part = HELD_PART if self.standing else 1.0 if self.settled else HELD_NEW
        least = max(HELD_FEW if slow else HELD_MIN, self.least * part)
        full = held > max(least, tight if self.standing else loose)
        self.bounded = now if full else self.bounded
        return full


class Worth:
    """What a request is worth against others of late, by class and by whether its tenant is past its part."""

    def __init__(self, settings: Settings, aim_us: float) -> None:
        self.settings, self.span = settings, ALLOW_FOR * aim_us
        worths = [c.worth for c in settings.classes]
        self.kinds = worths + [w * settings.over_share_worth for w in worths]
        self.mix = [0.0] * len(self.kinds)
        self.meters = [(0.0, 0)] * len(settings.tenants)

    def place(self, now: int, event: Arrival) -> tuple[float, float]:
        """The parts of the work lately asked for that are worth less and more."""
        kind = event.cls + len(self.kinds) // 2 * self._over(now, event.tenant)
        self.mix = [part * (1.0 - 1.0 / MIX_MEMORY) for part in self.mix]
        self.mix[kind] += event.work_us or 1.0
        worth, total = self.kinds[kind], sum(self.mix)
        less = sum(part for part, other in zip(self.mix, self.kinds, strict=True) if other < worth)
        more = sum(part for part, other in zip(self.mix, self.kinds, strict=True) if other > worth)
        return less / total, more / total

    def _over(self, now: int, tenant: int) -> bool:
        """Whether a tenant asks for more than its share; each copy meters an equal part of the allowance."""
        if tenant >= len(self.meters) or not self.settings.tenants[tenant]:
            return False
        rate = self.settings.tenants[tenant] / self.settings.instances / 1e6
        saved, at = self.meters[tenant]
        saved = min(1.0 + rate * self.span, saved + rate * (now - at))
        self.meters[tenant] = (saved if saved < 1.0 else saved - 1.0, now)
        return saved < 1.0
