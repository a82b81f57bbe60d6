"""Generates load of all kinds of requests and records what callers received.

Each caller fetches the list of entries, caches it for the time that it
allows, and fails over to the next entry when one does not answer, as the
users' callers do.  This module only records what was received; ``verdicts``
checks it.
"""

import random
import threading
import time
from dataclasses import dataclass
from enum import Enum

import msgspec
import urllib3

from currantdeal.testing.caller import MODEL
from currantdeal.testing.output import expected_output
from currantdeal.testing.shapes import CALLER_KEY

CONNECT_S = 1.0
READ_S = 15.0
RESEND_S = 30.0
PAUSE_S = 0.05
BACKOFF_S = 0.5
"""Backoff after anything but a complete answer, to avoid a retry storm."""

TOKENS = 30
MAX_UNKNOWN = 3
"""Number of "unknown" outcomes after which a caller stops resending."""

CREATED = 201
OK = 200


class Kind(str, Enum):
    """Kinds of requests."""

    STREAM = "stream"
    ORDER = "order"
    BROWSE = "browse"


class Received(str, Enum):
    """Result of a request, as its caller observed it.

    ``WHOLE`` is a complete and correct answer.  ``UNREACHABLE`` is a
    connection that could not be opened: nothing was sent.  ``CUT`` is one
    that broke or timed out after the request was sent, and ``WRONG`` an
    answer that differs from the expected one or belongs to another caller.
    """

    WHOLE = "whole"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    FAILED = "failed"
    CUT = "cut"
    WRONG = "wrong"
    UNREACHABLE = "unreachable"


@dataclass(frozen=True, kw_only=True)
class Attempt:
    """One attempt of a request and its result.

    Parameters
    ----------
    name : str
        The prompt, the idempotency key or the path; unique except for paths.
    entry : str
        Address that it was sent to.
    began_s, ended_s : float
        Wall-clock times, in seconds since the epoch.
    final : bool
        True if the caller does not retry the request.
    """

    kind: Kind
    name: str
    entry: str
    began_s: float
    ended_s: float
    received: Received
    detail: str = ""
    final: bool = True


class EntryAddresses:
    """Entry addresses of one caller, in the order in which it uses them.

    Parameters
    ----------
    initial : tuple of str
        Addresses that are configured at the caller.
    rng : random.Random
        Shuffles the initial addresses.
    pinned : bool
        True to use the initial addresses only, and never fetch the list of
        entries.
    """

    def __init__(self, *, initial, rng, pinned=False):
        """Shuffle the initial addresses; fetch nothing yet."""
        self._pinned = pinned
        self._initial = list(initial)
        rng.shuffle(self._initial)
        self._current = list(self._initial)
        self._expires_s = 0.0
        self._pools = {}

    def current(self):
        """Return the address to use, from a list that has not expired."""
        if not self._pinned and time.monotonic() >= self._expires_s:
            self._refresh()
        return self._current[0]

    def mark_failed(self, address):
        """Move an address to the end of the list."""
        if address in self._current:
            self._current.remove(address)
            self._current.append(address)

    def pool(self, address):
        """Return the connection pool of an address."""
        if address not in self._pools:
            self._pools[address] = urllib3.PoolManager(
                retries=False,
                timeout=urllib3.Timeout(connect=CONNECT_S, read=READ_S),
            )
        return self._pools[address]

    def _refresh(self):
        for address in list(self._current):
            try:
                answer = self.pool(address).request(
                    "GET",
                    f"http://{address}/v1/entries",
                    headers=_headers(),
                    timeout=CONNECT_S,
                )
                body = msgspec.json.decode(answer.data)
                found = [entry["address"] for entry in body["entries"]]
            except (urllib3.exceptions.HTTPError, KeyError, ValueError):
                continue
            if found:
                self._replace(found, body["keep_s"])
                return
        self._expires_s = time.monotonic() + CONNECT_S

    def _replace(self, found, keep_s):
        rest = [address for address in self._initial if address not in found]
        self._current = found + rest
        self._expires_s = time.monotonic() + keep_s


