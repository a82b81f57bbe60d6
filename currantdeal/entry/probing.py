"""Health checks of ejected upstreams.

An ejected upstream stays out until it answers a health check, so that no
request of a caller is lost to find out.  The answer also tells whether another
process has taken the address, whose reservations are granted and then refused.
"""

import asyncio

import structlog

from currantdeal.node.connection_pool import exchange
from currantdeal.node.errors import ExchangeError

PROBE_TIMEOUT_S = 0.3
"""Time to answer a health check, including a new connection."""

FIRST_PROBE_S = 0.05
"""Pause before the first health check.

An upstream that merely lost a connection or an answer is back at once.
"""

_log = structlog.get_logger(__name__)


class Prober:
    """Ejects upstreams until they answer a health check.

    Parameters
    ----------
    view : EntryView
        Tells which upstreams take work, and how to check their health.
    pool : ConnectionPool
        Connections to them.
    dialect : currantdeal.node.dialect.UpstreamDialect
        Format of health checks.
    in_background : callable
        Runs a coroutine that outlives its request.
    """

    def __init__(self, *, view, pool, dialect, in_background):
        """Watch nobody yet."""
        self._view = view
        self._pool = pool
        self._dialect = dialect
        self._in_background = in_background
        self._watched = set()

    def eject(self, record, standings):
        """Eject an upstream until it answers a health check.

        Parameters
        ----------
        standings : Standings
            Those in which it is out.
        """
        now_s = asyncio.get_running_loop().time()
        pause_s = standings.unreachable(
            record.upstream, now_s=now_s, grace_s=PROBE_TIMEOUT_S
        )
        key = (record.upstream, standings)
        if key not in self._watched:
            self._watched.add(key)
            _log.info("upstream-out", upstream=record.upstream, pause=pause_s)
            self._in_background(self._watch(record, standings))

    async def _watch(self, record, standings):
        name = record.upstream
        pause_s = FIRST_PROBE_S
        try:
            while True:
                await asyncio.sleep(pause_s)
                now_s = asyncio.get_running_loop().time()
                if not self._view.takes_work(name):
                    return
                if not standings.is_out(name, now_s=now_s):
                    return
                if await self._answers(record):
                    standings.reachable(name)
                    _log.info("upstream-back", upstream=name)
                    return
                pause_s = standings.unreachable(
                    name,
                    now_s=asyncio.get_running_loop().time(),
                    grace_s=PROBE_TIMEOUT_S,
                )
        finally:
            self._watched.discard((name, standings))

    async def _answers(self, record):
        path = self._view.health_path(record.service)
        if path is None:
            # No route leads to the service any more.
            return False
        call = self._dialect.check_health(record.address, path)
        try:
            head, _ = await exchange(
                self._pool,
                record.address,
                call,
                timeout_s=PROBE_TIMEOUT_S,
                harmless=True,
            )
        except ExchangeError:
            # Its pause grows; the change of belief was logged by who found
            # it unreachable.
            return False
        traits = self._dialect.read_reply(head)
        self._view.note_answer(record, traits.answered_by)
        return True
