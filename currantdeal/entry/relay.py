"""Forwards the events of a generation to its caller, over several runs."""

from currantdeal.entry.events import EventSplitter
from currantdeal.policy.reset_outcome import ExchangePhase


class EventRelay:
    """One answer to a caller, made of the events of one or more runs.

    Only complete events are forwarded, so that the events of a run that
    resumes a lost one are never appended to a partial event.

    Parameters
    ----------
    context : EntryContext
        Shared by the requests of an entry.
    active : ActiveRequest
        The generation.
    """

    def __init__(self, *, context, active):
        """Start before the first event."""
        self._context = context
        self._active = active
        self._started = False
        self._splitter = EventSplitter()

    @property
    def started(self):
        """Whether a part of the answer was sent to the caller."""
        return self._started

    @property
    def last_id(self):
        """Id of the last event that was forwarded; empty before the first."""
        return self._splitter.last_id

    @property
    def events(self):
        """Number of complete events so far."""
        return self._splitter.count

    @property
    def position(self):
        """The ``Position`` of the end of the events so far."""
        return self._splitter.position

    async def forward_events(self, head, next_chunk):
        """Forward events until the end of a run.

        Parameters
        ----------
        head : ResponseHead
            Head of the run's answer.
        next_chunk : callable
            Coroutine function that returns bytes, or None at the end.
        """
        while (data := await next_chunk()) is not None:
            complete = self._splitter.feed(data)
            if complete:
                await self._send(head, complete)
        if self._splitter.partial_event:
            await self._send(head, self._splitter.partial_event)
        if not self._started:
            self._begin(head)
        self._active.responder.finish()

    def forward_error(self, head, body):
        """Forward an error; returns False if the answer has started."""
        if self._started:
            return False
        headers = self._context.dialect.response_headers(head)
        self._active.responder.answer(head.status, headers, body)
        self._started = True
        return True

    def phase_of(self, exc):
        """Return the ``ExchangePhase`` of the answer in which a run was lost.

        Parameters
        ----------
        exc : ExchangeError
            The failure of the run.
        """
        if not self._started:
            return exc.phase
        if self._splitter.partial_event:
            return ExchangePhase.WITHIN_EVENT
        return ExchangePhase.BETWEEN_EVENTS

    def drop_partial_event(self):
        """Discard an event that its run did not complete."""
        self._splitter.drop_partial_event()

    async def _send(self, head, data):
        if not self._started:
            self._begin(head)
        self._active.record_output(self._context.now_s)
        await self._active.responder.send(data)

    def _begin(self, head):
        self._started = True
        headers = self._context.dialect.response_headers(head)
        self._active.responder.begin(head.status, headers)
