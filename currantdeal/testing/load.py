"""Generates load with threads that stream completions and verify them.

The stand-in engines' output is a function of the prompt, so that each caller
can check that it received its own answer, complete and in order.
"""

import itertools
import random
import threading
import time
from collections import Counter
from dataclasses import dataclass
from enum import Enum

import urllib3

from currantdeal.testing.caller import CallerClient
from currantdeal.testing.errors import HarnessError
from currantdeal.testing.output import expected_output

REFUSAL_BACKOFF_S = 0.1


class Result(str, Enum):
    """Result of a request, as its caller observed it."""

    WHOLE = "whole"
    REFUSED = "refused"
    CUT_OFF = "cut-off"
    WRONG = "wrong"


@dataclass(frozen=True, kw_only=True)
class RequestRecord:
    """A request of a caller and its result.

    Parameters
    ----------
    detail : str
        What was received, unless the answer was complete.
    """

    result: Result
    address: str
    prompt: str
    detail: str = ""


class EntriesCache:
    """Caches the entries that callers should use, for the time they allow.

    Parameters
    ----------
    addresses : tuple of str
        Addresses to query in this order, after the current entries.
    seed : int
        Seed of the random choice among entries.
    """

    def __init__(self, *, addresses, seed=1):
        """Send no request yet."""
        self._addresses = addresses
        self._random = random.Random(seed)
        self._lock = threading.Lock()
        self._clients = {}
        self._entries = ()
        self._expires_s = 0.0

    def pick_client(self):
        """Return the client of a randomly chosen entry."""
        with self._lock:
            if time.monotonic() >= self._expires_s:
                self._refresh()
            address = self._random.choice(self._entries)
            return self._client(address)

    def _refresh(self):
        sent_s = time.monotonic()
        for address in (*self._entries, *self._addresses):
            try:
                found = self._client(address).entries()
            except HarnessError:
                continue
            if found.entries:
                self._entries = tuple(entry.address for entry in found.entries)
                self._expires_s = sent_s + found.keep_s
                return
        raise HarnessError("no instance returned any entries")

    def _client(self, address):
        if address not in self._clients:
            self._clients[address] = CallerClient(address=address)
        return self._clients[address]


class BackgroundCallers:
    """Threads that stream completions one after the other.

    Parameters
    ----------
    pick_client : callable
        Returns the ``CallerClient`` for the next request.
    callers : int
        Number of threads, each with one request at a time.
    tokens : int
        Length of each output, in tokens.
    prompt_words : int
        Words that are added to each prompt.
    """

    def __init__(self, *, pick_client, callers=4, tokens=40, prompt_words=50):
        """Send nothing before ``start``."""
        self._pick_client = pick_client
        self._tokens = tokens
        self._prompt_words = prompt_words
        self._numbers = itertools.count(1)
        self._stopped = threading.Event()
        self._records = []
        self._threads = [
            threading.Thread(target=self._run, daemon=True)
            for _ in range(callers)
        ]

    @property
    def records(self):
        """Records of the requests that have ended."""
        return tuple(self._records)

    @property
    def counts(self):
        """Number of requests by result."""
        return Counter(record.result for record in self._records)

    def start(self):
        """Begin to send."""
        for thread in self._threads:
            thread.start()

    def stop(self):
        """Wait for the requests in flight and return all records."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()
        return self.records

    def _run(self):
        while not self._stopped.is_set():
            number = next(self._numbers)
            prompt = f"request {number} tokens={self._tokens} "
            prompt += "cake " * self._prompt_words
            client = self._pick_client()
            record = stream_and_verify(client, prompt, self._tokens)
            self._records.append(record)
            if record.result is Result.REFUSED:
                self._stopped.wait(REFUSAL_BACKOFF_S)


def stream_and_verify(client, prompt, tokens):
    """Stream a completion and compare it with the expected output."""
    try:
        stream = client.open_stream(prompt, max_tokens=tokens)
    except HarnessError as exc:
        return _record(Result.REFUSED, client, prompt, str(exc))
    except urllib3.exceptions.HTTPError as exc:
        return _record(Result.CUT_OFF, client, prompt, str(exc))
    try:
        found = stream.read()
    except HarnessError as exc:
        return _record(Result.CUT_OFF, client, prompt, str(exc))
    if found.text == expected_output(prompt, tokens) and found.done:
        return _record(Result.WHOLE, client, prompt, "")
    is_prefix = expected_output(prompt, tokens).startswith(found.text)
    result = Result.CUT_OFF if is_prefix else Result.WRONG
    detail = f"{len(found.text)} characters: {found.text[-40:]!r}"
    return _record(result, client, prompt, detail)


def _record(result, client, prompt, detail):
    return RequestRecord(
        result=result,
        address=client.address,
        prompt=prompt,
        detail=detail,
    )
