"""Protocols that translate to and from the formats of outer interfaces.

The other packages decide what is sent and what a response means for a
request.  A dialect implements the header names, paths and body formats that
callers, upstreams and operators use.
"""

import math
from dataclasses import dataclass
from typing import Protocol

from currantdeal.registry import Stage


@dataclass(frozen=True, kw_only=True)
class CallerRequest:
    """Decoded headers of a caller's request.

    Parameters
    ----------
    request_id : str
        The caller's id of this attempt; empty if missing.
    caller_timeout_s : float or None
        Time that the caller waits for the response; None if it names none.
    prompt_tokens, max_output_tokens : int
        Size of a generation; 0 if the request is not a generation.
    expected_output_tokens : int
        The caller's estimate of the output length; 0 if it gives none.
    resume_after : str
        Id of the last event that the caller has received, or empty.
    key_digest : bytes
        Digest of the caller's key; empty if the request has no well-formed
        key.
    credentials_digest : bytes
        Digest of whatever credentials the request has, or empty.
    shared_parts : tuple of str
        Identifiers of the parts of the prompt that other requests may share,
        in order.
    """

    request_id: str
    caller_timeout_s: float | None
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    expected_output_tokens: int = 0
    resume_after: str = ""
    key_digest: bytes = b""
    credentials_digest: bytes = b""
    shared_parts: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True)
class ForwardingOptions:
    """Parameters that the system adds to a request for one upstream.

    Parameters
    ----------
    upstream : str
        Id of the addressed upstream; another one that now runs at the same
        address rejects the request.
    time_left_s : float
        Time remaining until the response is no longer of use.
    prefill_only : bool
        True to compute the prompt's KV cache only and keep it for another
        engine.
    kv_source : str
        Where the engine fetches the KV cache of the prompt, or empty.
    reservation : str
        Id of the memory reserved at the engine, or empty.
    resume_after : str
        Id of the last event received, or empty.
    organisation : str
        Name of the caller's organisation, or empty.
    priority : int or None
        Priority at the upstream, 0 first; None for its default.
    send_before_s : float
        Time since boot from which the request must not be sent any more.
    """

    upstream: str
    time_left_s: float
    prefill_only: bool = False
    kv_source: str = ""
    reservation: str = ""
    resume_after: str = ""
    organisation: str = ""
    priority: int | None = None
    send_before_s: float = math.inf


@dataclass(frozen=True, kw_only=True)
class UpstreamLoad:
    """Number of running and queued requests at an upstream, and of slots.

    Parameters
    ----------
    pace : float or None
        Time that work takes there now, as a multiple of the usual; None if
        it isn't stated.
    """

    running: int
    waiting: int
    slots: int
    pace: float | None = None


@dataclass(frozen=True, kw_only=True)
class ResponseMetadata:
    """Decoded headers of an upstream's response.

    Parameters
    ----------
    not_run : bool
        True if the upstream states that it did not run the request.
    is_signed : bool
        True if the response head carries the upstream's signature.
    load : UpstreamLoad or None
        The upstream's load; None if the response does not report it.
    answered_by : str
        Name of the responding upstream; empty if not reported.
    limit_per_s : float or None
        Requests per second that the upstream takes from all entries
        together; infinite if it names no limit, None if the limit is
        malformed.
    """

    not_run: bool
    is_signed: bool
    load: UpstreamLoad | None = None
    answered_by: str = ""
    limit_per_s: float | None = math.inf


class UpstreamDialect(Protocol):
    """Encodes requests to upstreams and decodes their responses."""

    def read_caller(self, head):
        """Return the ``CallerRequest`` decoded from a request head.

        Raises
        ------
        DialectError
            If a header that affects how the request is handled is malformed.
        """

    def without_credentials(self, head):
        """Return a request head without the caller's credentials."""

    def outgoing(self, head, body, options):
        """Return the ``Outgoing`` request for an upstream."""

    def read_response(self, head):
        """Return the ``ResponseMetadata`` decoded from a response head."""

    def response_headers(self, head):
        """Return the response headers that are forwarded to the caller.

        ``Content-Length`` is left out, since the forwarding code frames the
        body itself.
        """

    def check_health(self, address, path):
        """Return the ``Outgoing`` health check for an upstream."""

    def reserve(self, address, *, tokens, hold_s, upstream):
        """Return the ``Outgoing`` call that reserves memory at an engine."""

    def read_reservation(self, body):
        """Return the id of a reservation.

        Raises
        ------
        DialectError
            If the body is malformed.
        """

    def release_reservation(self, address, reservation):
        """Return the ``Outgoing`` call that releases a reservation."""

    def read_prefill(self, body):
        """Return the handle of a KV cache.

        Raises
        ------
        DialectError
            If the body is malformed.
        """

    def release_prefill(self, address, handle):
        """Return the ``Outgoing`` call that frees a KV cache."""

    def change_stage(self, address, order):
        """Return the ``Outgoing`` call that carries a ``StageOrder``."""


@dataclass(frozen=True, kw_only=True)
class StageOrder:
    """An order that switches an engine to another stage of generations.

    Parameters
    ----------
    holder : str
        The instance that issues the order.
    fencing_number : int
        Increases with each new holder, so that an engine can reject orders
        of a former one.
    """

    upstream: str
    stage: Stage
    holder: str
    fencing_number: int


class ControlDialect(Protocol):
    """Decodes calls to control instances and encodes their responses.

    The calls come from upstreams, operators and callers.
    """

    def read_operation(self, head):
        """Return the ``Operation`` of a call; None if it is unknown.

        Raises
        ------
        DialectError
            If it names an instance by bytes that are no name.
        """

    def read_announcement(self, upstream, body):
        """Return an ``UpstreamRecord``.

        Raises
        ------
        DialectError
            If the body is malformed.
        """

    def read_config(self, body):
        """Return a ``RoutingConfig``.

        Raises
        ------
        DialectError
            If the body is malformed.
        """

    def directory_answer(self, addresses, keep_s):
        """Return the body that lists the addresses callers connect to.

        They may keep the list for ``keep_s`` seconds.
        """

    def error_answer(self, reason):
        """Return the body that gives the reason why a call was refused."""


@dataclass(frozen=True, kw_only=True)
class Announce:
    """An upstream's heartbeat."""

    upstream: str


@dataclass(frozen=True, kw_only=True)
class Leave:
    """An upstream deregisters before it stops."""

    upstream: str


@dataclass(frozen=True, kw_only=True)
class PutConfig:
    """An operator submits a configuration."""


@dataclass(frozen=True, kw_only=True)
class GetConfig:
    """An operator reads the current configuration."""


@dataclass(frozen=True, kw_only=True)
class LookUpEntries:
    """A caller looks up the entries that it may connect to."""

    host: str
    region: str
    data_center: str


@dataclass(frozen=True, kw_only=True)
class CheckReadiness:
    """The supervisor of the machines runs the readiness check."""


Operation = (
    Announce | Leave | PutConfig | GetConfig | LookUpEntries | CheckReadiness
)
