"""Holds the state of one request that is being handled."""

import asyncio
import math
from functools import cached_property

from currantdeal.core import digest_parts
from currantdeal.entry.progress import RequestState
from currantdeal.entry.steps import Step, kind_of_failure
from currantdeal.node.fingerprint import fingerprint_of, part_fingerprint
from currantdeal.policy.answers.reset_outcome import CallKind
from currantdeal.policy.crashes.identity import (
    IdentityKind,
    part_identity,
)
from currantdeal.routing import RetrySafety


class MemorySearch:
    """Counts of a request's attempts to reserve memory, for its log line.

    Attributes
    ----------
    requested : int
        Reservations that were requested.
    refused : int
        Reservations that an engine refused.
    rounds_without_room : int
        Rounds in which no engine was asked: none was estimated to have room
        for this request besides more urgent ones.
    outcome : str
        How the last wait for memory ended; empty if there was none.
    """

    def __init__(self):
        """Start all counts at zero."""
        self.requested = 0
        self.refused = 0
        self.rounds_without_room = 0
        self.outcome = ""

    def __str__(self):
        """Return the counts as they are logged."""
        return f"{self.requested}/{self.refused}/{self.rounds_without_room}"


class ActiveRequest:
    """One request that is being handled.

    Parameters
    ----------
    request : currantdeal.node.http_request.Request
        The whole request.
    responder : currantdeal.node.http_request.Responder
        Sends the answer.
    call : currantdeal.node.dialect.CallerRequest
        Fields of its head.
    route, service : Route, Service
        Route that matches it, and the service that handles it.
    version : int
        Version of the configuration of that route.
    deadline_s : float
        Loop time by which it must end.
    arrivals : Arrivals
        Charges what of it is sent to upstreams to the retry budget.
    organisation : Organisation or None
        Organisation of its caller; None if the route needs no key.

    Attributes
    ----------
    is_retry : bool
        Whether its caller has waited before, on an earlier attempt.
    state : RequestState
        What it waits for.
    is_ended_by_stop : bool
        Whether it ends early, because the process does.
    runs : int
        Number of upstreams that may have run it.
    had_silent_prefill : bool
        Whether a prefill engine has left its prompt unanswered.
    was_sent : bool
        Whether it was encoded for an upstream, so that it may have been sent.
    lost_incarnations : list
        Incarnations of upstreams whose connections were lost while they ran
        it.
    trial : frozenset of bytes
        Quarantined identities that it is to clear by its completion.
    break_reason : BreakReason or None
        Why its answer was broken off, if it was.
    """

    def __init__(
        self,
        *,
        request,
        responder,
        call,
        route,
        service,
        version,
        deadline_s,
        arrivals,
        organisation=None,
    ):
        """Start before the first attempt."""
        self.request = request
        self.responder = responder
        self.call = call
        self.route = route
        self.service = service
        self.version = version
        self.deadline_s = deadline_s
        self.arrivals = arrivals
        self.organisation = organisation
        self.is_retry = False
        self.state = RequestState.UPSTREAM
        self.runs = 0
        self.had_silent_prefill = False
        self.was_sent = False
        self.lost_incarnations = []
        self.trial = frozenset()
        self.break_reason = None
        self.search = MemorySearch()
        self.leaving_gains_s = {}
        self.steps = []
        self.is_ended_by_stop = False
        self.first_output_s = None
        self.longest_pause_s = 0.0
        self._wait_until_s = lambda: math.inf
        self._time_limit = None
        self._is_over = False
        self._last_output_s = None

    @property
    def is_generation(self):
        """Whether it is served by a model engine, which streams its answer."""
        engine = self.service.engine
        return engine is not None and self.call.prompt_tokens > 0

    @cached_property
    def fingerprint(self):
        """Fingerprint, equal for each retry of the same request."""
        return fingerprint_of(self.request, self.call)

    @cached_property
    def part_fingerprints(self):
        """Fingerprints of the parts of its prompt that others may share."""
        return tuple(map(part_fingerprint, self.call.shared_parts))

    @cached_property
    def crash_identities(self):
        """Identities against which a crash under this request counts.

        Returns
        -------
        tuple of bytes
            See ``currantdeal.policy.crashes.identity``.
        """
        parts = [
            part_identity(IdentityKind.PART, fingerprint)
            for fingerprint in self.part_fingerprints
        ]
        if self.organisation is not None:
            name = self.organisation.name
            parts += [
                part_identity(
                    IdentityKind.ORGANISATION_PART,
                    part_fingerprint(part, name),
                )
                for part in self.call.shared_parts
            ]
        return (self.fingerprint, *parts)

    @cached_property
    def caller_digest(self):
        """Digest of the request and the host that sent it.

        Equal for all its attempts; callers at other hosts who send the same
        request have another one.
        """
        sender = self.request.sender.encode()
        return digest_parts(self.fingerprint, sender)

    @property
    def priority(self):
        """Priority of the organisation, or else of the route; 0 is first."""
        organisation = self.organisation
        if organisation is None or organisation.priority is None:
            return self.route.priority
        return organisation.priority

    @property
    def organisation_name(self):
        """Name of its organisation; empty if it needs no key."""
        return "" if self.organisation is None else self.organisation.name

    @property
    def kind(self):
        """The ``CallKind`` of the request."""
        if self.route.retry_safety is RetrySafety.RESUMABLE:
            return CallKind.RESUMABLE_STREAM
        if self.is_generation or self.route.streaming:
            return CallKind.STREAM
        if self.route.retry_safety is RetrySafety.FREELY:
            return CallKind.IDEMPOTENT
        return CallKind.NON_IDEMPOTENT

    @property
    def has_expired(self):
        """Whether its time is over, at its deadline or by a stop."""
        return self._time_limit is not None and self._time_limit.expired()

    def bind(self, time_limit, wait_until_s):
        """Set what ends it early if the process stops.

        Parameters
        ----------
        time_limit : asyncio.Timeout
            Ends it at its deadline.
        wait_until_s : callable
            See ``RequestsInProgress.wait_until_s``.
        """
        self._time_limit = time_limit
        self._wait_until_s = lambda: wait_until_s(self)
        self.limit_wait()

    def enter(self, state):
        """Record what it waits for from now on, as a ``RequestState``."""
        self.state = state
        self.limit_wait()

    def limit_wait(self):
        """End it when the process would end its wait."""
        self._end_at(min(self.deadline_s, self._wait_until_s()))

    def end_by_stop(self):
        """End it now, as the process ends."""
        self._end_at(-math.inf)
        self._is_over = True

    def _end_at(self, time_s):
        if self._time_limit is None or self.has_expired:
            return
        if self._is_over:
            return
        self.is_ended_by_stop = time_s < self.deadline_s
        self._time_limit.reschedule(
            max(time_s, asyncio.get_running_loop().time())
            if self.is_ended_by_stop
            else self.deadline_s
        )

    def record_output(self, now_s):
        """Record the time of output that is sent to the caller."""
        if self._last_output_s is None:
            self.first_output_s = now_s
        else:
            pause_s = now_s - self._last_output_s
            self.longest_pause_s = max(self.longest_pause_s, pause_s)
        self._last_output_s = now_s

    def record_caller_wait(self, now_s):
        """Record until when the caller has held up its output."""
        self._last_output_s = now_s

    def add_step(self, kind, upstream="", detail=""):
        """Add a step at the current time, for the request's log line."""
        now_s = asyncio.get_running_loop().time()
        self.steps.append(
            Step(
                after_s=now_s - self.request.arrived_s,
                kind=kind,
                upstream=upstream,
                detail=str(detail),
            )
        )

    def add_failure_step(self, upstream, exc):
        """Add the step for a failed exchange."""
        self.add_step(kind_of_failure(exc), upstream, exc)

    def time_left_s(self, now_s):
        """Return the seconds until the deadline of the request."""
        return max(0.0, self.deadline_s - now_s)
