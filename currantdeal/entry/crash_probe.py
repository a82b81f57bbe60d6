"""Finds out whether the process of an upstream has ended."""

import asyncio

from currantdeal.node.errors import ConnectError, ConnectRefusedError

RESTART_CHECKS_S = (0.5, 1.0, 1.5)
"""Pauses before each check whether an upstream was restarted."""


class CrashProbe:
    """Probes upstreams whose connections ended early.

    A connection that ends early may have been reset by the network, or closed
    by a faulty upstream.  Only a process that has ended refuses a new
    connection.  One that restarts at once accepts it, but its next incarnation
    is announced soon after.

    Parameters
    ----------
    view : EntryView
        Upstreams as they are announced.
    pool : ConnectionPool
        Opens connections to upstreams.
    on_ended : callable
        Called with the record of an upstream that refuses connections.
    """

    def __init__(self, *, view, pool, on_ended=lambda record: None):
        """Start without probes."""
        self._on_ended = on_ended
        self._view = view
        self._pool = pool
        self._checks = {}

    async def has_ended(self, record):
        """Return whether an upstream refuses connections.

        All runs that a crash ended share one check.
        """
        key = (record.upstream, record.started_ms)
        check = self._checks.get(key)
        if check is None:
            check = asyncio.ensure_future(self._refuses_connections(record))
            self._checks[key] = check
            check.add_done_callback(lambda _: self._checks.pop(key))
        return await asyncio.shield(check)

    async def is_restarted(self, record):
        """Return whether another process is announced in its place soon."""
        for pause_s in RESTART_CHECKS_S:
            await asyncio.sleep(pause_s)
            if self._view.is_restarted(record):
                return True
        return False

    async def _refuses_connections(self, record):
        try:
            connection = await self._pool.open(record.address)
        except ConnectRefusedError:
            self._on_ended(record)
            return True
        except ConnectError:
            # It may only be partitioned from here.  Failed connections are
            # logged where a request needs one.
            return False
        self._pool.release(connection)
        return False
