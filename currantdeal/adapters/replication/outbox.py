"""Sends consensus messages to other replicas without blocking the caller.

Each receiver has several sender threads, so that a heartbeat is not delayed
by a batch whose reply is outstanding (head-of-line blocking).  Consensus
messages may arrive out of order.
"""

import queue
import threading

from currantdeal.adapters.errors import PeerError
from currantdeal.adapters.generated.consensus import Replica as ReplicaService
from currantdeal.adapters.replication.names import SERVICE_NAME
from currantdeal.consensus import MESSAGE_CODEC

SENDERS_PER_REPLICA = 3
"""Sender threads, and thus concurrent calls, per receiving replica.

One sender commits one batch per round trip.  With three, a batch, a heartbeat
and a reply are in flight together on a link of 24 ms without waiting for each
other.
"""

MAX_QUEUED = 4_096
MAX_BATCH = 64
_STOP = None


class Outbox:
    """Send queues, one per receiving replica.

    Parameters
    ----------
    pool : PeerPool
        Connections to other instances.
    address_of : callable
        Takes an instance's name and returns its peer address, or None.
    timeout_s : float
        Timeout of the call that delivers a batch.
    on_replies : callable
        Called with the messages in the reply to a batch.
    """

    def __init__(self, *, pool, address_of, timeout_s, on_replies):
        """Start without queues."""
        self._pool = pool
        self._address_of = address_of
        self._timeout_s = timeout_s
        self._on_replies = on_replies
        self._queues = {}

    def send(self, messages):
        """Queue messages; those for a full queue are dropped."""
        for message in messages:
            pending = self._queues.get(message.to)
            if pending is None:
                pending = self._open(message.to)
            if pending.qsize() < MAX_QUEUED:
                pending.put(message)

    def stop(self):
        """Stop all sender threads."""
        for pending in self._queues.values():
            for _ in range(SENDERS_PER_REPLICA):
                pending.put(_STOP)

    def _open(self, name):
        pending = queue.SimpleQueue()
        self._queues[name] = pending
        for number in range(SENDERS_PER_REPLICA):
            threading.Thread(
                target=self._run,
                args=(name, pending),
                name=f"outbox-{name}-{number}",
                daemon=True,
            ).start()
        return pending

    def _run(self, name, pending):
        while (message := pending.get()) is not _STOP:
            batch = [message]
            while len(batch) < MAX_BATCH:
                message = _get_nowait(pending)
                if message is None:
                    break
                batch.append(message)
            if not self._deliver(name, batch):
                _drop_all(pending)

    def _deliver(self, name, batch):
        address = self._address_of(name)
        if address is None:
            return False
        raw = [MESSAGE_CODEC.encode(message) for message in batch]
        try:
            replies = self._pool.call(
                address,
                SERVICE_NAME,
                ReplicaService.Client,
                lambda client: client.deliver(raw),
                timeout_s=self._timeout_s,
            )
        except PeerError:
            return False
        if replies:
            self._on_replies(
                tuple(MESSAGE_CODEC.decode(reply) for reply in replies)
            )
        return True


def _get_nowait(pending):
    try:
        message = pending.get_nowait()
    except queue.Empty:
        return None
    if message is _STOP:
        pending.put(_STOP)
    return message


def _drop_all(pending):
    # Messages queued while a receiver was unreachable are stale.  Sending
    # them first would delay the heartbeat that ends an election.
    stop_seen = 0
    while True:
        try:
            stop_seen += pending.get_nowait() is _STOP
        except queue.Empty:
            break
    for _ in range(stop_seen):
        pending.put(_STOP)
