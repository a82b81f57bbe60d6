import threading
import time

from currantdeal.adapters.replication.tests.builders import (
    LIMIT_S,
    Cluster,
    claim,
    selector,
    wait_until,
)
from currantdeal.consensus.tests.linearizability import (
    Operation,
    is_linearizable,
)
from currantdeal.core import StateUnavailableError
from currantdeal.state import Applied, ClaimExists, ClaimGranted

CLIENTS = 4
CALLS = 12
KEYS = ("a", "b", "c")


def swap(version, expected):
    """Model of a selector: its version, changed by compare-and-set."""
    if expected == version:
        return version + 1, "won"
    return version, "lost"


def hold(owner, caller):
    """Model of a claim: the first caller holds it permanently."""
    return owner or caller, owner or caller


def test_checker_accepts_only_linearizable_histories():
    def history(*answers):
        return [
            Operation(call_s=n, return_s=n + 0.5, request=0, answer=answer)
            for n, answer in enumerate(answers)
        ]

    assert is_linearizable(history("won", "lost"), start=0, step=swap)
    assert not is_linearizable(history("won", "won"), start=0, step=swap)
    assert not is_linearizable(history("lost", "won"), start=0, step=swap)
    lost_answer = Operation(call_s=0.0, request=0)
    later = Operation(call_s=1.0, return_s=2.0, request=0, answer="lost")
    assert is_linearizable([lost_answer, later], start=0, step=swap)


class Client:
    """Makes calls on a cluster and records their operations."""

    def __init__(self, cluster, number, histories):
        self.cluster = cluster
        self.number = number
        self.histories = histories
        self.done = 0

    def run(self):
        for call in range(CALLS):
            key = KEYS[(call + self.number) % len(KEYS)]
            self._record(f"claim-{call // 3}", self._claim)
            self._record(key, self._swap)
            self.done += 1

    def _port(self):
        names = list(self.cluster.services)
        return self.cluster.port(names[self.number % len(names)])

    def _claim(self, key):
        me = f"{self.number}-{self.done}"
        result = self._port().propose(
            claim(key, request_id=me), timeout_s=LIMIT_S
        )
        if isinstance(result, ClaimGranted):
            return me, me
        assert isinstance(result, ClaimExists)
        return me, result.claim.request_id

    def _swap(self, key):
        port = self._port()
        known = port.view().selectors.get(key)
        version = known.version if known else 0
        result = port.propose(
            selector(key, version=version), timeout_s=LIMIT_S
        )
        if isinstance(result, Applied):
            return (version, result.version), "won"
        return (version, None), "lost"

    def _record(self, key, call):
        call_s = time.monotonic()
        try:
            request, answer = call(key)
        except StateUnavailableError:
            return
        operation = Operation(
            call_s=call_s,
            return_s=time.monotonic(),
            request=request,
            answer=answer,
        )
        self.histories.setdefault(key, []).append(operation)


def swap_version(version, request):
    """Model of a selector whose versions are those of the state."""
    expected, after = request
    if expected != version:
        return version, "lost"
    return after, "won"


def test_histories_are_linearizable_through_loss_of_the_leader(tmp_path):
    """Concurrent clients change claims and selectors while the leader fails.

    All answers must fit one sequential order of the calls.  Otherwise two
    callers could both be granted the same booking.
    """
    cluster = Cluster(tmp_path, replicas=3, others=2)
    histories = {}
    clients = [Client(cluster, n, histories) for n in range(CLIENTS)]
    threads = [threading.Thread(target=each.run) for each in clients]
    try:
        cluster.wait_for_leases()
        for thread in threads:
            thread.start()
        wait_until(lambda: max(each.done for each in clients) >= CALLS // 2)
        leader = cluster.wait_for_leader()
        cluster.isolate(leader)
        wait_until(lambda: cluster.leader() not in (None, leader))
        cluster.heal()
        for thread in threads:
            thread.join()
    finally:
        cluster.close()
    for key, history in histories.items():
        is_claim = key.startswith("claim")
        assert is_linearizable(
            history,
            start=None if is_claim else 0,
            step=hold if is_claim else swap_version,
        ), key
    assert sum(map(len, histories.values())) == CLIENTS * CALLS * 2
