"""Sending messages to other replicas without waiting for them.

Each receiver has a few lanes, so that a heartbeat need not wait for the
answer to the batch before it; consensus messages may overtake each other.
"""

import queue
import threading

from currantdeal.adapters.errors import PeerError
from currantdeal.adapters.generated.consensus import Replica as ReplicaService
from currantdeal.adapters.replication.names import SERVICE_NAME
from currantdeal.consensus import MESSAGE_CODEC

LANES = 3
"""Calls under way to one replica.

One lane commits one batch per round trip; with three, a batch, a heartbeat
and an answer travel together over 24 ms without waiting for each other.
"""

MAX_QUEUED = 4_096
MAX_BATCH = 64
_STOP = None


class Outbox:
    """Queues of messages, one for each receiver.

    Parameters
    ----------
    pool : PeerPool
        Connections to other instances.
    address_of : callable
        Takes an instance's name and returns its peer address, or None.
    timeout_s : float
        Longest wait for a receiver to take a batch.
    take_answers : callable
        Takes the messages that come back at once.
    """

    def __init__(self, *, pool, address_of, timeout_s, take_answers):
        """Start without any lanes."""
        self._pool = pool
        self._address_of = address_of
        self._timeout_s = timeout_s
        self._take_answers = take_answers
        self._queues = {}

    def send(self, messages):
        """Queue messages; what a full queue cannot take is lost."""
        for message in messages:
            waiting = self._queues.get(message.to)
            if waiting is None:
                waiting = self._open(message.to)
            if waiting.qsize() < MAX_QUEUED:
                waiting.put(message)

    def stop(self):
        """End all lanes."""
        for waiting in self._queues.values():
            for _ in range(LANES):
                waiting.put(_STOP)

    def _open(self, name):
        waiting = queue.SimpleQueue()
        self._queues[name] = waiting
        for lane in range(LANES):
            threading.Thread(
                target=self._run,
                args=(name, waiting),
                name=f"outbox-{name}-{lane}",
                daemon=True,
            ).start()
        return waiting

    def _run(self, name, waiting):
        while (message := waiting.get()) is not _STOP:
            batch = [message]
            while len(batch) < MAX_BATCH:
                message = _get_now(waiting)
                if message is None:
                    break
                batch.append(message)
            if not self._deliver(name, batch):
                _drop_all(waiting)

    def _deliver(self, name, batch):
        address = self._address_of(name)
        if address is None:
            return False
        raw = [MESSAGE_CODEC.encode(message) for message in batch]
        try:
            answers = self._pool.call(
                address,
                SERVICE_NAME,
                ReplicaService.Client,
                lambda client: client.deliver(raw),
                timeout_s=self._timeout_s,
            )
        except PeerError:
            return False
        if answers:
            self._take_answers(
                tuple(MESSAGE_CODEC.decode(answer) for answer in answers)
            )
        return True


def _get_now(waiting):
    try:
        message = waiting.get_nowait()
    except queue.Empty:
        return None
    if message is _STOP:
        waiting.put(_STOP)
    return message


def _drop_all(waiting):
    # What piled up while a receiver was silent is stale by now; sending it
    # after the silence would delay the heartbeat that ends an election.
    stop_seen = 0
    while True:
        try:
            stop_seen += waiting.get_nowait() is _STOP
        except queue.Empty:
            break
    for _ in range(stop_seen):
        waiting.put(_STOP)
