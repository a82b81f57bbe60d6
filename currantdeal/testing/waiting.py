"""Waiting on conditions instead of for fixed times."""

import asyncio
import time

from currantdeal.testing.errors import HarnessError

LIMIT_S = 30.0
POLL_S = 0.02


def wait_until(condition, *, what, limit_s=LIMIT_S):
    """Return the first truthy value of a condition.

    Parameters
    ----------
    condition : callable
        Asked again and again.
    what : str
        What is waited for, for the error.
    limit_s : float
        Longest wait, in seconds.

    Raises
    ------
    HarnessError
        When the limit is reached.

    Examples
    --------
    >>> from currantdeal.testing.waiting import wait_until
    >>> wait_until(lambda: "ready", what="an example")
    'ready'
    """
    end_s = time.monotonic() + limit_s
    while True:
        found = condition()
        if found:
            return found
        if time.monotonic() >= end_s:
            raise HarnessError(f"no {what} within {limit_s} s: {found!r}")
        time.sleep(POLL_S)


async def eventually(condition, *, what, limit_s=LIMIT_S):
    """Wait in an event loop until a condition holds.

    Raises
    ------
    HarnessError
        When the limit is reached.
    """
    loop = asyncio.get_running_loop()
    end_s = loop.time() + limit_s
    while not condition():
        if loop.time() >= end_s:
            raise HarnessError(f"no {what} within {limit_s} s")
        await asyncio.sleep(POLL_S)
