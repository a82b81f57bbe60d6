"""Offers an open-loop load to a real cluster with stand-in engines.

Requests arrive at a rate that does not depend on the answers.
"""

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
        Requests a second that were offered, and answered within both targets.
    refused : float
        Share refused as "not run", with a time after which to retry.
    broken : float
        Share with any other outcome: another refusal, or a truncated or wrong
        answer.
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
class CallerResult:
    """The outcome of one request for its caller."""

    whole: bool
    refused: bool
    ttft_s: float = 0.0
    gap_s: float = 0.0

    @property
    def good(self):
        """True if the request was answered within both targets."""
        in_time = self.ttft_s <= TTFT_TARGET_S
        return self.whole and in_time and self.gap_s <= ITL_TARGET_S


def offer_load(addresses, *, load, per_s, seconds, rng):
    """Send requests at a mean rate and return the ``RealMeasures``.

    Parameters
    ----------
    per_s : float
        Requests a second at a load of 1.
    """
    results = []
    threads = []
    end_s = time.monotonic() + seconds
    next_s = time.monotonic()
    while next_s < end_s:
        time.sleep(max(0.0, next_s - time.monotonic()))
        client = CallerClient(address=rng.choice(addresses))
        prompt = _prompt(rng)
        thread = threading.Thread(
            target=lambda c=client, p=prompt: results.append(
                _send_request(c, p)
            ),
            daemon=True,
        )
        thread.start()
        threads.append(thread)
        next_s += rng.expovariate(load * per_s)
    for thread in threads:
        thread.join(JOIN_S)
    return _measures(load, seconds, len(threads), results)


def _send_request(client, prompt):
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
        return CallerResult(whole=False, refused="not-run" in str(exc))
    tokens = len(answer.text.split())
    gap_s = (time.monotonic() - first_s) / max(1, tokens - 1)
    return CallerResult(
        whole=answer.done and tokens == OUTPUT_TOKENS,
        refused=False,
        ttft_s=first_s - began_s,
        gap_s=gap_s,
    )


def _prompt(rng):
    head = f"{rng.getrandbits(64):016x} tokens={OUTPUT_TOKENS} "
    return head + "x" * (PROMPT_BYTES - len(head))


def _measures(load, seconds, offered, results):
    whole = [result for result in results if result.whole]
    good = sum(result.good for result in whole)
    refused = sum(result.refused for result in results)
    return RealMeasures(
        load=load,
        offered_per_s=offered / seconds,
        good_per_s=good / seconds,
        goodput=good / offered,
        ttft_p95_s=_p95([result.ttft_s for result in whole]),
        itl_p95_ms=1e3 * _p95([result.gap_s for result in whole]),
        refused=refused / offered,
        broken=(offered - len(whole) - refused) / offered,
    )


def _p95(values):
    ordered = sorted(values) or [0.0]
    return ordered[min(len(ordered) - 1, int(0.95 * len(ordered)))]


def seeded_rng(seed, load):
    """Return the random generator of one load, determined by the seed."""
    return random.Random(f"{seed} {load}")
