"""Builds a serving layer with fake upstreams and local state for tests."""

from dataclasses import dataclass
from itertools import count

from currantdeal.adapters.metrics import Metrics
from currantdeal.adapters.settings import Settings
from currantdeal.cli.daemon import Ports
from currantdeal.cli.serving import Serving, build_serving
from currantdeal.core import (
    Label,
    Role,
    Selector,
    Upstream,
    UpstreamKind,
    Work,
    WorkKind,
)
from currantdeal.ports import ServiceCall
from currantdeal.serving.requests import (
    CallRequest,
    GenerationRequest,
    never_disconnected,
)
from currantdeal.state import (
    AnnounceUpstream,
    ApplySelector,
    Origin,
    SetLabels,
)
from currantdeal.testing.fake_upstreams import (
    FakeEngines,
    FakeServices,
    ManualClock,
)
from currantdeal.testing.local_ports import LocalHomes, LocalState

_sequence_numbers = count(1)


@dataclass(frozen=True, kw_only=True)
class World:
    """A serving layer and the fakes that it uses."""

    serving: Serving
    engines: FakeEngines
    services: FakeServices
    state: LocalState
    homes: LocalHomes
    clock: ManualClock
    metrics: Metrics

    def counter(self, name):
        """Return the value of a counter without labels."""
        for line in self.metrics.render()[1].decode().splitlines():
            if line.startswith(f"currantdeal_{name} "):
                return float(line.split()[1])
        return 0.0

    def wait_for_cleanup(self):
        """Wait until the cleaner has run all its jobs."""
        assert self.serving.cleaner.wait_idle(timeout_s=30)

    def grants_held(self):
        """Return the number of grants held."""
        return sum(len(names) for names in self.homes.reserved.values())


def build_world(*, state=None, upstreams=None, services=None):
    """Return a world, by default with the ``default_upstreams``."""
    clock = ManualClock()
    if state is None:
        state = LocalState()
        propose(state, ApplySelector, selector=Selector(name="all"))
        for upstream in upstreams or default_upstreams():
            propose(state, AnnounceUpstream, upstream=upstream)
    homes = LocalHomes(state=state, clock=clock)
    engines = FakeEngines()
    services = services or FakeServices()
    metrics = Metrics()
    serving = build_serving(
        settings=settings(),
        ports=Ports(state=state, homes=homes, members=None),
        engines=engines,
        services=services,
        clock=clock,
        metrics=metrics,
        limit=8,
    )
    return World(
        serving=serving,
        engines=engines,
        services=services,
        state=state,
        homes=homes,
        clock=clock,
        metrics=metrics,
    )


def settings():
    """Return settings of a single instance."""
    return Settings(
        instance="i1",
        region="r1",
        data_center="r1-1",
        caller_address="127.0.0.1:0",
        peer_address="127.0.0.1:0",
    )


def default_upstreams():
    """Return two prefill and two decode engines, and two shops."""
    return [
        *(engine(f"p{n}", Role.PREFILL) for n in (1, 2)),
        *(engine(f"d{n}", Role.DECODE) for n in (1, 2)),
        *(shop(f"s{n}") for n in (1, 2)),
    ]


def engine(name, role, *, pieces=100):
    """Return an engine of one role."""
    return Upstream(
        upstream_id=name,
        incarnation=1,
        address="127.0.0.1:1",
        kind=UpstreamKind.ENGINE,
        roles=(role,),
        targets=("m",),
        region="r1",
        data_center="r1-1",
        pieces_total=pieces,
    )


def shop(name):
    """Return a plain service."""
    return Upstream(
        upstream_id=name,
        incarnation=1,
        address="127.0.0.1:1",
        kind=UpstreamKind.SERVICE,
        roles=(Role.SERVICE,),
        targets=("shop",),
        region="r1",
        data_center="r1-1",
    )


def propose(state, command, **fields):
    """Propose a command as an operator."""
    if command in (ApplySelector, SetLabels):
        fields = {"expected_version": 0, **fields}
    origin = Origin(
        request_id=f"op{next(_sequence_numbers)}", actor="ana", instance="i1"
    )
    return state.propose(command(origin=origin, **fields), timeout_s=1.0)


def withdraw(state, *names):
    """Withdraw upstreams by setting a label."""
    for name in names:
        propose(
            state,
            SetLabels,
            upstream_id=name,
            labels=(Label(name="withdrawn"),),
        )


def generation(
    world, *, is_disconnected=never_disconnected, deadline_in_s=5.0, tokens=3
):
    """Return a request to the model for a short output."""
    now_s = world.clock.monotonic_s()
    return GenerationRequest(
        work=Work(
            request_id=f"r{next(_sequence_numbers)}",
            caller="nube",
            kind=WorkKind.CHAT,
            target="m",
            region="r1",
            prompt_tokens=4,
            max_output_tokens=tokens,
            arrived_s=now_s,
            deadline_s=now_s + deadline_in_s,
        ),
        prompt="cake",
        is_disconnected=is_disconnected,
    )


def order(world, *, key="", method="POST", body=b"cake", deadline_in_s=5.0):
    """Return a call to the shop."""
    now_s = world.clock.monotonic_s()
    return CallRequest(
        work=Work(
            request_id=f"r{next(_sequence_numbers)}",
            caller="nube",
            kind=WorkKind.SERVICE,
            target="shop",
            region="r1",
            arrived_s=now_s,
            deadline_s=now_s + deadline_in_s,
            idempotent=method == "GET",
        ),
        call=ServiceCall(method=method, path="/orders", body=body),
        key=key,
    )
