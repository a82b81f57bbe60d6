"""An open stream of requests against a real cluster of stand-ins."""

import random
import threading
import time
from dataclasses import dataclass

import urllib3

from currantdeal.testing.caller import CallerClient
from currantdeal.testing.errors import HarnessError

PROMPT_BYTES = 4_000
OUTPUT_TOKENS = 100
TTFT_TARGET_S = 2.0
ITL_TARGET_S = 0.04
JOIN_S = 60.0


@dataclass(frozen=True, kw_only=True)
class RealMeasures:
    """What callers received at one offered load.

    Parameters
    ----------
    offered_per_s, good_per_s : float
        Requests offered, and answered within both targets, each second.
    refused : float
        Share refused as not run, with a time to come back.
    broken : float
        Share with any other end: another refusal, a cut or wrong answer.
    """

    load: float
    offered_per_s: float
    good_per_s: float
    goodput: float
    ttft_p95_s: float
    itl_p95_ms: float
    refused: float
    broken: float


@dataclass(frozen=True, kw_only=True)
class Seen:
    """One request as its caller saw it."""

    whole: bool
    refused: bool
    ttft_s: float = 0.0
    gap_s: float = 0.0

    @property
    def good(self):
        """True when it was answered within both targets."""
        in_time = self.ttft_s <= TTFT_TARGET_S
        return self.whole and in_time and self.gap_s <= ITL_TARGET_S


def offer(addresses, *, load, per_s, seconds, rng):
    """Send requests at a rate and return the ``RealMeasures``.

    Parameters
    ----------
    per_s : float
        Requests a second that a load of 1 stands for.
    """
    seen = []
    threads = []
    end_s = time.monotonic() + seconds
    next_s = time.monotonic()
    while next_s < end_s:
        time.sleep(max(0.0, next_s - time.monotonic()))
        client = CallerClient(address=rng.choice(addresses))
        prompt = _prompt(rng)
        thread = threading.Thread(
            target=lambda c=client, p=prompt: seen.append(_ask(c, p)),
            daemon=True,
        )
        thread.start()
        threads.append(thread)
        next_s += rng.expovariate(load * per_s)
    for thread in threads:
        thread.join(JOIN_S)
    return _measures(load, seconds, len(threads), seen)


def _ask(client, prompt):
    began_s = time.monotonic()
    try:
        stream = client.open_stream(
            prompt,
            max_tokens=OUTPUT_TOKENS,
            headers={"X-Deadline-Ms": str(int(1_000 * TTFT_TARGET_S))},
        )
        stream.read_some(1)
        first_s = time.monotonic()
        answer = stream.read()
    except (HarnessError, urllib3.exceptions.HTTPError) as exc:
        return Seen(whole=False, refused="not-run" in str(exc))
    tokens = len(answer.text.split())
    gap_s = (time.monotonic() - first_s) / max(1, tokens - 1)
    return Seen(
        whole=answer.done and tokens == OUTPUT_TOKENS,
        refused=False,
        ttft_s=first_s - began_s,
        gap_s=gap_s,
    )


def _prompt(rng):
    head = f"{rng.getrandbits(64):016x} tokens={OUTPUT_TOKENS} "
    return head + "x" * (PROMPT_BYTES - len(head))


def _measures(load, seconds, offered, seen):
    whole = [one for one in seen if one.whole]
    good = sum(one.good for one in whole)
    refused = sum(one.refused for one in seen)
    return RealMeasures(
        load=load,
        offered_per_s=offered / seconds,
        good_per_s=good / seconds,
        goodput=good / offered,
        ttft_p95_s=_p95([one.ttft_s for one in whole]),
        itl_p95_ms=1e3 * _p95([one.gap_s for one in whole]),
        refused=refused / offered,
        broken=(offered - len(whole) - refused) / offered,
    )


def _p95(values):
    ordered = sorted(values) or [0.0]
    return ordered[min(len(ordered) - 1, int(0.95 * len(ordered)))]


def seeded(seed, load):
    """Return the chance of one load, the same for the same seed."""
    return random.Random(f"{seed} {load}")
