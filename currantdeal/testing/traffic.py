"""Callers that keep sending, and what each of them received.

Each caller asks which entries to use, keeps the answer as long as it may,
and goes to the next entry when one does not answer, as the users' callers
do.  What was received is written down; judging it is left to ``verdicts``.
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
REFUSED_PAUSE_S = 0.5
"""Pause of a caller after a refusal; a polite one does not hammer."""

TOKENS = 30
MAX_UNKNOWN = 3
"""Answers "unknown" after which a caller sends an order no more."""

CREATED = 201
OK = 200


class Kind(str, Enum):
    """What a caller asks for."""

    STREAM = "stream"
    ORDER = "order"
    BROWSE = "browse"


class Received(str, Enum):
    """What a caller received in the end.

    ``UNREACHABLE`` is a connection that could not be opened: nothing was
    sent.  ``CUT`` is one that broke or fell silent after the request was
    sent, and ``WRONG`` an answer that is not whole or not the caller's own.
    """

    WHOLE = "whole"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    FAILED = "failed"
    CUT = "cut"
    WRONG = "wrong"
    UNREACHABLE = "unreachable"


@dataclass(frozen=True, kw_only=True)
class Sent:
    """One request and what came of it.

    Parameters
    ----------
    name : str
        The prompt, the idempotency key or the path; unique but for paths.
    entry : str
        Address it was sent to.
    began_s, ended_s : float
        Wall-clock times, in seconds since the epoch.
    final : bool
        True when the caller does not send it again.
    """

    kind: Kind
    name: str
    entry: str
    began_s: float
    ended_s: float
    received: Received
    detail: str = ""
    final: bool = True


class Entries:
    """The entries one caller knows.

    Parameters
    ----------
    known : tuple of str
        Addresses to begin with.
    chance : random.Random
        Chooses the first one.
    pinned : bool
        True to use the first addresses whatever the answer.
    """

    def __init__(self, *, known, chance, pinned=False):
        """Know only the first addresses."""
        self._pinned = pinned
        self._known = list(known)
        chance.shuffle(self._known)
        self._current = list(self._known)
        self._until_s = 0.0
        self._pools = {}

    def first(self):
        """Return the address to use now."""
        if not self._pinned and time.monotonic() >= self._until_s:
            self._refresh()
        return self._current[0]

    def failed(self, address):
        """Use another address from now on."""
        if address in self._current:
            self._current.remove(address)
            self._current.append(address)

    def pool(self, address):
        """Return the connections to an address."""
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
                found = [each["address"] for each in body["entries"]]
            except (urllib3.exceptions.HTTPError, KeyError, ValueError):
                continue
            if found:
                self._believe(found, body["keep_s"])
                return
        self._until_s = time.monotonic() + CONNECT_S

    def _believe(self, found, keep_s):
        rest = [each for each in self._known if each not in found]
        self._current = found + rest
        self._until_s = time.monotonic() + keep_s


class CallerLoad:
    """Some callers that send until they are told to stop.

    Parameters
    ----------
    addresses : tuple of str
        Addresses that callers know from the start.
    streams, orders, browsers : int
        Callers of each kind, each with one request at a time.
    seed : int
        Seed of what they choose.
    service : str
        Name of the plain service.
    pinned : bool
        True when each caller stays at the one address it is given, whatever
        entries it would be told.
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
        self._chance = random.Random(seed)
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
        """Everything sent so far, in the order in which it ended."""
        with self._lock:
            return tuple(self._sent)

    def count(self, kind=None, received=Received.WHOLE):
        """Return how many requests of a kind ended in a way."""
        return sum(
            one.received is received and kind in (None, one.kind)
            for one in self.sent
        )

    def start(self):
        """Begin to send."""
        for thread in self._threads:
            thread.daemon = True
            thread.start()

    def stop(self):
        """Send nothing more and wait for what is under way."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _run(self, send, number):
        chance = random.Random(self._chance.random())
        known = self._addresses
        if self._pinned:
            known = (known[number % len(known)],)
        entries = Entries(known=known, chance=chance, pinned=self._pinned)
        count = 0
        while not self._stopped.is_set():
            count += 1
            send(entries, f"{self._seed}-{number}-{count}")
            self._stopped.wait(PAUSE_S * chance.random())

    def _note(self, **fields):
        one = Sent(ended_s=time.time(), **fields)
        with self._lock:
            self._sent.append(one)
        if one.final:
            self._stopped.wait(_pause_after(one.received))

    def _stream(self, entries, number):
        prompt = f"suggest a cake for {number} tokens={TOKENS}"
        body = {
            "model": MODEL,
            "prompt": prompt,
            "max_tokens": 2 * TOKENS,
            "stream": True,
        }
        began_s = time.time()
        entry = entries.first()
        received, detail = _post_stream(entries, entry, body, prompt)
        self._note(
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
        entry = entries.first()
        received, detail = self._call(entries, entry, "GET", path, {}, OK)
        self._note(
            kind=Kind.BROWSE,
            name=path,
            entry=entry,
            began_s=began_s,
            received=received,
            detail=detail,
        )

    def _order(self, entries, number):
        key = f"order-{number}"
        give_up_s = time.monotonic() + RESEND_S
        unknown = 0
        final = False
        while not final:
            began_s = time.time()
            entry = entries.first()
            received, detail = self._call(
                entries, entry, "POST", "/orders", {"Idempotency-Key": key}
            )
            unknown += received is Received.UNKNOWN
            final = (
                received in (Received.WHOLE, Received.WRONG)
                or time.monotonic() > give_up_s
                or unknown == MAX_UNKNOWN
            )
            self._note(
                kind=Kind.ORDER,
                name=key,
                entry=entry,
                began_s=began_s,
                received=received,
                detail=detail,
                final=final,
            )
            if not final:
                self._stopped.wait(_pause_after(received))

    def _call(self, entries, entry, method, path, headers, wanted=CREATED):
        key = headers.get("Idempotency-Key", "")
        url = f"http://{entry}/services/{self._service}{path}"
        try:
            answer = entries.pool(entry).request(
                method, url, body=key or None, headers=_headers() | headers
            )
        except urllib3.exceptions.HTTPError as exc:
            entries.failed(entry)
            return _broken(exc)
        if answer.status != wanted:
            entries.failed(entry)
            return _refused(answer.status, answer.data)
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
            return _refused(answer.status, answer.data)
        text, done = _read_text(answer)
    except urllib3.exceptions.HTTPError as exc:
        entries.failed(entry)
        return _broken(exc)
    if not done:
        entries.failed(entry)
        return Received.CUT, f"ended after {len(text)} characters"
    if text != expected_output(prompt, TOKENS):
        return Received.WRONG, text
    return Received.WHOLE, ""


def _pause_after(received):
    return 0.0 if received is Received.WHOLE else REFUSED_PAUSE_S


def _read_text(answer):
    text, done = "", False
    for line in answer:
        data = line.removeprefix(b"data: ").strip()
        if data == b"[DONE]":
            done = True
        elif line.startswith(b"data: "):
            choices = msgspec.json.decode(data).get("choices", ())
            text += "".join(one.get("text") or "" for one in choices)
    answer.release_conn()
    return text, done


def _refused(status, raw):
    try:
        outcome = msgspec.json.decode(raw).get("outcome", "")
        return Received(outcome), f"{status} {raw[:300].decode()}"
    except (msgspec.DecodeError, ValueError, AttributeError):
        return Received.WRONG, f"{status} {raw[:300]!r}"


def _broken(exc):
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
