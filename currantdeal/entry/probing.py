"""Probes ejected upstreams with health checks.

An ejected upstream stays ejected until it answers a health check, so that no
caller's request is lost as a probe.  The answer also shows whether another
process has taken over the address: that process grants reservations and then
refuses the requests for which they were made.
"""

import asyncio

import structlog

from currantdeal.node.errors import ExchangeError
from currantdeal.node.exchange import exchange

PROBE_TIMEOUT_S = 0.3
"""Time to answer a health check, including a new connection."""

FIRST_PROBE_S = 0.05
"""Pause before the first health check.

It is short, so that an upstream that only lost a connection or an answer is
used again at once.
"""

_log = structlog.get_logger(__name__)


class Prober:
    """Ejects upstreams until they answer a health check.

    Parameters
    ----------
    view : EntryView
        Upstreams that accept work, and their health check paths.
    pool : ConnectionPool
        Connections to upstreams.
    dialect : currantdeal.node.dialect.UpstreamDialect
        Format of health checks.
    read_response : callable
        Decodes an upstream's answer and applies what it says of itself.
    in_background : callable
        Runs a coroutine that outlives its request.
    """

    def __init__(self, *, view, pool, dialect, read_response, in_background):
        """Start without ejected upstreams."""
        self._view = view
        self._pool = pool
        self._dialect = dialect
        self._read_response = read_response
        self._in_background = in_background
        self._probed = set()

    def eject(self, record, health, *, is_malformed=False, **evidence):
        """Eject an upstream until it answers a health check.

        Parameters
        ----------
        health : UpstreamHealth
            The health records in which it is ejected.
        is_malformed : bool
            See ``UpstreamHealth.eject``.
        evidence : dict
            What decided it, for the log.
        """
        now_s = asyncio.get_running_loop().time()
        pause_s = health.eject(
            record.upstream,
            now_s=now_s,
            grace_s=PROBE_TIMEOUT_S,
            is_malformed=is_malformed,
        )
        key = (record.upstream, health)
        if key not in self._probed:
            self._probed.add(key)
            _log.info(
                "upstream-out",
                upstream=record.upstream,
                pause=pause_s,
                **evidence,
            )
            self._in_background(self._probe(record, health))

    async def _probe(self, record, health):
        name = record.upstream
        pause_s = FIRST_PROBE_S
        try:
            while True:
                await asyncio.sleep(pause_s)
                now_s = asyncio.get_running_loop().time()
                if not self._view.accepts_work(name):
                    return
                if not health.is_ejected(name, now_s=now_s):
                    # A request was answered, or the check of its link.
                    break
                before_s = health.ejected_until_s(name)
                if await self._answers_health_check(record):
                    health.readmit(name)
                    break
                if health.ejected_until_s(name) < before_s:
                    # It was reached on another way meanwhile.
                    break
                pause_s = health.eject(
                    name,
                    now_s=asyncio.get_running_loop().time(),
                    grace_s=PROBE_TIMEOUT_S,
                )
            _log.info("upstream-back", upstream=name)
        finally:
            self._probed.discard((name, health))

    async def _answers_health_check(self, record):
        path = self._view.health_path(record.service)
        if path is None:
            # The configuration no longer has this service.
            return False
        call = self._dialect.check_health(record.address, path)
        try:
            head, _ = await exchange(
                self._pool,
                record.address,
                call,
                timeout_s=PROBE_TIMEOUT_S,
                retryable=True,
            )
        except ExchangeError:
            # The backoff grows.  The failure was logged when the upstream
            # was ejected.
            return False
        self._read_response(record, head)
        return True
