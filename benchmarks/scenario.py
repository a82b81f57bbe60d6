"""Describes a run: offered load, callers and engines that become slow."""

from dataclasses import dataclass, replace

from benchmarks.deployments import CallerProfile, Deployment, draw_work
from benchmarks.fake import Request

WARM_UP_S = 10.0
MEASURED_S = 50.0
DRAIN_S = 150.0


@dataclass(frozen=True, kw_only=True)
class Phase:
    """A period with a constant offered load, up to the next phase.

    Parameters
    ----------
    load : float
        Offered load as a multiple of capacity.
    """

    from_s: float
    load: float


@dataclass(frozen=True, kw_only=True)
class Scenario:
    """One run.

    Parameters
    ----------
    phases : tuple of Phase
        Phases in order of time; the first starts at 0.
    callers : tuple of CallerProfile
        Callers whose shares add up to 1; empty for the deployment's own.
    capacity_per_s : float
        Requests a second at a load of 1; 0 for the engines' capacity for
        these callers' requests.
    slow_engine : str
        Upstream that becomes slow; empty for none.
    slow_factor, slow_from_s, slow_until_s : float
        Factor on its times, and the period in which it applies.
    """

    deployment: Deployment
    phases: tuple[Phase, ...]
    callers: tuple[CallerProfile, ...] = ()
    capacity_per_s: float = 0.0
    slow_engine: str = ""
    slow_factor: float = 1.0
    slow_from_s: float = WARM_UP_S
    slow_until_s: float = float("inf")
    measured_s: float = MEASURED_S

    @property
    def end_s(self):
        """Time of the last arrival, in seconds."""
        return WARM_UP_S + self.measured_s

    def load_at(self, now_s):
        """Return the offered load at a time."""
        current = [ph.load for ph in self.phases if ph.from_s <= now_s]
        return current[-1]


def steady(deployment, load, **changes):
    """Return a scenario with one constant load."""
    phases = (Phase(from_s=0.0, load=load),)
    return Scenario(deployment=deployment, phases=phases, **changes)


def arrivals(scenario, rng):
    """Return the requests of a run in order of arrival.

    Arrivals are a Poisson process with the rate of the current phase.
    """
    deployment = scenario.deployment
    callers = scenario.callers or deployment.callers
    shares = [caller.share for caller in callers]
    capacity = scenario.capacity_per_s or deployment.capacity_per_s(callers)
    requests = []
    now_s = 0.0
    while True:
        now_s += rng.expovariate(capacity * scenario.load_at(now_s))
        if now_s >= scenario.end_s:
            return requests
        profile = rng.choices(callers, shares)[0]
        work, output = draw_work(
            rng,
            profile,
            request_id=f"r{len(requests)}",
            now_s=now_s,
            deployment=deployment,
        )
        requests.append(Request(work=work, output_tokens=output))


def with_shares(callers, shares):
    """Return callers with other shares, normalized to a sum of 1."""
    total = sum(shares)
    return tuple(
        replace(caller, share=share / total)
        for caller, share in zip(callers, shares, strict=True)
    )
