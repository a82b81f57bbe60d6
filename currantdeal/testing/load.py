"""Callers that keep a cluster busy and check what they receive."""

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

REFUSAL_PAUSE_S = 0.1


class Verdict(str, Enum):
    """What became of one request, as its caller saw it."""

    WHOLE = "whole"
    REFUSED = "refused"
    CUT_OFF = "cut-off"
    WRONG = "wrong"


@dataclass(frozen=True, kw_only=True)
class Received:
    """One request of a caller and what became of it.

    Parameters
    ----------
    detail : str
        What was received instead of a whole answer.
    """

    verdict: Verdict
    address: str
    prompt: str
    detail: str = ""


class EntriesKeeper:
    """Asks which addresses to use, and keeps the answer as allowed.

    Parameters
    ----------
    addresses : tuple of str
        Addresses to ask, one after the other.
    seed : int
        Seed of the choice among entries.
    """

    def __init__(self, *, addresses, seed=1):
        """Ask nothing yet."""
        self._addresses = addresses
        self._random = random.Random(seed)
        self._lock = threading.Lock()
        self._clients = {}
        self._entries = ()
        self._until_s = 0.0

    def pick(self):
        """Return a client of one of the entries."""
        with self._lock:
            if time.monotonic() >= self._until_s:
                self._refresh()
            address = self._random.choice(self._entries)
            return self._client(address)

    def _refresh(self):
        asked_s = time.monotonic()
        for address in (*self._entries, *self._addresses):
            try:
                found = self._client(address).entries()
            except HarnessError:
                continue
            if found.entries:
                self._entries = tuple(one.address for one in found.entries)
                self._until_s = asked_s + found.keep_s
                return
        raise HarnessError("no instance tells any entries")

    def _client(self, address):
        if address not in self._clients:
            self._clients[address] = CallerClient(address=address)
        return self._clients[address]


class BackgroundCallers:
    """Threads that stream completions one after the other.

    Parameters
    ----------
    pick : callable
        Returns the ``CallerClient`` of the next request.
    callers : int
        Number of threads.
    tokens : int
        Length of each output.
    prompt_words : int
        Length of each prompt.
    """

    def __init__(self, *, pick, callers=4, tokens=40, prompt_words=50):
        """Ask for nothing before ``start``."""
        self._pick = pick
        self._tokens = tokens
        self._prompt_words = prompt_words
        self._numbers = itertools.count(1)
        self._stopped = threading.Event()
        self._received = []
        self._threads = [
            threading.Thread(target=self._run, daemon=True)
            for _ in range(callers)
        ]

    @property
    def received(self):
        """What became of each request so far."""
        return tuple(self._received)

    @property
    def counts(self):
        """Number of requests by verdict."""
        return Counter(one.verdict for one in self._received)

    def start(self):
        """Begin to ask."""
        for thread in self._threads:
            thread.start()

    def stop(self):
        """Finish the requests under way and return what was received."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()
        return self.received

    def _run(self):
        while not self._stopped.is_set():
            number = next(self._numbers)
            prompt = f"request {number} tokens={self._tokens} "
            prompt += "cake " * self._prompt_words
            client = self._pick()
            one = ask_once(client, prompt, self._tokens)
            self._received.append(one)
            if one.verdict is Verdict.REFUSED:
                self._stopped.wait(REFUSAL_PAUSE_S)


def ask_once(client, prompt, tokens):
    """Stream one completion and compare it with what it must be."""
    try:
        stream = client.open_stream(prompt, max_tokens=tokens)
    except HarnessError as exc:
        return _received(Verdict.REFUSED, client, prompt, str(exc))
    except urllib3.exceptions.HTTPError as exc:
        return _received(Verdict.CUT_OFF, client, prompt, str(exc))
    try:
        found = stream.read()
    except HarnessError as exc:
        return _received(Verdict.CUT_OFF, client, prompt, str(exc))
    if found.text == expected_output(prompt, tokens) and found.done:
        return _received(Verdict.WHOLE, client, prompt, "")
    whole = expected_output(prompt, tokens).startswith(found.text)
    verdict = Verdict.CUT_OFF if whole else Verdict.WRONG
    detail = f"{len(found.text)} characters: {found.text[-40:]!r}"
    return _received(verdict, client, prompt, detail)


def _received(verdict, client, prompt, detail):
    return Received(
        verdict=verdict,
        address=client.address,
        prompt=prompt,
        detail=detail,
    )
