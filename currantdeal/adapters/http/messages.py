"""Requests and responses as passed to and from handlers."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import msgspec

from currantdeal.adapters.http.errors import bad_request
from currantdeal.adapters.settings import KeySettings

JSON = "application/json"

OPEN_ENDED = "currantdeal.open_ended"
"""Key of the WSGI environment whose presence leaves a body without a framing.

The body then ends with its connection, and may be incomplete.
"""

BROKEN_OFF = "currantdeal.broken_off"
"""Key of the WSGI environment whose presence cuts a body off at its end."""


@dataclass(frozen=True, kw_only=True)
class Request:
    """A request whose body has been read and whose key has been checked.

    Parameters
    ----------
    path : str
        Decoded path.
    raw_path : str
        Path and query as sent by the client.
    environ : dict
        The WSGI environment, for headers.
    groups : dict
        Named groups of the route's pattern, found in the path.
    key : KeySettings or None
        The presented key; None if the settings have no keys.
    is_disconnected : callable
        Returns True once the client has disconnected.
    """

    method: str
    path: str
    raw_path: str
    environ: dict
    groups: dict
    body: bytes
    key: KeySettings | None
    is_disconnected: Callable[[], bool]

    def header(self, name, default=""):
        """Return a header's value."""
        key = name.upper().replace("-", "_")
        if key in ("CONTENT_TYPE", "CONTENT_LENGTH"):
            return self.environ.get(key, default)
        return self.environ.get(f"HTTP_{key}", default)

    @property
    def query(self):
        """The undecoded query."""
        return self.environ.get("QUERY_STRING", "")

    @property
    def client_address(self):
        """Network address of the client."""
        return self.environ.get("REMOTE_ADDR", "")

    def json(self, cls):
        """Return the body decoded from JSON as an instance of ``cls``.

        Raises
        ------
        HttpError
            If the body does not match the type or is nested too deeply.
        """
        try:
            return msgspec.json.decode(self.body, type=cls)
        except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
            raise bad_request(f"the body: {exc}") from exc
        except RecursionError as exc:
            raise bad_request("the body is nested too deeply") from exc


@dataclass(frozen=True, kw_only=True)
class Response:
    """An answer; the body is bytes, or chunks sent as they are produced.

    Parameters
    ----------
    is_known_whole : bool
        False if the body may be incomplete; the caller then gets it with
        neither a length nor chunks.
    """

    status: int = 200
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes | Iterable[bytes] = field(default=b"")
    is_known_whole: bool = True


def json_response(message, *, status=200, headers=()):
    """Return an answer with a message encoded as JSON."""
    return Response(
        status=status,
        headers=(("Content-Type", JSON), *headers),
        body=msgspec.json.encode(message),
    )
