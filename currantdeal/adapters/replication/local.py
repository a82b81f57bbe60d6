"""Calls the replica of this process.

Translates between the Thrift messages of the peer protocol and the requests
of the replica's actor, so that local and remote calls look alike.
"""

from dataclasses import replace

import pykka

from currantdeal.adapters.generated.consensus.ttypes import (
    LogEntry,
    ProposeAnswer,
    ProposeStatus,
    RenewAnswer,
    ReplicaAddress,
)
from currantdeal.adapters.replication.entries import COMMAND_CODEC
from currantdeal.adapters.replication.errors import (
    NotProposedError,
    OutcomeUnknownError,
)
from currantdeal.adapters.replication.requests import (
    Deliver,
    GetStatus,
    Propose,
    ReadUpdates,
    Renew,
)
from currantdeal.core import CodecError

ASK_TIMEOUT_S = 2.0

MAX_CLOCK_ERROR_S = 60.0
"""Maximum by which a proposer's clock may be ahead of the leader's."""


class LocalReplica:
    """Client of the replica in this process, with the peer protocol's calls.

    Parameters
    ----------
    ref : pykka.ActorRef
        Reference to the ``ReplicaActor``.
    clock : Clock
        Limits the timestamps that proposers set in commands.
    """

    def __init__(self, *, ref, clock):
        """Store the reference and the clock."""
        self._ref = ref
        self._clock = clock

    def ask(self, request):
        """Return the actor's reply; None if it has stopped or times out."""
        try:
            return self._ref.ask(request, timeout=ASK_TIMEOUT_S)
        except (pykka.ActorDeadError, pykka.Timeout):
            return None

    def tell(self, request):
        """Send a request without waiting; dropped if the actor has stopped."""
        try:
            self._ref.tell(request)
        except pykka.ActorDeadError:
            return

    def status(self):
        """Return the ``ReplicaStatus``, or None."""
        return self.ask(GetStatus())

    def deliver(self, messages):
        """Deliver messages of one replica; return the messages in reply."""
        reply = pykka.ThreadingFuture()
        request = Deliver(
            messages=messages, sender=messages[0].sender, reply=reply
        )
        try:
            self._ref.tell(request)
            return reply.get(timeout=ASK_TIMEOUT_S)
        except (pykka.ActorDeadError, pykka.Timeout):
            return ()

    def renew(self, request):
        """Return a ``RenewAnswer``; not granted unless this replica leads."""
        reply = self.ask(
            Renew(
                instance=request.instance,
                region=request.region,
                version=request.version,
            )
        )
        if reply is None:
            return RenewAnswer(granted=False)
        return RenewAnswer(
            granted=reply.granted,
            remaining_s=reply.remaining_s,
            version=reply.version,
            entries=to_wire(reply.updates),
            snapshot_needed=reply.compacted,
            leader=reply.leader or "",
            replicas=[
                ReplicaAddress(instance=rep.instance, address=rep.address)
                for rep in reply.members
            ],
        )

    def propose(self, request):
        """Return a ``ProposeAnswer``; waits for the commit on the leader."""
        reply = pykka.ThreadingFuture()
        try:
            command = self._validate(request.command)
            self._ref.tell(Propose(command=command, reply=reply))
            done = reply.get(timeout=request.timeout_s)
        except (NotProposedError, pykka.ActorDeadError, CodecError) as exc:
            return ProposeAnswer(
                status=ProposeStatus.NOT_PROPOSED, message=str(exc)
            )
        except (OutcomeUnknownError, pykka.Timeout) as exc:
            return ProposeAnswer(
                status=ProposeStatus.UNKNOWN, message=str(exc)
            )
        found = self.ask(ReadUpdates(after=request.version))
        updates = found.updates or () if found else ()
        return ProposeAnswer(
            status=ProposeStatus.DONE,
            version=done.version,
            result=done.result,
            entries=to_wire(updates),
        )

    def _validate(self, raw):
        # A command that cannot be decoded would crash every replica that
        # applies it, and again after each restart.
        command = COMMAND_CODEC.decode(raw)
        latest_s = self._clock.wall_s() + MAX_CLOCK_ERROR_S
        if command.origin.wall_s <= latest_s:
            return raw
        # Claims expire by the latest timestamp in the log.  One instance
        # whose clock is days ahead would make all of them expire at once, and
        # a retried order would run a second time.
        origin = replace(command.origin, wall_s=latest_s)
        return COMMAND_CODEC.encode(replace(command, origin=origin))


def to_wire(updates):
    """Convert updates to Thrift entries."""
    return [
        LogEntry(
            index=update.index,
            command=update.command is not None,
            data=update.command or b"",
        )
        for update in updates
    ]
