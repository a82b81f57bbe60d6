import contextlib
import time

from currantdeal.adapters.clock import SystemClock
from currantdeal.adapters.gossip import Gossip
from currantdeal.membership import SwimTiming
from currantdeal.membership.tests.builders import build_member
from currantdeal.ports import MemberStatus
from currantdeal.testing.ports import PortReservations

LIMIT_S = 30.0


def _start(number, *, port, seeds=()):
    clock = SystemClock()
    gossip = Gossip(
        me=build_member(
            number,
            wall_s=clock.wall_s(),
            peer_address=f"127.0.0.1:{port}",
        ),
        seeds=seeds,
        routes={},
        bind=("127.0.0.1", port),
        timing=SwimTiming(probe_s=0.2, suspicion_s=0.4),
        clock=clock,
    )
    gossip.start()
    return gossip


def _until(condition):
    end_s = time.monotonic() + LIMIT_S
    while not condition():
        assert time.monotonic() < end_s, "timed out waiting for the condition"
        time.sleep(0.02)


def _status(gossip, name):
    member = gossip.member(name)
    return member.status if member else None


def test_two_instances_join_over_udp_and_one_leaves():
    ports = PortReservations()
    with contextlib.closing(ports):
        _join_and_leave(ports.take(), ports.take())


def _join_and_leave(first_port, second_port):
    first = _start(1, port=first_port)
    second = _start(2, port=second_port, seeds=(f"127.0.0.1:{first_port}",))
    try:
        _until(lambda: _status(first, "i2") is MemberStatus.ALIVE)
        second.set_draining()
        _until(lambda: first.member("i2").draining)
        assert first.traffic().received_bytes > 0
        second.stop()
        _until(lambda: _status(first, "i2") is MemberStatus.LEFT)
    finally:
        first.stop()
        second.stop()
