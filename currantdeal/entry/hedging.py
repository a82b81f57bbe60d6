"""Hedged requests: asks the next upstream while a slow one is pending.

An unresponsive upstream does not refuse a request; it is silent until the
timeout.  With sequential requests, two such upstreams use up the whole time in
which an answer is useful, although others could serve the caller.  So the next
upstream is asked if one has not answered within a few times its usual latency.
The first grant is used, and later ones are released.
"""

import asyncio


class Hedge:
    """Requests to several upstreams of which one grant is needed.

    Parameters
    ----------
    delay_s : float
        Time without an answer after which an upstream counts as slow.
    release_grant : callable
        Releases a grant that is not needed.
    """

    def __init__(self, *, delay_s, release_grant):
        """Start without pending requests."""
        self._delay_s = delay_s
        self._release_grant = release_grant
        self._pending = {}

    def is_pending(self, upstream):
        """Return whether a request to an upstream is pending."""
        return upstream in self._pending.values()

    def start(self, upstream, work):
        """Send a request without waiting for it; see ``request``."""
        self._pending[asyncio.ensure_future(work)] = upstream

    async def request(self, upstream, work):
        """Send a request; returns the first grant of any pending one, or None.

        Returns None if the upstream refuses or is slow, and no other grants.

        Parameters
        ----------
        work : coroutine
            Sends the request; returns the grant, or None.
        """
        task = asyncio.ensure_future(work)
        self._pending[task] = upstream
        until_s = asyncio.get_running_loop().time() + self._delay_s
        while task in self._pending:
            left_s = until_s - asyncio.get_running_loop().time()
            if left_s <= 0.0:
                return None
            granted = await self.wait(left_s)
            if granted is not None:
                return granted
        return None

    async def wait(self, timeout_s):
        """Wait for pending requests; returns the first grant, or None."""
        if not self._pending:
            await asyncio.sleep(timeout_s)
            return None
        done, _ = await asyncio.wait(
            self._pending,
            timeout=timeout_s,
            return_when=asyncio.FIRST_COMPLETED,
        )
        granted = None
        for task in done:
            del self._pending[task]
            result = task.result()
            if granted is None:
                granted = result
            elif result is not None:
                self._release_grant(result)
        return granted

    async def drain(self):
        """Wait for all pending requests and release what they are granted."""
        for task in tuple(self._pending):
            granted = await task
            if granted is not None:
                self._release_grant(granted)
        self._pending.clear()