class CallerLoad:
    """Callers that send requests until they are stopped.

    Parameters
    ----------
    addresses : tuple of str
        Initial addresses of each caller.
    streams, orders, browsers : int
        Number of callers of each kind, each with one request at a time.
    seed : int
        Seed of the callers' random choices.
    service : str
        Name of the plain service.
    pinned : bool
        True to keep each caller at one address, whatever the list of
        entries.
    """

    def __init__(
        self,
        *,
        addresses,
        streams=4,
        orders=2,
        browsers=1,
        seed=1,
        service="shop",
        pinned=False,
    ):
        """Send nothing before ``start``."""
        self._addresses = tuple(addresses)
        self._service = service
        self._pinned = pinned
        self._rng = random.Random(seed)
        self._seed = seed
        self._sent = []
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(send, number))
            for send, count in (
                (self._stream, streams),
                (self._order, orders),
                (self._browse, browsers),
            )
            for number in range(count)
        ]

    @property
    def sent(self):
        """Attempts that have ended, in the order of their end."""
        with self._lock:
            return tuple(self._sent)

    def count(self, kind=None, received=Received.WHOLE):
        """Return the number of attempts of a kind with a result."""
        return sum(
            attempt.received is received and kind in (None, attempt.kind)
            for attempt in self.sent
        )

    def start(self):
        """Begin to send."""
        for thread in self._threads:
            thread.daemon = True
            thread.start()

    def stop(self):
        """Stop sending and wait for the requests in flight."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _run(self, send, number):
        rng = random.Random(self._rng.random())
        initial = self._addresses
        if self._pinned:
            initial = (initial[number % len(initial)],)
        entries = EntryAddresses(initial=initial, rng=rng, pinned=self._pinned)
        count = 0
        while not self._stopped.is_set():
            count += 1
            send(entries, f"{self._seed}-{number}-{count}")
            self._stopped.wait(PAUSE_S * rng.random())

    def _record(self, **fields):
        attempt = Attempt(ended_s=time.time(), **fields)
        with self._lock:
            self._sent.append(attempt)
        if attempt.final:
            self._stopped.wait(_backoff_after(attempt.received))

    def _stream(self, entries, number):
        prompt = f"suggest a cake for {number} tokens={TOKENS}"
        body = {
            "model": MODEL,
            "prompt": prompt,
            "max_tokens": 2 * TOKENS,
            "stream": True,
        }
        began_s = time.time()
        entry = entries.current()
        received, detail = _post_stream(entries, entry, body, prompt)
        self._record(
            kind=Kind.STREAM,
            name=prompt,
            entry=entry,
            began_s=began_s,
            received=received,
            detail=detail,
        )

    def _browse(self, entries, number):
        path = f"/menu?page={number}"
        began_s = time.time()
        entry = entries.current()
        received, detail = self._call(entries, entry, "GET", path, {}, OK)
        self._record(
            kind=Kind.BROWSE,
            name=path,
            entry=entry,
            began_s=began_s,
            received=received,
            detail=detail,
        )

    def _order(self, entries, number):
        key = f"order-{number}"
        give_up_at_s = time.monotonic() + RESEND_S
        unknown_count = 0
        final = False
        while not final:
            began_s = time.time()
            entry = entries.current()
            received, detail = self._call(
                entries, entry, "POST", "/orders", {"Idempotency-Key": key}
            )
            unknown_count += received is Received.UNKNOWN
            final = (
                received in (Received.WHOLE, Received.WRONG)
                or time.monotonic() > give_up_at_s
                or unknown_count == MAX_UNKNOWN
            )
            self._record(
                kind=Kind.ORDER,
                name=key,
                entry=entry,
                began_s=began_s,
                received=received,
                detail=detail,
                final=final,
            )
            if not final:
                self._stopped.wait(_backoff_after(received))

    def _call(self, entries, entry, method, path, headers, expected=CREATED):
        key = headers.get("Idempotency-Key", "")
        url = f"http://{entry}/services/{self._service}{path}"
        try:
            answer = entries.pool(entry).request(
                method, url, body=key or None, headers=_headers() | headers
            )
        except urllib3.exceptions.HTTPError as exc:
            entries.mark_failed(entry)
            return _classify_error(exc)
        if answer.status != expected:
            entries.mark_failed(entry)
            return _classify_refusal(answer.status, answer.data)
        if key and msgspec.json.decode(answer.data)["order"] != key:
            return Received.WRONG, answer.data.decode()
        return Received.WHOLE, ""


def _post_stream(entries, entry, body, prompt):
    try:
        answer = entries.pool(entry).request(
            "POST",
            f"http://{entry}/v1/completions",
            body=msgspec.json.encode(body),
            headers=_headers(),
            preload_content=False,
        )
        if answer.status != OK:
            return _classify_refusal(answer.status, answer.data)
        text, done = _read_stream(answer)
    except urllib3.exceptions.HTTPError as exc:
        entries.mark_failed(entry)
        return _classify_error(exc)
    if not done:
        entries.mark_failed(entry)
        return Received.CUT, f"ended after {len(text)} characters"
    if text != expected_output(prompt, TOKENS):
        return Received.WRONG, text
    return Received.WHOLE, ""


def _backoff_after(received):
    return 0.0 if received is Received.WHOLE else BACKOFF_S


def _read_stream(answer):
    text, done = "", False
    for line in answer:
        data = line.removeprefix(b"data: ").strip()
        if data == b"[DONE]":
            done = True
        elif line.startswith(b"data: "):
            choices = msgspec.json.decode(data).get("choices", ())
            text += "".join(choice.get("text") or "" for choice in choices)
    answer.release_conn()
    return text, done


def _classify_refusal(status, raw):
    try:
        outcome = msgspec.json.decode(raw).get("outcome", "")
        return Received(outcome), f"{status} {raw[:300].decode()}"
    except (msgspec.DecodeError, ValueError, AttributeError):
        return Received.WRONG, f"{status} {raw[:300]!r}"


def _classify_error(exc):
    unsent = (
        urllib3.exceptions.NewConnectionError,
        urllib3.exceptions.ConnectTimeoutError,
    )
    if isinstance(exc, unsent):
        return Received.UNREACHABLE, str(exc)
    return Received.CUT, str(exc)


def _headers():
    return {
        "Authorization": f"Bearer {CALLER_KEY}",
        "Content-Type": "application/json",
    }
