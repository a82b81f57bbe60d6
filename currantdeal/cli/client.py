"""Client of the operators' HTTP interface.

An answer may get lost after a change was made.  A change therefore carries
one request id, and the same change is sent again to the next address under
that id; the system answers a resend with the first answer.
"""

import uuid
from dataclasses import dataclass
from urllib.parse import quote

import msgspec
import urllib3

from currantdeal.cli.errors import CommandError, ExitCode

CONNECT_S = 2.0
READ_S = 10.0
ROUNDS = 3


@dataclass(frozen=True, kw_only=True)
class ChangeAnswer:
    """Answer to an accepted change.

    Parameters
    ----------
    in_force_s : float or None
        Seconds until it was in force everywhere; None if not waited for.
    order_id : int or None
        Number of the order, for engine orders.
    """

    result: str
    version: int
    in_force_s: float | None = None
    order_id: int | None = None


@dataclass(frozen=True, kw_only=True)
class Problem:
    """What the interface says about a refusal."""

    title: str = ""
    detail: str = ""
    status: int = 0


def new_request_id():
    """Return a request id for one change."""
    return f"cli/{uuid.uuid4().hex}"


class OperatorClient:
    """Sends an operator's requests to the first instance that answers.

    Parameters
    ----------
    addresses : tuple of str
        ``IP:PORT`` of some instances.
    key : str
        Operator's key; empty where the instances have no keys.
    connect_s, read_s : float
        Longest waits for a connection and for an answer, in seconds.
    """

    def __init__(self, *, addresses, key, connect_s=CONNECT_S, read_s=READ_S):
        """Open no connection yet."""
        self._addresses = addresses
        self._headers = {"Content-Type": "application/json"}
        if key:
            self._headers["Authorization"] = f"Bearer {key}"
        self._connect_s = connect_s
        self._read_s = read_s
        self._pool = urllib3.PoolManager(retries=False)

    def read(self, path, cls):
        """Return the answer to a ``GET`` as a value of a class."""
        return self._decode(self._send("GET", path, None, 0.0), cls)

    def change(self, method, path, body, *, wait_s=0.0):
        """Send a change, under one request id, and return its answer."""
        raw = msgspec.json.encode(body)
        answer = self._send(method, path, raw, wait_s)
        return self._decode(answer, ChangeAnswer)

    def _send(self, method, path, raw, wait_s):
        faults = []
        for address in self._addresses * ROUNDS:
            try:
                answer = self._ask(address, method, path, raw, wait_s)
            except urllib3.exceptions.HTTPError as exc:
                faults.append(f"{address}: {exc}")
                continue
            if answer.status != 503:
                _raise_problem(answer)
                return answer
            faults.append(f"{address}: {_problem_of(answer).detail}")
        raise CommandError(
            "no instance answered:\n  " + "\n  ".join(dict.fromkeys(faults)),
            code=ExitCode.UNREACHABLE,
            hint="name instances that run with --address IP:PORT (it may be "
            "given several times); a change that was sent may still be "
            "made: read it back before sending it again",
        )

    def _ask(self, address, method, path, raw, wait_s):
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
        except msgspec.MsgspecError as exc:
            raise CommandError(
                f"the answer makes no sense: {exc}",
                code=ExitCode.FAILED,
                hint="check that --address names an instance's caller "
                "address and that both run the same release",
            ) from exc


def path_of(*parts):
    """Return a path below the operators' root from its parts.

    Examples
    --------
    >>> from currantdeal.cli.client import path_of
    >>> path_of("selectors", "a b")
    '/operator/selectors/a%20b'
    """
    return "/operator/" + "/".join(quote(part, safe="") for part in parts)


def _raise_problem(answer):
    if answer.status < 400:
        return
    problem = _problem_of(answer)
    fate = _FATES.get(answer.status, _OTHER_FATE)
    raise CommandError(
        problem.detail or problem.title or f"HTTP status {answer.status}",
        code=fate.code,
        hint=fate.hint,
    )


def _problem_of(answer):
    try:
        return msgspec.json.decode(answer.data, type=Problem)
    except msgspec.MsgspecError:
        return Problem(title=f"HTTP status {answer.status}")


@dataclass(frozen=True, kw_only=True)
class _Fate:
    code: ExitCode
    hint: str


_WRONG_KEY = _Fate(
    code=ExitCode.WRONG_KEY,
    hint="give an operator's key in CURRANTDEAL_OPERATOR_KEY or with "
    "--key-file",
)
_OTHER_FATE = _Fate(
    code=ExitCode.REFUSED,
    hint="nothing was changed; correct the command and run it again",
)
_FATES = {
    401: _WRONG_KEY,
    403: _WRONG_KEY,
    409: _Fate(
        code=ExitCode.CONFLICT,
        hint="another change came first and nothing was changed; list the "
        "present state, decide again, and name its version with "
        "--expected-version",
    ),
    504: _Fate(
        code=ExitCode.NOT_IN_FORCE,
        hint="the change is accepted; see 'currantdeal status' for the "
        "instances that do not have it yet",
    ),
}
