"""Random traffic over upstreams that crash, for tests of crash verdicts."""

import random
from collections import Counter
from dataclasses import dataclass, field

from currantdeal.policy.crashes.evidence import Crash
from currantdeal.policy.crashes.identity import (
    IdentityKind,
    part_identity,
)
from currantdeal.policy.crashes.records import SuspectRecord
from currantdeal.policy.crashes.registry import CrashRegistry

RUN_STEPS = 40
"""Duration of a run, in steps; one request starts in each step."""

EARLY_STEPS = 4
"""Steps of a run before its first output."""

CONTACT_STEPS = 40
"""Steps after the fifth crash from which on a run with the culprit is late."""

ALLOWED_CRASHES = 5


def part(name):
    """Return the identity of a part with a short name."""
    return part_identity(IdentityKind.PART, name.encode().ljust(16, b"-"))


@dataclass(frozen=True, kw_only=True)
class TrafficPlan:
    """What is sent, and under what upstreams crash.

    Parameters
    ----------
    seed : int
        Seed of all draws.
    culprits : tuple of str
        Parts that crash each upstream that runs them.
    position : int
        Number of sound parts before the culprit.
    partner : bool
        Whether another part stands beside each culprit and nowhere else.
    crash_after : int
        Steps of a run after which the culprit crashes the upstream.
    culprit_share, other_crashes : float
        Share of the requests that have a culprit, and of the sound runs under
        which an upstream crashes.
    unseen : float
        Share of the crashes under a culprit that the entry does not notice for
        the request that caused them.
    calm_steps : int
        Steps before the first crash.
    """

    seed: int
    culprits: tuple[str, ...] = ("bad",)
    position: int = 1
    partner: bool = False
    crash_after: int = 1
    culprit_share: float = 0.15
    other_crashes: float = 0.0
    unseen: float = 0.0
    calm_steps: int = 200
    upstreams: int = 6


@dataclass(kw_only=True, eq=False)
class _Run:
    number: int
    parts: tuple[str, ...]
    upstream: int
    began: int
    culprit: str = ""

    @property
    def identities(self):
        request = b"r%015d" % self.number
        return (request, *map(part, self.parts))


@dataclass(kw_only=True)
class TrafficResult:
    """Counts of one play.

    Attributes
    ----------
    crashes : dict
        Steps of the crashes under each culprit.
    late : Counter
        Runs with each culprit that began later than ``CONTACT_STEPS`` after
        the fifth crash under it.
    sound, refused : int
        Sound requests that were sent, and those of them that were refused.
    """

    crashes: dict = field(default_factory=dict)
    late: Counter = field(default_factory=Counter)
    sound: int = 0
    refused: int = 0


class Traffic:
    """Plays a ``TrafficPlan`` against one registry."""

    def __init__(self, *, plan):
        """Start with idle upstreams and an empty registry."""
        self._plan = plan
        self._rng = random.Random(plan.seed)
        self._runs = []
        self._incarnations = [0] * plan.upstreams
        self.registry = CrashRegistry()
        crashes = {name: [] for name in plan.culprits}
        self.result = TrafficResult(crashes=crashes)

    def play(self, steps):
        """Send one request in each step; return the ``TrafficResult``."""
        for now in range(steps):
            self._start(now)
            for run in list(self._runs):
                if run not in self._runs:
                    continue  # lost in a crash of this step
                age = now - run.began
                if run.culprit and age >= self._plan.crash_after:
                    self.result.crashes[run.culprit].append(now)
                    self._crash(run, now)
                elif age >= RUN_STEPS:
                    self._complete(run)
        return self.result

    def _start(self, now):
        run = self._draw(now)
        verdict = self.registry.find_verdict(run.identities)
        if not run.culprit:
            self.result.sound += 1
            self.result.refused += verdict is not None
        if verdict is not None:
            return
        self.result.late[run.culprit] += self._is_late(run, now)
        self._runs.append(run)
        if run.culprit or now < self._plan.calm_steps:
            return
        if self._rng.random() < self._plan.other_crashes:
            self._crash(run, now)

    def _draw(self, now):
        rng, plan = self._rng, self._plan
        common = ("base", f"catalogue{rng.randrange(4)}")
        culprit = ""
        parts = (*common, f"session{rng.randrange(60)}")
        share = plan.culprit_share if now >= plan.calm_steps else 0.0
        if rng.random() < share:
            culprit = rng.choice(plan.culprits)
            beside = (f"{culprit}-partner",) if plan.partner else ()
            parts = (
                *common[: plan.position],
                culprit,
                *beside,
                *common[plan.position :],
            )
        return _Run(
            number=now,
            parts=parts,
            upstream=rng.randrange(plan.upstreams),
            began=now,
            culprit=culprit,
        )

    def _is_late(self, run, now):
        crashes = self.result.crashes.get(run.culprit, ())
        if len(crashes) < ALLOWED_CRASHES:
            return False
        return now > crashes[ALLOWED_CRASHES - 1] + CONTACT_STEPS

    def _complete(self, run):
        self._runs.remove(run)
        for identity in run.identities:
            self.registry.add_completion(identity, software="v1")

    def _crash(self, cause, now):
        lost = [r for r in self._runs if r.upstream == cause.upstream]
        started = self._incarnations[cause.upstream]
        self._incarnations[cause.upstream] += 1
        for run in lost:
            self._runs.remove(run)
            if run is cause and self._rng.random() < self._plan.unseen:
                continue
            crash = Crash(
                upstream=f"u{cause.upstream}",
                started_ms=started,
                early=now - run.began < EARLY_STEPS,
                software="v1",
                request_id=str(run.number),
            )
            self.registry.merge(
                SuspectRecord(fingerprint=identity, crashes=(crash,))
                for identity in run.identities
            )
