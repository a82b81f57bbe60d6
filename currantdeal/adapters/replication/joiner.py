"""How a replica without memory takes part.

At the very first start every replica of the settings finds all others fresh,
and they begin with the set in the settings.  Afterwards a replica that finds
its folder empty has lost its disk, or is new: it asks to join, learns, and
counts once it has caught up.  It never begins a second first set, because
that would hide everything the first one agreed on.

One that was away for long may have been replaced.  It takes itself for a
voter still and hears no leader, so it asks again after a while.
"""

import threading

from currantdeal.adapters.errors import PeerError
from currantdeal.adapters.generated.consensus.ttypes import JoinRequest
from currantdeal.adapters.replication.requests import Bootstrap
from currantdeal.consensus import Configuration, takes_part

CALL_TIMEOUT_S = 0.5

SETTLED_INTERVAL_S = 1.0
"""Pause between looks of a replica that takes part."""


class Joiner:
    """Thread that has this replica take part, also after it was replaced.

    Parameters
    ----------
    me : Replica
        This replica, with the address that others reach it under.
    first_set : tuple of Replica
        The replicas of the settings.
    local : LocalReplica
        The replica of this process.
    remotes : RemoteReplicas
        The others.
    directory : Directory
        Where they are.
    interval_s : float
        Time between attempts.
    clock : Clock
        Source of time.
    """

    def __init__(
        self, *, me, first_set, local, remotes, directory, interval_s, clock
    ):
        """Keep the parts; nothing runs before ``start``."""
        self._me = me
        self._first_set = first_set
        self._local = local
        self._remotes = remotes
        self._directory = directory
        self._interval_s = interval_s
        self._clock = clock
        self._stopped = threading.Event()
        self._led_s = clock.monotonic_s()

    def start(self):
        """Try from now on."""
        threading.Thread(target=self._run, name="joiner", daemon=True).start()

    def stop(self):
        """Try no more."""
        self._stopped.set()

    def _run(self):
        while not self._stopped.is_set():
            status = self._local.status()
            if status is not None and self._is_settled(status):
                self._stopped.wait(SETTLED_INTERVAL_S)
                continue
            if status is not None:
                self._take_step(status)
            self._stopped.wait(self._interval_s)

    def _is_settled(self, status):
        now_s = self._clock.monotonic_s()
        if status.leader is not None:
            self._led_s = now_s
        return not status.blank and takes_part(
            status.configuration,
            self._me.instance,
            alone_s=now_s - self._led_s,
        )

    def _take_step(self, status):
        if status.fresh and status.blank and self._all_fresh():
            self._local.ask(
                Bootstrap(configuration=Configuration(voters=self._first_set))
            )
            return
        request = JoinRequest(
            instance=self._me.instance,
            address=self._me.address,
            blank=status.blank,
            forwarded=False,
        )
        for replica in self._directory.candidates():
            if self._ask(replica, lambda client: client.join(request)):
                return

    def _all_fresh(self):
        names = [replica.instance for replica in self._first_set]
        if self._me.instance not in names:
            return False
        for name in names:
            if name == self._me.instance:
                continue
            answer = self._ask(name, lambda client: client.hello())
            if answer is None or not answer.fresh:
                return False
        return True

    def _ask(self, replica, ask):
        try:
            return self._remotes.call(replica, ask, timeout_s=CALL_TIMEOUT_S)
        except PeerError:
            return None
