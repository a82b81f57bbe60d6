"""Runs one instance with in-process ports, as a separate process.

Usage: ``python -m currantdeal.cli.tests.local_daemon SETTINGS``.
"""

import sys

from currantdeal.adapters.logs import configure_logs
from currantdeal.adapters.settings import read_settings
from currantdeal.cli.daemon import Ports
from currantdeal.cli.serve import run
from currantdeal.core import Selector
from currantdeal.ports import Member
from currantdeal.state import ApplySelector, Origin
from currantdeal.testing.local_ports import (
    LocalHomes,
    LocalMembers,
    LocalState,
)


def build_local_ports(*, settings, clock, metrics):
    """Return in-process ports with one selector that matches everything."""
    state = LocalState(instance=settings.instance, region=settings.region)
    origin = Origin(request_id="all", actor="test", instance=settings.instance)
    state.propose(
        ApplySelector(
            origin=origin, selector=Selector(name="all"), expected_version=0
        ),
        timeout_s=1.0,
    )
    member = Member(
        instance=settings.instance,
        incarnation=1,
        caller_address=settings.caller_address,
        peer_address=settings.peer_address,
        region=settings.region,
        data_center=settings.data_center,
    )
    return Ports(
        state=state,
        homes=LocalHomes(state=state, clock=clock),
        members=LocalMembers(me=member),
    )


if __name__ == "__main__":
    configure_logs()
    run(read_settings(sys.argv[1]), build_local_ports)
