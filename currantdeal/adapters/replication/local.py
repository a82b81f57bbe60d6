"""Asking the replica of this process, if it has one."""

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
    AskStatus,
    Deliver,
    Propose,
    ReadSteps,
    Renew,
)
from currantdeal.core import CodecError

ASK_TIMEOUT_S = 2.0


class LocalReplica:
    """The replica of this process, asked in the words of the peers' calls.

    Parameters
    ----------
    ref : pykka.ActorRef
        Of the ``ReplicaActor``.
    """

    def __init__(self, *, ref):
        """Keep the reference."""
        self._ref = ref

    def ask(self, request):
        """Return the actor's answer; None when it has stopped or is stuck."""
        try:
            return self._ref.ask(request, timeout=ASK_TIMEOUT_S)
        except (pykka.ActorDeadError, pykka.Timeout):
            return None

    def tell(self, request):
        """Pass a request without waiting; lost when the actor has stopped."""
        try:
            self._ref.tell(request)
        except pykka.ActorDeadError:
            return

    def status(self):
        """Return the ``ReplicaStatus``, or None."""
        return self.ask(AskStatus())

    def deliver(self, messages):
        """Pass messages of one replica; return those that answer them."""
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
        """Return a ``RenewAnswer``; not granted unless this one leads."""
        renewed = self.ask(
            Renew(
                instance=request.instance,
                region=request.region,
                version=request.version,
            )
        )
        if renewed is None:
            return RenewAnswer(granted=False)
        return RenewAnswer(
            granted=renewed.granted,
            remaining_s=renewed.remaining_s,
            version=renewed.version,
            entries=to_wire(renewed.steps),
            snapshot_needed=renewed.compacted,
            leader=renewed.leader or "",
            replicas=[
                ReplicaAddress(instance=rep.instance, address=rep.address)
                for rep in renewed.members
            ],
        )

    def propose(self, request):
        """Return a ``ProposeAnswer``, after commit if this one leads."""
        reply = pykka.ThreadingFuture()
        try:
            # A command that cannot be decoded would stop every replica when
            # it is applied, and again after each restart.
            COMMAND_CODEC.decode(request.command)
            self._ref.tell(Propose(command=request.command, reply=reply))
            done = reply.get(timeout=request.timeout_s)
        except (NotProposedError, pykka.ActorDeadError, CodecError) as exc:
            return ProposeAnswer(
                status=ProposeStatus.NOT_PROPOSED, message=str(exc)
            )
        except (OutcomeUnknownError, pykka.Timeout) as exc:
            return ProposeAnswer(
                status=ProposeStatus.UNKNOWN, message=str(exc)
            )
        found = self.ask(ReadSteps(after=request.version))
        steps = found.steps or () if found else ()
        return ProposeAnswer(
            status=ProposeStatus.DONE,
            version=done.version,
            result=done.result,
            entries=to_wire(steps),
        )


def to_wire(steps):
    """Return steps as Thrift entries."""
    return [
        LogEntry(
            index=step.index,
            command=step.command is not None,
            data=step.command or b"",
        )
        for step in steps
    ]
