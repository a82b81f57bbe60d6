"""How the product meets the dialect of callers, upstreams and operators.

The product decides what is sent and what an answer means for a request; a
dialect knows the names and formats.
"""

from dataclasses import dataclass
from typing import Protocol

from currantdeal.registry import Stage


@dataclass(frozen=True, kw_only=True)
class CallerRequest:
    """What a caller's head says besides method, path and body.

    Parameters
    ----------
    request_id : str
        The caller's name of this attempt; empty if missing.
    patience_s : float or None
        Time that the caller waits for the answer.
    prompt_tokens, max_output_tokens : int
        Size of a generation; 0 where it is none.
    expected_output_tokens : int
        The caller's estimate of the output; 0 without one.
    resume_after : str
        Id of the last event that the caller has, or empty.
    caller : str
        Whom the request says that it is from: its credentials, or empty.
    """

    request_id: str
    patience_s: float | None
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    expected_output_tokens: int = 0
    resume_after: str = ""
    caller: str = ""


@dataclass(frozen=True, kw_only=True)
class Directions:
    """What the system adds to a request for one upstream.

    Parameters
    ----------
    upstream : str
        The upstream that is meant; another one at its address refuses.
    time_left_s : float
        Time in which the answer is of use.
    prefill_only : bool
        True to read the prompt and keep its KV cache for another engine.
    kv_source : str
        Where the engine fetches the KV cache of the prompt, or empty.
    reservation : str
        Id of the memory reserved at the engine, or empty.
    resume_after : str
        Id of the last event received, or empty.
    """

    upstream: str
    time_left_s: float
    prefill_only: bool = False
    kv_source: str = ""
    reservation: str = ""
    resume_after: str = ""


@dataclass(frozen=True, kw_only=True)
class UpstreamLoad:
    """Requests running and waiting at an upstream, and its places."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True, kw_only=True)
class ReplyTraits:
    """What the head of an upstream's answer says.

    Parameters
    ----------
    not_run : bool
        True when the upstream says that it did not run the request.
    genuine : bool
        True when the head bears the upstream's signature.
    request_id : str
        The request that is answered, or empty.
    load : UpstreamLoad or None
        The upstream's load, where it tells it.
    answered_by : str
        Name of the upstream that answers, where it tells it, or empty.
    """

    not_run: bool
    genuine: bool
    request_id: str
    load: UpstreamLoad | None = None
    answered_by: str = ""


class UpstreamDialect(Protocol):
    """Requests to upstreams and their answers."""

    def read_caller(self, head):
        """Return the ``CallerRequest`` of a head.

        Raises
        ------
        DialectError
            If a header that decides about the request is unreadable.
        """

    def outgoing(self, head, body, directions):
        """Return the ``Outgoing`` request for an upstream."""

    def read_reply(self, head):
        """Return the ``ReplyTraits`` of an answer's head."""

    def reply_headers(self, head):
        """Return the headers of an answer that the caller gets.

        A length is left out; whoever passes the answer on frames it anew.
        """

    def check_health(self, address, path):
        """Return the ``Outgoing`` call that checks an upstream's health."""

    def reserve(self, address, *, tokens, hold_s, upstream):
        """Return the ``Outgoing`` call that reserves memory at an engine."""

    def read_reservation(self, body):
        """Return the id of a reservation; ``DialectError`` if unreadable."""

    def release_reservation(self, address, reservation):
        """Return the ``Outgoing`` call that gives a reservation back."""

    def read_prefill(self, body):
        """Return the handle of a KV cache; ``DialectError`` if unreadable."""

    def release_prefill(self, address, handle):
        """Return the ``Outgoing`` call that frees a KV cache."""

    def change_stage(self, address, order):
        """Return the ``Outgoing`` call for a ``StageOrder``."""


@dataclass(frozen=True, kw_only=True)
class StageOrder:
    """An order to an engine to do another part of generations.

    Parameters
    ----------
    holder : str
        The instance that gives the order.
    fencing_number : int
        Rises with each holder, so that an engine can refuse an old one.
    """

    upstream: str
    stage: Stage
    holder: str
    fencing_number: int


class ControlDialect(Protocol):
    """Calls that upstreams, operators and callers make to control."""

    def read_operation(self, head):
        """Return the ``Operation`` that a call asks for, or None."""

    def read_announcement(self, upstream, body):
        """Return an ``UpstreamRecord``; ``DialectError`` if unreadable."""

    def read_config(self, body):
        """Return a ``RoutingConfig``; ``DialectError`` if unreadable."""

    def directory_answer(self, addresses, keep_s):
        """Return the body that tells callers where to connect."""

    def error_answer(self, reason):
        """Return the body that tells why a call was refused."""


@dataclass(frozen=True, kw_only=True)
class Announce:
    """An upstream's heartbeat."""

    upstream: str


@dataclass(frozen=True, kw_only=True)
class Leave:
    """An upstream's last word."""

    upstream: str


@dataclass(frozen=True, kw_only=True)
class PutConfig:
    """An operator brings a configuration."""


@dataclass(frozen=True, kw_only=True)
class GetConfig:
    """An operator reads the configuration back."""


@dataclass(frozen=True, kw_only=True)
class FindEntries:
    """A caller asks where to connect."""

    host: str
    region: str
    data_center: str


@dataclass(frozen=True, kw_only=True)
class AskReady:
    """The machines' supervisor asks whether the instance is ready."""


Operation = Announce | Leave | PutConfig | GetConfig | FindEntries | AskReady
