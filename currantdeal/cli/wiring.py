"""Builds the production ports of an instance from its settings."""

from functools import partial

from currantdeal.adapters.connections import Connections
from currantdeal.adapters.engines import HttpEngines
from currantdeal.adapters.gossip import build_members
from currantdeal.adapters.homes import build_homes
from currantdeal.adapters.peers import PeerPool, PeerServer
from currantdeal.adapters.replication import build_state
from currantdeal.cli.daemon import Ports, Runner

HAND_OVER_TIMEOUT_S = 5.0
"""Timeout of each handover at the end of a drain: homes, then the state."""


def build_ports(*, settings, clock, metrics):
    """Return the ``Ports`` of an instance.

    Parameters
    ----------
    settings : Settings
        Settings of the instance.
    clock : Clock
        Clock of the replicated state, the membership and the homes.
    metrics : MetricsPort
        Unused; the builders of ports share one signature.
    """
    host, _, port = settings.peer_address.rpartition(":")
    peer_server = PeerServer(host=host, port=int(port))
    peer_pool = PeerPool()
    state = build_state(settings, peer_server, peer_pool, clock)
    members = build_members(settings=settings, clock=clock)
    homes = build_homes(
        settings=settings,
        clock=clock,
        state=state.port,
        members=members,
        engines=HttpEngines(connections=Connections()),
        peer_server=peer_server,
        peer_pool=peer_pool,
    )
    return Ports(
        state=state.port,
        homes=homes,
        members=members,
        runners=tuple(
            Runner(name=name, start=part.start, stop=part.stop)
            for name, part in (
                ("peers", peer_server),
                ("state", state),
                ("members", members),
                ("homes", homes),
            )
        ),
        hand_over=(
            partial(homes.hand_over, timeout_s=HAND_OVER_TIMEOUT_S),
            partial(state.transfer_leadership, timeout_s=HAND_OVER_TIMEOUT_S),
        ),
    )
