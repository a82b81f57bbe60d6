"""Sums of loads as they are sent to the entries of a control instance."""

import random

from currantdeal.adapters.generated.peers.ttypes import FrameKind
from currantdeal.control import load_publisher
from currantdeal.control.load_publisher import LoadPublisher
from currantdeal.node.messages import LoadChangesNotice, LoadNotice
from currantdeal.node.peers import pack_frame
from currantdeal.policy.load.load_changes import WHOLE_INTERVAL_S, LoadChain
from currantdeal.policy.load.shared_load import LOAD_INTERVAL_S, PoolLoad

ENGINES = 3_000
CHANGED_SHARE = 0.2
"""Share of the engines of which a stream starts or ends in an interval."""


class _Entry:
    """A subscriber that keeps the notices it receives."""

    def __init__(self):
        self.notices = []
        self.chain = LoadChain()

    def send_packed(self, frame):
        self.notices.append(frame)

    @property
    def load(self):
        """The sums that an entry has after all notices."""
        load = None
        for notice in self.notices:
            if isinstance(notice, LoadNotice):
                load = notice.load
            else:
                load = self.chain.apply(notice.sender, notice.changes)
        return load


def _publish(publisher, entries, held, *, now_s):
    load = PoolLoad(held=dict(held), unreachable={})
    publisher.publish(load, entries, now_s=now_s)
    return load


def _publisher(monkeypatch):
    """Return a publisher whose frames are the notices, and those packed."""
    packed = []

    def pack(kind, number, notice):
        packed.append(notice)
        return notice

    monkeypatch.setattr(load_publisher, "pack_frame", pack)
    return LoadPublisher(sender="c1"), packed


def test_an_entry_that_joins_late_receives_whole_sums(monkeypatch):
    publisher, packed = _publisher(monkeypatch)
    first, late = _Entry(), _Entry()
    publisher.subscribe(first)
    _publish(publisher, [first], {"d1": 1, "d2": 2}, now_s=0.0)
    publisher.subscribe(late)
    load = _publish(publisher, [first, late], {"d1": 1, "d2": 3}, now_s=0.1)
    assert first.load == late.load == load
    assert first.notices[1].changes.changed.held == {"d2": 3}
    _publish(publisher, [first, late], {"d2": 3}, now_s=0.2)
    assert first.notices[-1] is late.notices[-1]
    assert len(packed) == 4


def test_an_entry_that_subscribes_again_receives_whole_sums(monkeypatch):
    """Its connection was lost, with changes on the way."""
    publisher, _ = _publisher(monkeypatch)
    entry = _Entry()
    publisher.subscribe(entry)
    _publish(publisher, [entry], {"d1": 1}, now_s=0.0)
    publisher.unsubscribe(entry)
    _publish(publisher, [], {"d1": 2}, now_s=0.1)
    publisher.subscribe(entry)
    entry.notices.clear()
    load = _publish(publisher, [entry], {"d1": 2}, now_s=0.2)
    assert entry.load == load


def test_a_lost_notice_is_healed_by_the_next_whole_sums(monkeypatch):
    publisher, _ = _publisher(monkeypatch)
    entry = _Entry()
    publisher.subscribe(entry)
    for step in range(4):
        _publish(publisher, [entry], {"d1": step}, now_s=0.1 * step)
    del entry.notices[2]
    assert entry.load is None
    load = _publish(publisher, [entry], {"d1": 9}, now_s=WHOLE_INTERVAL_S)
    assert entry.load == load


def test_an_older_entry_receives_whole_sums_each_time(monkeypatch):
    """Guards against a message on which it aborts its connection."""
    publisher, _ = _publisher(monkeypatch)
    older, newer = _Entry(), _Entry()
    publisher.subscribe(newer)
    for step in range(3):
        held = {"d1": step, "d2": 1}
        load = _publish(publisher, [older, newer], held, now_s=0.1 * step)
    assert {type(n) for n in older.notices} == {LoadNotice}
    assert {type(n) for n in newer.notices} == {LoadChangesNotice}
    assert older.load == newer.load == load


class _Link:
    """A link to another control instance."""

    def __init__(self, address):
        self.address = address
        self.connection = _Entry()
        self.notified = []

    def notify(self, notice):
        """Keep a notice that opens a connection."""
        self.notified.append(notice)


def test_control_instances_receive_changes_on_each_connection(monkeypatch):
    """A connection is lost, and another instance is of an older build."""
    publisher, _ = _publisher(monkeypatch)
    links = newer, older = _Link("c2"), _Link("c3")

    def send(held, now_s):
        load = PoolLoad(held=held, unreachable={})
        publisher.publish_to_links(
            load, links, understands={"c2"}.__contains__, now_s=now_s
        )
        return load

    send({"d1": 1}, 0.0)
    load = send({"d1": 1, "d2": 2}, 0.1)
    assert newer.connection.notices[1].changes.changed.held == {"d2": 2}
    assert newer.connection.load == load
    newer.connection = None
    missed = send({"d1": 3}, 0.2)
    assert newer.notified[-1].load == missed
    newer.connection = _Entry()
    load = send({"d1": 4}, 0.3)
    assert newer.connection.load == load
    assert older.notified[-1].load == load
    assert not older.connection.notices


def test_changes_of_many_engines_take_half_the_bytes():
    """Load pattern: fan-out of 3,000 engines to each entry."""
    rng = random.Random(1)
    publisher, newer = LoadPublisher(sender="c1"), _Entry()
    publisher.subscribe(newer)
    held = {f"engine-{n:05}": 10_000 for n in range(ENGINES)}
    whole_bytes = 0
    for step in range(40):
        for name in rng.sample(sorted(held), int(CHANGED_SHARE * ENGINES)):
            held[name] = rng.randrange(100_000)
        now_s = step * LOAD_INTERVAL_S
        load = _publish(publisher, [newer], held, now_s=now_s)
        notice = LoadNotice(sender="c1", load=load)
        whole_bytes += len(pack_frame(FrameKind.NOTICE, 0, notice))
    assert 2 * sum(map(len, newer.notices)) < whole_bytes
