"""Bootstraps the first replica set, and joins a replica to an existing one.

On the first start of a new system every replica of the settings finds all
others fresh, and they bootstrap the set in the settings.  Later, a replica
whose folder is empty has lost its disk or is new: it requests to join, catches
up as a learner and becomes a voter afterwards.  It never bootstraps a second
set, because that would hide everything the first set committed.

A replica that was unreachable for a long time may have been replaced.  Its
own configuration still lists it as a voter, but it has no leader.  So it
requests to join again after some time without a leader.
"""

import threading

from currantdeal.adapters.errors import PeerError
from currantdeal.adapters.generated.consensus.ttypes import JoinRequest
from currantdeal.adapters.replication.requests import Bootstrap
from currantdeal.consensus import Configuration, is_active_member

CALL_TIMEOUT_S = 0.5

MEMBERSHIP_CHECK_INTERVAL_S = 1.0
"""Interval at which a member of the set checks that it is still one."""


class Joiner:
    """Thread that joins this replica to the set, again after a replacement.

    Parameters
    ----------
    replica : Replica
        This replica, with the address at which others reach it.
    first_set : tuple of Replica
        The replicas of the settings.
    local : LocalReplica
        The replica of this process.
    remotes : RemoteReplicas
        The other replicas.
    directory : Directory
        Their addresses.
    interval_s : float
        Time between attempts to join.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        *,
        replica,
        first_set,
        local,
        remotes,
        directory,
        interval_s,
        clock,
    ):
        """Store the dependencies; nothing runs before ``start``."""
        self._replica = replica
        self._first_set = first_set
        self._local = local
        self._remotes = remotes
        self._directory = directory
        self._interval_s = interval_s
        self._clock = clock
        self._stopped = threading.Event()
        self._leader_seen_s = clock.monotonic_s()

    def start(self):
        """Start the thread."""
        threading.Thread(target=self._run, name="joiner", daemon=True).start()

    def stop(self):
        """Stop the thread."""
        self._stopped.set()

    def _run(self):
        while not self._stopped.is_set():
            status = self._local.status()
            if status is not None and self._is_member(status):
                self._stopped.wait(MEMBERSHIP_CHECK_INTERVAL_S)
                continue
            if status is not None:
                self._try_to_join(status)
            self._stopped.wait(self._interval_s)

    def _is_member(self, status):
        now_s = self._clock.monotonic_s()
        if status.leader is not None:
            self._leader_seen_s = now_s
        return not status.blank and is_active_member(
            status.configuration,
            self._replica.instance,
            leaderless_s=now_s - self._leader_seen_s,
        )

    def _try_to_join(self, status):
        if status.fresh and status.blank and self._all_fresh():
            self._local.ask(
                Bootstrap(configuration=Configuration(voters=self._first_set))
            )
            return
        request = JoinRequest(
            instance=self._replica.instance,
            address=self._replica.address,
            blank=status.blank,
            forwarded=False,
        )
        for replica in self._directory.candidates():
            if self._call(replica, lambda client: client.join(request)):
                return

    def _all_fresh(self):
        names = [replica.instance for replica in self._first_set]
        if self._replica.instance not in names:
            return False
        for name in names:
            if name == self._replica.instance:
                continue
            answer = self._call(name, lambda client: client.hello())
            if answer is None or not answer.fresh:
                return False
        return True

    def _call(self, replica, rpc):
        try:
            return self._remotes.call(replica, rpc, timeout_s=CALL_TIMEOUT_S)
        except PeerError:
            return None
