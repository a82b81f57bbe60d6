from currantdeal.control.crash_replicator import (
    REPEAT_PERIOD_S,
    SILENCE_TIMEOUT_S,
    CrashReplicator,
)
from currantdeal.node.messages import CrashesNotice
from currantdeal.policy.crashes.evidence import Crash
from currantdeal.policy.crashes.records import SuspectRecord

FINGERPRINT = b"poison"


def _record(*numbers):
    crashes = (Crash(upstream=f"u{n}", started_ms=1) for n in numbers)
    return SuspectRecord(fingerprint=FINGERPRINT, crashes=tuple(crashes))


class _Network:
    """Control instances, and the pairs of them that are partitioned."""

    def __init__(self, *names):
        self.now_s = 0.0
        self.partitioned = set()
        self.replicators = {}
        self.entries = {name: [] for name in names}
        for name in names:
            self.start(name)

    def start(self, name):
        self.replicators[name] = CrashReplicator(
            exchange=_Exchange(net=self, local_id=name),
            clock=lambda: self.now_s,
        )

    def send(self, sender, receiver, notice):
        if frozenset((sender, receiver)) not in self.partitioned:
            self.replicators[receiver].receive(notice)

    def beat(self, seconds=0.5):
        """Advance time; reachable instances receive each other's heartbeat."""
        self.now_s += seconds
        for name, replicator in self.replicators.items():
            replicator.repeat_recent()
            for other in self.replicators:
                if (
                    other != name
                    and frozenset((name, other)) not in self.partitioned
                ):
                    self.replicators[other].on_heartbeat(name)

    def quarantines(self, name):
        return self.replicators[name].quarantined == {FINGERPRINT}


class _Exchange:
    def __init__(self, *, net, local_id):
        self._net = net
        self.local_id = local_id

    def publish(self, notice):
        self._net.entries[self.local_id].append(notice)

    def notify_others(self, notice):
        for name in self._net.replicators:
            if name != self.local_id:
                self.notify_one(name, notice)

    def notify_one(self, name, notice):
        self._net.send(self.local_id, name, notice)


class _Entry:
    def __init__(self):
        self.notices = []

    def notify(self, notice):
        self.notices.append(notice)


def test_crashes_seen_by_three_instances_are_added_up():
    """Guards against a quarantine that counts only one instance's crashes.

    Each of three control instances is notified of one crash of the same
    request.
    """
    net = _Network("c1", "c2", "c3")
    for number, name in enumerate(net.replicators):
        net.replicators[name].receive(
            CrashesNotice(records=(_record(number),))
        )
    assert all(net.quarantines(name) for name in net.replicators)
    assert all(len(notices) == 3 for notices in net.entries.values())


def test_records_are_relayed_around_a_partial_partition():
    """Guards against records that a partial partition keeps from entries.

    Two control instances cannot reach each other, but a third reaches both.
    """
    net = _Network("c1", "c2", "c3")
    net.partitioned.add(frozenset(("c1", "c3")))
    net.replicators["c1"].receive(CrashesNotice(records=(_record(1, 2, 3),)))
    assert net.quarantines("c3")


def test_instance_receives_missed_records_after_a_partition():
    """Guards against records that are lost in a partition.

    The partition outlasts the time for which changes are sent again.
    """
    net = _Network("c1", "c2", "c3")
    net.beat()
    net.partitioned.update({frozenset(("c1", "c3")), frozenset(("c2", "c3"))})
    net.replicators["c1"].receive(CrashesNotice(records=(_record(1, 2, 3),)))
    for _ in range(int(2 * (REPEAT_PERIOD_S + SILENCE_TIMEOUT_S) / 0.5)):
        net.beat()
    assert not net.quarantines("c3")
    net.partitioned.clear()
    net.beat()
    assert net.quarantines("c3")


def test_instance_that_lost_its_disk_receives_all_records():
    """Guards against an instance that loses all records with its disk.

    It restarts empty long after the others stopped sending the change again.
    """
    net = _Network("c1", "c2", "c3")
    net.replicators["c1"].receive(CrashesNotice(records=(_record(1, 2, 3),)))
    net.beat()
    net.now_s += 10 * REPEAT_PERIOD_S
    net.beat()
    net.beat()
    net.start("c2")
    net.beat()
    assert net.quarantines("c2")


def test_lost_notice_is_sent_again():
    """Guards against a record that is lost with a broken connection."""
    net = _Network("c1", "c2")
    net.beat()
    net.partitioned.add(frozenset(("c1", "c2")))
    net.replicators["c1"].receive(CrashesNotice(records=(_record(1, 2, 3),)))
    net.partitioned.clear()
    net.beat()
    assert net.quarantines("c2")


def test_old_records_are_not_sent_again():
    """Guards against traffic that grows with the number of all crashes."""
    net = _Network("c1")
    sent = []
    net.replicators["c1"].receive(CrashesNotice(records=(_record(1, 2, 3),)))
    net.now_s += REPEAT_PERIOD_S + 0.1
    net.replicators["c2"] = CrashReplicator(
        exchange=_Exchange(net=net, local_id="c2"), clock=lambda: net.now_s
    )
    net.send = lambda sender, receiver, notice: sent.append(notice)
    net.replicators["c1"].repeat_recent()
    assert sent == []


def test_new_subscriber_receives_all_records():
    """Guards against a starting entry that runs a quarantined request."""
    net = _Network("c1")
    entry = _Entry()
    net.replicators["c1"].send_all(entry)
    assert entry.notices == []
    net.replicators["c1"].receive(CrashesNotice(records=(_record(1, 2, 3),)))
    net.replicators["c1"].send_all(entry)
    (notice,) = entry.notices
    assert len(notice.records[0].crashes) == 3


def test_every_change_is_saved():
    """Guards against a power failure after which a quarantine is lost.

    Every changed set of records is saved, an unchanged one is not.
    """
    saved = []
    replicator = CrashReplicator(
        exchange=_Exchange(net=_Network("c1"), local_id="c1"),
        clock=lambda: 0.0,
        on_change=saved.append,
    )
    replicator.receive(CrashesNotice(records=(_record(1, 2, 3),)))
    replicator.receive(CrashesNotice(records=(_record(1, 2, 3),)))
    (records,) = saved
    again = CrashReplicator(
        exchange=_Exchange(net=_Network("c1"), local_id="c1"),
        clock=lambda: 0.0,
    )
    again.load(records)
    assert again.quarantined == {FINGERPRINT}
