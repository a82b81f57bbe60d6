"""Forwards the events of a generation to its caller, over several runs."""

from currantdeal.entry.errors import BreakReason, IncompleteAnswerError
from currantdeal.entry.events import EventSplitter, OpaqueBody
from currantdeal.entry.run_end import check_end
from currantdeal.node.errors import (
    InvalidResponseError,
    MalformedResponseError,
    SlowCallerError,
)
from currantdeal.node.head import EVENT_STREAM
from currantdeal.policy.answers.answer_end import (
    Position,
    framing_of_buffered,
    framing_of_stream,
    may_end,
)
from currantdeal.policy.answers.reset_outcome import ExchangePhase


class EventRelay:
    """One answer to a caller, made of the events of one or more runs.

    Only complete events are forwarded, so that the events of a run that
    resumes a lost one are never appended to a partial event.  An answer that
    is not a stream of events is forwarded as it arrives, and not resumed.

    Parameters
    ----------
    context : EntryContext
        Shared by the requests of an entry.
    active : ActiveRequest
        The generation.

    Attributes
    ----------
    was_held_up : bool
        Whether the caller has kept the events of a run unread.
    """

    def __init__(self, *, context, active):
        """Start before the first event."""
        self.was_held_up = False
        self._context = context
        self._active = active
        self._framing = None
        self._body = EventSplitter(resume_after=active.call.resume_after)

    @property
    def started(self):
        """Whether a part of the answer was sent to the caller."""
        return self._framing is not None

    @property
    def is_resumable(self):
        """Whether another run can go on after what was forwarded."""
        return not self.started or self._body.is_resumable

    @property
    def last_id(self):
        """Id of the last event that was forwarded; empty before the first."""
        return self._body.last_id

    @property
    def events(self):
        """Number of complete events so far."""
        return self._body.count

    @property
    def buffered_bytes(self):
        """Size of the partial event that is kept."""
        return self._body.buffered_bytes

    @property
    def position(self):
        """The ``Position`` of the end of the events so far."""
        return self._body.position

    async def forward_events(self, head, next_chunk, *, source):
        """Forward a run to its end; returns whether that ends the answer.

        It does not if the answer is framed and nobody can know whether the run
        was complete.

        Parameters
        ----------
        head : ResponseHead
            Head of the run's answer.
        next_chunk : callable
            Coroutine function that returns bytes, or None at the end.
        source : UpstreamConnection
            Connection of the run.

        Raises
        ------
        IncompleteAnswerError
            If the caller takes nothing while that is so.
        InvalidResponseError
            If the run was broken off.
        """
        self._choose_body(head)
        return await self.forward_rest(head, next_chunk, source=source)

    async def forward_rest(self, head, next_chunk, *, source):
        """Go on with a run of which a part may be forwarded.

        See ``forward_events``.
        """
        while (data := await next_chunk()) is not None:
            complete = self._body.feed(data)
            if self._body.is_endless:
                raise MalformedResponseError(
                    "an event does not end",
                    phase=ExchangePhase.WITHIN_ANSWER,
                )
            if complete:
                await self._send(head, complete, source)
        found = check_end(head, self.position)
        if not self.started:
            self._begin(head)
        if not may_end(self._framing, found):
            return False
        self._active.responder.finish()
        return True

    def completes_event(self, data):
        """Return whether there is something to forward with these bytes.

        Parameters
        ----------
        data : bytes or None
            The next bytes of a run; None at its end.
        """
        return data is not None and self._body.completes_event(data)

    def forward_error(self, head, body, completeness):
        """Forward an error; returns False if the answer has started."""
        if self.started:
            return False
        self._framing = framing_of_buffered(completeness)
        headers = self._context.dialect.response_headers(head)
        self._active.responder.answer(
            head.status, headers, body, framing=self._framing
        )
        return True

    def phase_of(self, exc):
        """Return the ``ExchangePhase`` of the answer in which a run was lost.

        Parameters
        ----------
        exc : ExchangeError
            The failure of the run.
        """
        if not self.started:
            return exc.phase
        if self.position is Position.WITHIN_EVENT:
            return ExchangePhase.WITHIN_EVENT
        return ExchangePhase.BETWEEN_EVENTS

    def drop_partial_event(self):
        """Discard an event that its run did not complete."""
        self._body.drop_partial_event()

    def _choose_body(self, head):
        is_stream = has_events(head)
        if self.started:
            if not is_stream:
                raise InvalidResponseError(
                    f"resumed with {head.media_type!r}",
                    phase=ExchangePhase.WITHIN_ANSWER,
                )
        elif is_stream:
            self._body = EventSplitter(
                resume_after=self._active.call.resume_after
            )
        else:
            self._body = OpaqueBody()

    async def _send(self, head, data, source):
        if not self.started:
            self._begin(head)
        self._active.record_output(self._context.now_s)
        try:
            has_waited = await self._active.responder.send(data, source)
        except SlowCallerError as exc:
            raise IncompleteAnswerError(
                str(exc), reason=BreakReason.SLOW_CALLER
            ) from exc
        if has_waited:
            self.was_held_up = True
            self._active.record_caller_wait(self._context.now_s)

    def _begin(self, head):
        self._framing = framing_of_stream(head.framing)
        headers = self._context.dialect.response_headers(head)
        self._active.responder.begin(
            head.status, headers, framing=self._framing
        )


def has_events(head):
    """Return whether an answer is a stream of events, by its head."""
    return head.media_type in ("", EVENT_STREAM)
