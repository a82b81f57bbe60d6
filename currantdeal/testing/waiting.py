"""Waits until a condition holds, instead of for a fixed time."""

import asyncio
import time

from currantdeal.testing.errors import HarnessError

LIMIT_S = 30.0
POLL_S = 0.02


def wait_until(condition, *, what, limit_s=LIMIT_S):
    """Poll a condition and return its first truthy value.

    Parameters
    ----------
    condition : callable
        Called without arguments at each poll.
    what : str
        Name of the awaited thing in the error message.
    limit_s : float
        Timeout, in seconds.

    Raises
    ------
    HarnessError
        If the condition does not hold within the timeout.

    Examples
    --------
    >>> from currantdeal.testing.waiting import wait_until
    >>> wait_until(lambda: "ready", what="an example")
    'ready'
    """
    end_s = time.monotonic() + limit_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() >= end_s:
            raise HarnessError(f"no {what} within {limit_s} s: {value!r}")
        time.sleep(POLL_S)


async def eventually(condition, *, what, limit_s=LIMIT_S):
    """Wait in an event loop until a condition holds.

    Takes the parameters of ``wait_until``.

    Raises
    ------
    HarnessError
        If the condition does not hold within the timeout.
    """
    loop = asyncio.get_running_loop()
    end_s = loop.time() + limit_s
    while not condition():
        if loop.time() >= end_s:
            raise HarnessError(f"no {what} within {limit_s} s")
        await asyncio.sleep(POLL_S)
