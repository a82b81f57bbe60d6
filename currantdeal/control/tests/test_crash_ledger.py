from currantdeal.control.crash_ledger import REPEAT_S, SILENT_S, CrashLedger
from currantdeal.node.messages import CrashesNotice
from currantdeal.policy.crash_book import Crash, SuspectRecord

POISON = b"poison"


def _record(*numbers):
    crashes = (Crash(upstream=f"u{n}", started_ms=1) for n in numbers)
    return SuspectRecord(fingerprint=POISON, crashes=tuple(crashes))


class _Net:
    """Control instances, and the pairs of them that are cut apart."""

    def __init__(self, *names):
        self.now_s = 0.0
        self.cut = set()
        self.ledgers = {}
        self.entries = {name: [] for name in names}
        for name in names:
            self.start(name)

    def start(self, name):
        self.ledgers[name] = CrashLedger(
            exchange=_Exchange(net=self, me=name),
            clock=lambda: self.now_s,
        )

    def send(self, sender, receiver, notice):
        if frozenset((sender, receiver)) not in self.cut:
            self.ledgers[receiver].take(notice)

    def beat(self, seconds=0.5):
        """Let time pass; each instance that can hears the others."""
        self.now_s += seconds
        for name, ledger in self.ledgers.items():
            ledger.beat()
            for other in self.ledgers:
                if other != name and frozenset((name, other)) not in self.cut:
                    self.ledgers[other].heard(name)

    def know(self, name):
        return self.ledgers[name].quarantined == {POISON}


class _Exchange:
    def __init__(self, *, net, me):
        self._net = net
        self.me = me

    def publish(self, notice):
        self._net.entries[self.me].append(notice)

    def tell_others(self, notice):
        for name in self._net.ledgers:
            if name != self.me:
                self.tell_one(name, notice)

    def tell_one(self, name, notice):
        self._net.send(self.me, name, notice)


class _Entry:
    def __init__(self):
        self.notices = []

    def notify(self, notice):
        self.notices.append(notice)


def test_crashes_at_three_instances_are_known_to_all():
    """Guards against crashes that each instance counts by itself."""
    net = _Net("c1", "c2", "c3")
    for number, name in enumerate(net.ledgers):
        net.ledgers[name].take(CrashesNotice(records=(_record(number),)))
    assert all(net.know(name) for name in net.ledgers)
    assert all(len(notices) == 3 for notices in net.entries.values())


def test_news_goes_round_a_cut_between_two_instances():
    """Guards against entries that hear nothing behind a partial partition."""
    net = _Net("c1", "c2", "c3")
    net.cut.add(frozenset(("c1", "c3")))
    net.ledgers["c1"].take(CrashesNotice(records=(_record(1, 2, 3),)))
    assert net.know("c3")


def test_instance_that_was_cut_off_hears_what_it_missed():
    """Guards against news that is lost with the end of a partition."""
    net = _Net("c1", "c2", "c3")
    net.beat()
    net.cut.update({frozenset(("c1", "c3")), frozenset(("c2", "c3"))})
    net.ledgers["c1"].take(CrashesNotice(records=(_record(1, 2, 3),)))
    for _ in range(int(2 * (REPEAT_S + SILENT_S) / 0.5)):
        net.beat()
    assert not net.know("c3")
    net.cut.clear()
    net.beat()
    assert net.know("c3")


def test_instance_that_lost_its_disk_hears_what_the_others_know():
    """Guards against an instance that forgets with its disk."""
    net = _Net("c1", "c2", "c3")
    net.ledgers["c1"].take(CrashesNotice(records=(_record(1, 2, 3),)))
    net.beat()
    net.now_s += 10 * REPEAT_S
    net.beat()
    net.beat()
    net.start("c2")
    net.beat()
    assert net.know("c2")


def test_notice_that_is_lost_is_repeated():
    """Guards against news that is lost with a connection."""
    net = _Net("c1", "c2")
    net.beat()
    net.cut.add(frozenset(("c1", "c2")))
    net.ledgers["c1"].take(CrashesNotice(records=(_record(1, 2, 3),)))
    net.cut.clear()
    net.beat()
    assert net.know("c2")


def test_old_news_is_not_repeated():
    """Guards against traffic that grows with all that ever crashed."""
    net = _Net("c1")
    sent = []
    net.ledgers["c1"].take(CrashesNotice(records=(_record(1, 2, 3),)))
    net.now_s += REPEAT_S + 0.1
    net.ledgers["c2"] = CrashLedger(
        exchange=_Exchange(net=net, me="c2"), clock=lambda: net.now_s
    )
    net.send = lambda sender, receiver, notice: sent.append(notice)
    net.ledgers["c1"].beat()
    assert sent == []


def test_entry_that_subscribes_is_told_everything():
    """Guards against an entry that starts without knowing a culprit."""
    net = _Net("c1")
    entry = _Entry()
    net.ledgers["c1"].welcome(entry)
    assert entry.notices == []
    net.ledgers["c1"].take(CrashesNotice(records=(_record(1, 2, 3),)))
    net.ledgers["c1"].welcome(entry)
    (notice,) = entry.notices
    assert len(notice.records[0].crashes) == 3


def test_every_change_is_to_be_saved():
    """Guards against a loss of power that lets a culprit run again."""
    saved = []
    ledger = CrashLedger(
        exchange=_Exchange(net=_Net("c1"), me="c1"),
        clock=lambda: 0.0,
        on_change=saved.append,
    )
    ledger.take(CrashesNotice(records=(_record(1, 2, 3),)))
    ledger.take(CrashesNotice(records=(_record(1, 2, 3),)))
    (records,) = saved
    again = CrashLedger(
        exchange=_Exchange(net=_Net("c1"), me="c1"), clock=lambda: 0.0
    )
    again.load(records)
    assert again.quarantined == {POISON}
