"""Parses the answers on a connection and finds the one of each request.

This is the only place that decides whose an answer is.  Other answers are
recorded and skipped, and nothing of them reaches the caller of this module.
"""

import h11

from currantdeal.node.extra_answers import ExtraAnswer, ExtraMoment
from currantdeal.node.head import find_values
from currantdeal.policy.answer_owner import AnswerOwner, answer_owner

MAX_REQUESTS = 256
"""Maximum number of requests on a connection, which bounds its set of ids."""


class AnswerParser:
    """Parses the answers to the requests that one connection carries.

    Parameters
    ----------
    address : str
        The upstream, for records of extra answers.
    extra_answers : ExtraAnswerLog
        Records answers that belong to no waiting request.
    """

    def __init__(self, *, address, extra_answers):
        """Start without requests."""
        self._address = address
        self._extra_answers = extra_answers
        self._http = h11.Connection(h11.CLIENT)
        self._outgoing = None
        self._ids = set()
        self._count = 0
        self._carried_head = False
        self._echoes_call_ids = False
        self._is_own = False

    @property
    def is_idle(self):
        """True while no request waits for an answer."""
        return self._http.our_state is h11.IDLE

    @property
    def recognises_calls(self):
        """Whether the answer to a request that may lack its id is recognised.

        Nothing else can be answered on an unused connection.
        """
        return not self._count or self._echoes_call_ids

    def may_carry(self, outgoing):
        """Return whether the answer to a request can be recognised here.

        It cannot if it may come without an id, or if an earlier request with
        the same id may be answered once more.  The body of an answer to HEAD
        cannot be told from the next answer, so such a request gets a
        connection of its own.
        """
        if not self._count:
            return True
        if self._count >= MAX_REQUESTS:
            return False
        if not outgoing.request_id or outgoing.request_id in self._ids:
            return False
        if self._carried_head or outgoing.method == "HEAD":
            return False
        return outgoing.is_id_echoed or self.recognises_calls

    def begin(self, outgoing):
        """Return the bytes of a request, whose answer is parsed next."""
        self._outgoing = outgoing
        self._count += 1
        if outgoing.request_id:
            self._ids.add(outgoing.request_id)
        self._carried_head = self._carried_head or outgoing.method == "HEAD"
        raw = self._http.send(
            h11.Request(
                method=outgoing.method,
                target=outgoing.target,
                headers=list(outgoing.headers),
            )
        )
        if outgoing.body:
            raw += self._http.send(h11.Data(data=outgoing.body))
        return raw + self._http.send(h11.EndOfMessage())

    def receive(self, data):
        """Yield the events of the own answer in received bytes.

        Empty bytes are the end of the connection.

        Raises
        ------
        h11.RemoteProtocolError
            If the bytes are not HTTP.
        """
        self._http.receive_data(data)
        while (event := self._next_event()) is not None:
            if isinstance(event, h11.Response):
                self._is_own = self._belongs(event)
            if self._is_own:
                yield event
            if isinstance(event, h11.EndOfMessage):
                if self._is_own:
                    return
                self._await_next()

    def finish(self):
        """End the exchange; returns whether another request may follow."""
        extra, _ = self._http.trailing_data
        if extra:
            self.record_unexpected(extra, ExtraMoment.AFTER_OWN)
            return False
        states = (self._http.our_state, self._http.their_state)
        if states != (h11.DONE, h11.DONE):
            return False
        self._http.start_next_cycle()
        return True

    def record_unexpected(self, data, moment=ExtraMoment.IDLE):
        """Record bytes that arrived while no answer was expected."""
        head = _response_in(data)
        ids = self._ids_in(head)
        owner = AnswerOwner.OTHER if ids else AnswerOwner.UNIDENTIFIED
        self._record(moment, owner, head)

    def _next_event(self):
        """Return the next event of an answer; None if there is none yet."""
        event = self._http.next_event()
        while isinstance(event, h11.InformationalResponse):
            event = self._http.next_event()
        if event is h11.NEED_DATA or event is h11.PAUSED:
            return None
        return None if isinstance(event, h11.ConnectionClosed) else event

    def _belongs(self, head):
        ids = self._ids_in(head)
        owner = answer_owner(
            self._outgoing.request_id,
            ids,
            is_echoed=self._outgoing.is_id_echoed,
            is_first=self._count == 1,
        )
        if owner is AnswerOwner.OWN:
            if ids and not self._outgoing.is_id_echoed:
                self._echoes_call_ids = True
            return True
        self._record(ExtraMoment.BEFORE_OWN, owner, head)
        return False

    def _await_next(self):
        """Parse what follows an extra answer as the next one."""
        data, is_closed = self._http.trailing_data
        self._http = _waiting_parser(self._outgoing.method)
        if data:
            self._http.receive_data(data)
        if is_closed:
            self._http.receive_data(b"")

    def _ids_in(self, head):
        if head is None or self._outgoing is None:
            return ()
        return find_values(head.headers, self._outgoing.id_header)

    def _record(self, moment, owner, head):
        waiting = self._outgoing
        self._extra_answers.record(
            ExtraAnswer(
                address=self._address,
                moment=moment,
                owner=owner,
                request_id=waiting.request_id if waiting else b"",
                answer_ids=self._ids_in(head),
                status=head.status_code if head is not None else 0,
            )
        )


def _waiting_parser(method):
    """Return a parser that expects the answer to a request."""
    http = h11.Connection(h11.CLIENT)
    http.send(h11.Request(method=method, target="/", headers=[("host", "")]))
    http.send(h11.EndOfMessage())
    return http


def _response_in(data):
    """Return the head of a response at the start of bytes, or None."""
    http = _waiting_parser("GET")
    try:
        http.receive_data(data)
        event = http.next_event()
    except h11.RemoteProtocolError:
        return None
    return event if isinstance(event, h11.Response) else None
