"""Parses the answers on a connection and finds the one of each request.

This is the only place that decides whose an answer is.  Other answers are
recorded and skipped, and nothing of them reaches the caller of this module.
"""

import math

import h11

from currantdeal.node.errors import UnsendableRequestError
from currantdeal.node.extra_answers import ExtraAnswer, ExtraMoment
from currantdeal.node.head import find_values
from currantdeal.policy.answers.answer_owner import AnswerOwner, answer_owner
from currantdeal.policy.answers.chunk_sizes import ChunkSizes
from currantdeal.policy.answers.grant_channel import GrantChannel

MAX_REQUESTS = 256
"""Maximum number of requests on a connection, which bounds its set of ids."""

MAX_BYTES_BEFORE_ANSWER = 65_536
"""Maximum size of what precedes an answer, such as interim answers."""

MAX_EXTRA_BYTES = 8_388_608
"""Maximum size of the extra answers that are skipped before an answer."""

MAX_GRANT_BYTES = 65_536
"""Maximum size of the body of a grant, which is read before it is used."""


class AnswerParser:
    """Parses the answers to the requests that one connection carries.

    Parameters
    ----------
    address : str
        The upstream, for records of extra answers.
    extra_answers : ExtraAnswerLog
        Records answers that belong to no waiting request.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, *, address, extra_answers, clock):
        """Start without requests."""
        self._address = address
        self._clock = clock
        self._extra_answers = extra_answers
        self._http = h11.Connection(h11.CLIENT)
        self._outgoing = None
        self._ids = set()
        self._count = 0
        self._carried_head = False
        self._echoes_call_ids = False
        self._carried_anonymous_call = False
        self._grants = GrantChannel()
        self._unread_grant = None
        self._is_own = False
        self._is_identified = True
        self._is_begun = False
        self._is_ended = False
        self._is_skipping = False
        self._bytes_before = 0
        self._extra_bytes = 0
        self._chunks = ChunkSizes()

    @property
    def has_ended(self):
        """Whether the own answer is complete."""
        return self._is_ended

    @property
    def is_idle(self):
        """True while no request waits for an answer."""
        return self._http.our_state is h11.IDLE

    @property
    def is_identified(self):
        """Whether it is known which request the own answer belongs to."""
        return self._is_identified

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
        if outgoing.is_id_echoed or self.recognises_calls:
            return True
        return self._is_told_by_grant(outgoing) and self._grants.may_carry(
            outgoing.grant.size, now_s=self._clock()
        )

    def spare_size(self, outgoing):
        """Return by how much grants here exceed a request, at least.

        Infinite if a grant of any size may be asked for, and 0 for a request
        that asks for none.
        """
        if outgoing.grant is None:
            return 0
        floor = self._grants.floor(now_s=self._clock())
        return math.inf if floor is None else floor - outgoing.grant.size

    def begin(self, outgoing, head=None):
        """Return the bytes of a request, whose answer is parsed next.

        Parameters
        ----------
        head : h11.Request or None
            Head of the request, if ``encode_head`` has returned it already.
        """
        self._outgoing = outgoing
        self._is_begun = self._is_ended = self._is_skipping = False
        self._bytes_before = self._extra_bytes = 0
        self._chunks = ChunkSizes()
        self._count += 1
        if outgoing.request_id:
            self._ids.add(outgoing.request_id)
        self._carried_head = self._carried_head or outgoing.method == "HEAD"
        if outgoing.grant is not None:
            self._grants.begin(outgoing.grant.size, now_s=self._clock())
        elif not outgoing.is_id_echoed:
            self._carried_anonymous_call = True
        raw = self._http.send(head or encode_head(outgoing))
        if outgoing.body:
            raw += self._http.send(h11.Data(data=outgoing.body))
        return raw + self._http.send(h11.EndOfMessage())

    def receive(self, data):
        """Yield the events of the own answer in received bytes.

        Empty bytes are the end of the connection.

        Raises
        ------
        h11.RemoteProtocolError
            If the bytes are not HTTP, or too many precede the answer.
        """
        was_skipping = self._is_skipping
        self._http.receive_data(data)
        while (event := self._next_event()) is not None:
            if isinstance(event, h11.Response):
                self._begin_answer(event)
                if self._is_own and self._is_grant_without_id(event):
                    self._unread_grant = []
            if self._unread_grant is not None:
                yield from self._read_grant(event)
            elif self._is_own:
                yield event
            if isinstance(event, h11.EndOfMessage):
                if self._is_own:
                    self._is_ended = True
                    return
                self._is_skipping = False
                self._await_next()
        self._check_sizes(len(data), was_skipping or self._is_skipping)

    def finish(self, unparsed=b""):
        """End the exchange; returns whether another request may follow.

        Parameters
        ----------
        unparsed : bytes
            Received bytes that were not parsed.
        """
        extra = self._http.trailing_data[0] + unparsed
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

    def _begin_answer(self, head):
        self._is_own = self._belongs(head)
        self._is_begun = self._is_begun or self._is_own
        self._is_skipping = not self._is_own

    def _check_sizes(self, size, is_extra):
        """Bound tiny chunks, and what is received before the own answer.

        Parameters
        ----------
        is_extra : bool
            Whether the bytes are of extra answers.
        """
        if is_extra:
            self._extra_bytes += size
        elif not self._is_begun:
            self._bytes_before += size
        if self._chunks.are_too_small:
            raise h11.RemoteProtocolError("the chunks are too small")
        if self._bytes_before > MAX_BYTES_BEFORE_ANSWER:
            raise h11.RemoteProtocolError("too many bytes before the answer")
        if self._extra_bytes > MAX_EXTRA_BYTES:
            raise h11.RemoteProtocolError("the extra answers are too large")

    def _next_event(self):
        """Return the next event of an answer; None if there is none yet."""
        event = self._http.next_event()
        while isinstance(event, h11.InformationalResponse):
            event = self._http.next_event()
        if event is h11.NEED_DATA or event is h11.PAUSED:
            return None
        if isinstance(event, h11.Data):
            self._chunks.add(event.data)
        return None if isinstance(event, h11.ConnectionClosed) else event

    def _read_grant(self, event):
        """Keep the events of a grant; yields all of one that is new."""
        events = self._unread_grant
        events.append(event)
        if not isinstance(event, h11.EndOfMessage):
            if _body_size(events) > MAX_GRANT_BYTES:
                raise h11.RemoteProtocolError("the grant is too large")
            return
        self._unread_grant = None
        name = self._outgoing.grant.read(_body(events))
        if name and not self._grants.take(name):
            self._is_own = self._is_begun = False
            self._record(ExtraMoment.BEFORE_OWN, AnswerOwner.OTHER, events[0])
            return
        yield from events

    def _is_told_by_grant(self, outgoing):
        """Return whether an answer without an id may be used for a request.

        It names a grant that only this process holds, or refuses one.
        """
        may_be_other = self._carried_anonymous_call or self._echoes_call_ids
        return outgoing.grant is not None and not may_be_other

    def _is_grant_without_id(self, head):
        """Return whether only the grant in an answer tells if it is new."""
        may_grant = self._outgoing.grant is not None and not self._ids_in(head)
        return may_grant and head.status_code == 200

    def _belongs(self, head):
        ids = self._ids_in(head)
        owner = answer_owner(
            self._outgoing.request_id,
            ids,
            is_echoed=self._outgoing.is_id_echoed,
            is_first=self._count == 1,
            names_grant=self._is_told_by_grant(self._outgoing),
        )
        if owner is AnswerOwner.OWN:
            self._is_identified = bool(ids) or self._count == 1
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


def encode_head(outgoing):
    """Return the head of a request for the parser of its connection.

    Raises
    ------
    UnsendableRequestError
        If HTTP cannot express it, such as a header with a control character.
    """
    try:
        return h11.Request(
            method=outgoing.method,
            target=outgoing.target,
            headers=list(outgoing.headers),
        )
    except (h11.LocalProtocolError, UnicodeError) as exc:
        raise UnsendableRequestError("the request cannot be encoded") from exc


def _body(events):
    return b"".join(bytes(e.data) for e in events if isinstance(e, h11.Data))


def _body_size(events):
    return sum(len(e.data) for e in events if isinstance(e, h11.Data))


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
