from dataclasses import replace

import pytest

from currantdeal.membership import (
    Exchange,
    WireError,
    decode_message,
    encode_message,
    same_process,
)
from currantdeal.membership.tests.builders import (
    SimulatedNetwork,
    build_member,
)


def _joined_network(count, **options):
    network = SimulatedNetwork(count=count, **options)
    network.run_until(
        lambda: all(network.all_see(n, "alive") for n in range(count))
    )
    return network


@pytest.mark.parametrize("count", [1, 2, 8, 40])
def test_instances_join_through_two_seeds(count):
    network = _joined_network(count)
    assert network.now_s < 15


def test_killed_instance_is_declared_dead_by_all():
    """Guards against callers that are directed to a dead entry.

    The process of an instance is killed without a planned stop.
    """
    network = _joined_network(8)
    network.crash(5)
    assert network.run_until(lambda: network.all_see(5, "dead")) < 6


def test_packet_loss_causes_no_false_death():
    """Guards against needless moves of homes under packet loss.

    A tenth of all datagrams is lost, as on a congested path.  Without
    indirect pings and refutation, live instances would be declared dead.
    """
    network = _joined_network(8, loss=0.1)
    for _ in range(600):
        network.step()
        for seen_by in range(8):
            assert "dead" not in network.statuses(seen_by).values()


def test_asymmetric_link_failure_causes_no_false_death():
    """Guards against false deaths on an asymmetric link failure.

    A switch forwards datagrams from one instance to another, but not back.
    Without indirect pings, both would declare the other dead.
    """
    network = _joined_network(6)
    network.blocked_links = {(2, 3)}
    network.run(30)
    assert network.all_see(2, "alive")
    assert network.all_see(3, "alive")


def test_partitioned_groups_rejoin():
    """Guards against groups that stay separate after a partition.

    A region is partitioned for minutes, and each side declares the members
    of the other one dead.  If dead members were never contacted, the regions
    would stay separate after the network recovered, until an operator
    restarted an instance.
    """
    network = _joined_network(8)
    network.partition({0, 1, 2, 3}, {4, 5, 6, 7})
    network.run_until(lambda: network.statuses(0)["i7"] == "dead")
    network.run(120)
    assert set(network.statuses(7).values()) == {"alive", "dead"}
    network.partition((), ())
    healed_s = network.run_until(
        lambda: all(network.all_see(n, "alive") for n in range(8))
    )
    assert healed_s < 15


def test_restarted_process_is_detected():
    """Guards against a restart that other instances do not detect.

    A process dies and restarts before it is suspected.  Instances that hold
    state of the former process must discard it, although an instance with
    the same name responds.
    """
    network = _joined_network(4)
    before = network.swims[0].members()[3]
    network.crash(3)
    network.start(3, wall_s=2.0)

    def seen():
        return network.swims[0].members()[3].incarnation

    network.run_until(lambda: not same_process(seen(), before.incarnation))
    assert network.all_see(3, "alive")


def test_restart_after_clock_rollback_is_detected():
    """Guards against a restarted instance whose updates are ignored.

    The clock of the machine is set back before the restart, so the first
    incarnation of the new process is lower than the known one.
    """
    network = _joined_network(4)
    before = network.swims[0].members()[3]
    network.crash(3)
    network.start(3, wall_s=0.5)
    network.run_until(
        lambda: network.swims[0].members()[3].incarnation > before.incarnation
    )
    after = network.swims[0].members()[3]
    assert not same_process(after.incarnation, before.incarnation)


def test_planned_stop_is_seen_as_left():
    network = _joined_network(8)
    network._transmit(6, network.swims[6].leave(network.now_s))
    network.crash(6)
    assert network.run_until(lambda: network.all_see(6, "left")) < 3


def test_paused_instance_suspects_no_member():
    """Guards against false suspicions after a pause of a process.

    A process is paused for ten seconds and resumes.  All acknowledgements
    are late, so it could suspect all other members at once and disseminate
    these suspicions.
    """
    network = _joined_network(6)
    paused = network.swims.pop(2)
    network.run(10)
    network.swims[2] = paused
    network.run_until(lambda: network.all_see(2, "alive"))
    network.run(5)
    assert set(network.statuses(2).values()) == {"alive"}


def test_load_and_draining_reach_all_members():
    network = _joined_network(8)
    network.swims[1].update(now_s=network.now_s, draining=True, load=0.5)

    def has_update(seen_by):
        member = network.swims[seen_by].members()[1]
        return member.draining and member.load == 0.5

    assert network.run_until(lambda: all(has_update(n) for n in range(8))) < 5


def test_bytes_a_second_do_not_grow_with_the_number_of_instances():
    rates = []
    for count in (24, 48):
        network = _joined_network(count)
        network.run(40)
        before = sum(network.sent_bytes.values())
        network.run(20)
        spent = sum(network.sent_bytes.values()) - before
        rates.append(spent / count / 20)
    assert rates[1] < 1.25 * rates[0]
    assert rates[1] < 1500


def test_message_encoding_round_trip():
    sender = build_member(1, load=0.25, draining=True)
    message = Exchange(
        sender=sender, rumors=(build_member(2),), reply_wanted=True
    )
    assert decode_message(encode_message(message)) == message
    assert len(encode_message(replace(message, rumors=()))) < 120


@pytest.mark.parametrize("raw", [b"", b"\x93\x01\x02\x03", b"hello", b"\xc1"])
def test_malformed_datagram_is_rejected(raw):
    with pytest.raises(WireError):
        decode_message(raw)
