"""Client of the operators' HTTP interface.

An answer may get lost after a change was made.  Each change therefore has a
request id, under which it is sent again to the next address; the system
answers a resend with the answer of the first attempt.
"""

import uuid
from dataclasses import dataclass
from urllib.parse import quote

import msgspec
import urllib3

from currantdeal.cli.errors import CommandError, ExitCode
from currantdeal.core import DECODE_ERRORS

CONNECT_TIMEOUT_S = 2.0
READ_TIMEOUT_S = 10.0
ATTEMPTS_PER_ADDRESS = 3


@dataclass(frozen=True, kw_only=True)
class ChangeAnswer:
    """Answer to an accepted change.

    Parameters
    ----------
    in_force_s : float or None
        Seconds until the change was in force everywhere; None if the request
        did not wait for that.
    order_id : int or None
        Number of the order; None if the change is no engine order.
    """

    result: str
    version: int
    in_force_s: float | None = None
    order_id: int | None = None


@dataclass(frozen=True, kw_only=True)
class Problem:
    """Body of an error response, without the fields unused here."""

    title: str = ""
    detail: str = ""
    status: int = 0


def new_request_id():
    """Return a new request id for one change."""
    return f"cli/{uuid.uuid4().hex}"


class OperatorClient:
    """Sends an operator's requests to the first reachable instance.

    An instance that answers 503 counts as unreachable.

    Parameters
    ----------
    addresses : tuple of str
        ``IP:PORT`` of instances, in the order of preference.
    key : str
        Operator's key; empty if the instances have no keys.
    connect_s, read_s : float
        Timeouts of a connection attempt and of an answer, in seconds.
    """

    def __init__(
        self,
        *,
        addresses,
        key,
        connect_s=CONNECT_TIMEOUT_S,
        read_s=READ_TIMEOUT_S,
    ):
        """Prepare the headers; no connection is opened yet."""
        self._addresses = addresses
        self._headers = {"Content-Type": "application/json"}
        if key:
            self._headers["Authorization"] = f"Bearer {key}"
        self._connect_s = connect_s
        self._read_s = read_s
        self._pool = urllib3.PoolManager(retries=False)

    def read(self, path, cls):
        """Return the answer to a ``GET``, decoded to a class."""
        return self._decode(self._send("GET", path, None, 0.0), cls)

    def change(self, method, path, body, *, wait_s=0.0):
        """Send a change and return its ``ChangeAnswer``.

        The body holds the request id, which is the same for each attempt.
        ``wait_s`` extends the read timeout.
        """
        raw = msgspec.json.encode(body)
        answer = self._send(method, path, raw, wait_s)
        return self._decode(answer, ChangeAnswer)

    def _send(self, method, path, raw, wait_s):
        failures = []
        for address in self._addresses * ATTEMPTS_PER_ADDRESS:
            try:
                answer = self._send_to(address, method, path, raw, wait_s)
            except urllib3.exceptions.HTTPError as exc:
                failures.append(f"{address}: {exc}")
                continue
            if answer.status != 503:
                _raise_for_status(answer)
                return answer
            failures.append(f"{address}: {_parse_problem(answer).detail}")
        raise CommandError(
            "no instance answered:\n  " + "\n  ".join(dict.fromkeys(failures)),
            code=ExitCode.UNREACHABLE,
            hint="give the addresses of running instances with --address "
            "IP:PORT (it may be given several times); a change that was sent "
            "may still be made: read it back before sending it again",
        )

    def _send_to(self, address, method, path, raw, wait_s):
        timeout = urllib3.Timeout(
            connect=self._connect_s, read=self._read_s + wait_s
        )
        return self._pool.request(
            method,
            f"http://{address}{path}",
            body=raw,
            headers=self._headers,
            timeout=timeout,
        )

    def _decode(self, answer, cls):
        try:
            return msgspec.json.decode(answer.data, type=cls)
        except DECODE_ERRORS as exc:
            raise CommandError(
                f"the answer cannot be decoded: {exc}",
                code=ExitCode.FAILED,
                hint="check that --address names an instance's caller "
                "address and that both run the same release",
            ) from exc


def operator_path(*parts):
    """Return a path of the operators' interface from its quoted parts.

    Examples
    --------
    >>> from currantdeal.cli.client import operator_path
    >>> operator_path("selectors", "a b")
    '/operator/selectors/a%20b'
    """
    return "/operator/" + "/".join(quote(part, safe="") for part in parts)


def _raise_for_status(answer):
    if answer.status < 400:
        return
    problem = _parse_problem(answer)
    error_class = _ERROR_CLASSES.get(answer.status, _OTHER_ERROR)
    raise CommandError(
        problem.detail or problem.title or f"HTTP status {answer.status}",
        code=error_class.code,
        hint=error_class.hint,
    )


def _parse_problem(answer):
    try:
        return msgspec.json.decode(answer.data, type=Problem)
    except DECODE_ERRORS:
        return Problem(title=f"HTTP status {answer.status}")


@dataclass(frozen=True, kw_only=True)
class _ErrorClass:
    code: ExitCode
    hint: str


_KEY_ERROR = _ErrorClass(
    code=ExitCode.WRONG_KEY,
    hint="give an operator's key in CURRANTDEAL_OPERATOR_KEY or with "
    "--key-file",
)
_OTHER_ERROR = _ErrorClass(
    code=ExitCode.REFUSED,
    hint="nothing was changed; correct the command and run it again",
)
_ERROR_CLASSES = {
    401: _KEY_ERROR,
    403: _KEY_ERROR,
    409: _ErrorClass(
        code=ExitCode.CONFLICT,
        hint="another change came first and nothing was changed; list the "
        "current state, decide again, and give its version with "
        "--expected-version",
    ),
    504: _ErrorClass(
        code=ExitCode.NOT_IN_FORCE,
        hint="the change is accepted; see 'currantdeal status' for the "
        "instances at an earlier version",
    ),
}
