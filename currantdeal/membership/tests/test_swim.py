from dataclasses import replace

import pytest

from currantdeal.membership import (
    Exchange,
    WireError,
    decode_message,
    encode_message,
    same_process,
)
from currantdeal.membership.tests.builders import Bag, build_member


def _joined(count, **options):
    bag = Bag(count=count, **options)
    bag.until(lambda: all(bag.all_see(n, "alive") for n in range(count)))
    return bag


@pytest.mark.parametrize("count", [1, 2, 8, 40])
def test_instances_find_each_other_from_two_seeds(count):
    bag = _joined(count)
    assert bag.now_s < 15


def test_killed_instance_is_declared_dead_everywhere():
    """An instance's process is killed.

    Callers that ask for entries would otherwise be sent to it for good.
    """
    bag = _joined(8)
    bag.crash(5)
    assert bag.until(lambda: bag.all_see(5, "dead")) < 6


def test_lossy_network_declares_nobody_dead():
    """A tenth of all datagrams is lost, as on a busy path.

    Without indirect pings and refutation, live instances would be declared
    dead and their upstreams' homes would move for nothing.
    """
    bag = _joined(8, loss=0.1)
    for _ in range(600):
        bag.step()
        for seen_by in range(8):
            assert "dead" not in bag.statuses(seen_by).values()


def test_one_way_loss_between_two_instances_harms_nobody():
    """A switch forwards from one instance to another, but not back.

    The two would each think the other dead, if nobody else were asked.
    """
    bag = _joined(6)
    bag.cut = {(2, 3)}
    bag.run(30)
    assert bag.all_see(2, "alive")
    assert bag.all_see(3, "alive")


def test_partition_heals():
    """A region is cut off for minutes, and both sides declare it dead.

    If nobody spoke to the dead, the regions would stay apart after the
    network came back, until an operator restarted something.
    """
    bag = _joined(8)
    bag.partition({0, 1, 2, 3}, {4, 5, 6, 7})
    bag.until(lambda: bag.statuses(0)["i7"] == "dead")
    bag.run(120)
    assert set(bag.statuses(7).values()) == {"alive", "dead"}
    bag.partition((), ())
    healed_s = bag.until(
        lambda: all(bag.all_see(n, "alive") for n in range(8))
    )
    assert healed_s < 15


def test_restarted_instance_is_told_from_the_same():
    """A process dies and starts again before anybody noticed.

    Whoever held something of the former process has to learn that it is
    gone, though the name answers again.
    """
    bag = _joined(4)
    before = bag.swims[0].members()[3]
    bag.crash(3)
    bag.start(3, wall_s=2.0)

    def seen():
        return bag.swims[0].members()[3].incarnation

    bag.until(lambda: not same_process(seen(), before.incarnation))
    assert bag.all_see(3, "alive")


def test_restart_with_a_clock_set_back_is_taken_for_a_restart():
    """The machine's clock was set back before the process started again.

    Its first news would be older than what the others know, and be ignored.
    """
    bag = _joined(4)
    before = bag.swims[0].members()[3]
    bag.crash(3)
    bag.start(3, wall_s=0.5)
    bag.until(
        lambda: bag.swims[0].members()[3].incarnation > before.incarnation
    )
    after = bag.swims[0].members()[3]
    assert not same_process(after.incarnation, before.incarnation)


def test_stopped_instance_has_left_and_is_not_suspected():
    bag = _joined(8)
    bag._post(6, bag.swims[6].leave(bag.now_s))
    bag.crash(6)
    assert bag.until(lambda: bag.all_see(6, "left")) < 3


def test_own_pause_makes_an_instance_judge_nobody():
    """A process is stopped for ten seconds and goes on.

    Every answer it waited for has come too late, so without care it would
    suspect all others at once and tell so.
    """
    bag = _joined(6)
    paused = bag.swims.pop(2)
    bag.run(10)
    bag.swims[2] = paused
    bag.until(lambda: bag.all_see(2, "alive"))
    bag.run(5)
    assert set(bag.statuses(2).values()) == {"alive"}


def test_load_and_draining_reach_everybody():
    bag = _joined(8)
    bag.swims[1].update(now_s=bag.now_s, draining=True, load=0.5)

    def known(seen_by):
        member = bag.swims[seen_by].members()[1]
        return member.draining and member.load == 0.5

    assert bag.until(lambda: all(known(n) for n in range(8))) < 5


def test_bytes_a_second_do_not_grow_with_the_number_of_instances():
    rates = []
    for count in (24, 48):
        bag = _joined(count)
        bag.run(40)
        before = sum(bag.sent_bytes.values())
        bag.run(20)
        spent = sum(bag.sent_bytes.values()) - before
        rates.append(spent / count / 20)
    assert rates[1] < 1.25 * rates[0]
    assert rates[1] < 1500


def test_messages_survive_the_wire():
    sender = build_member(1, load=0.25, draining=True)
    message = Exchange(
        sender=sender, rumors=(build_member(2),), reply_wanted=True
    )
    assert decode_message(encode_message(message)) == message
    assert len(encode_message(replace(message, rumors=()))) < 120


@pytest.mark.parametrize("raw", [b"", b"\x93\x01\x02\x03", b"hello", b"\xc1"])
def test_other_datagrams_are_refused(raw):
    with pytest.raises(WireError):
        decode_message(raw)
