"""Finds out whether the engine of a silent stream has ended."""

import asyncio

import structlog

from currantdeal.node.errors import ExchangeError
from currantdeal.node.exchange import exchange
from currantdeal.policy.health.lost_engines import (
    Corroboration,
    LostEngines,
    ProbeResult,
    should_probe,
)

PROBE_TIMEOUT_S = 0.3
"""Time to answer a health check, including a new connection."""

MAX_PROBE_DELAY_S = 0.2
"""Delay of the end of a probe beyond which this process stood still."""

_log = structlog.get_logger(__name__)


class EngineWatch:
    """Probes the engines of silent streams, for all streams of an entry.

    Parameters
    ----------
    view : EntryView
        Upstreams as they are announced.
    pool : ConnectionPool
        Connections to upstreams.
    dialect : currantdeal.node.dialect.UpstreamDialect
        Format of health checks.
    read_response : callable
        Decodes an upstream's answer and applies what it says of itself.
    load : EntryLoad
        Engines that entries report as unreachable.
    """

    def __init__(self, *, view, pool, dialect, read_response, load):
        """Start without findings."""
        self._view = view
        self._pool = pool
        self._dialect = dialect
        self._read_response = read_response
        self._load = load
        self._engines = LostEngines()
        self._probes = {}

    async def is_lost(self, record, *, silent_gaps):
        """Return whether the process of an engine has ended.

        Parameters
        ----------
        silent_gaps : int
            Gap targets for which a stream of the engine has been silent.
        """
        if self._view.is_restarted(record):
            return True
        process = (record.upstream, record.started_ms)
        if self._engines.is_proved(process):
            return True
        is_reported = self._is_reported(record)
        if not should_probe(silent_gaps, is_reported=is_reported):
            return False
        await self._probe_once(record, process)
        corroboration = Corroboration(
            contact_s=self._pool.connector.links.contact_s(record.address),
            is_reported=self._is_reported(record),
            heartbeats_stopped=record.upstream in self._view.silent,
        )
        return self._engines.is_lost(process, corroboration, now_s=_now_s())

    async def answers(self, record):
        """Return whether an engine answers a health check now."""
        result = await self._check_health(record)
        return result is ProbeResult.ANSWERED

    def record_reached(self, record):
        """Record that an engine has answered."""
        self._engines.record_reached((record.upstream, record.started_ms))

    def _is_reported(self, record):
        return self._load.is_suspect(record.upstream, now_s=_now_s())

    async def _probe_once(self, record, process):
        """Probe an engine; the streams that wait for it share one probe."""
        probe = self._probes.get(process)
        if probe is None:
            probe = asyncio.ensure_future(self._probe(record, process))
            self._probes[process] = probe
            probe.add_done_callback(lambda _: self._probes.pop(process))
        await asyncio.shield(probe)

    async def _probe(self, record, process):
        result = await self._check_health(record)
        self._engines.record_probe(process, result, now_s=_now_s())
        if result is ProbeResult.REFUSED:
            # The second refusal in a row is the proof.
            again = await self._check_health(record)
            self._engines.record_probe(process, again, now_s=_now_s())
        if result is not ProbeResult.ANSWERED:
            _log.info(
                "engine-probe-failed",
                upstream=record.upstream,
                started=record.started_ms,
                found=result.value,
            )

    async def _check_health(self, record):
        path = self._view.health_path(record.service)
        if path is None:
            # The configuration no longer has this service.
            return ProbeResult.ANSWERED
        call = self._dialect.check_health(record.address, path)
        ends_s = _now_s() + PROBE_TIMEOUT_S
        try:
            head, _ = await exchange(
                self._pool,
                record.address,
                call,
                timeout_s=PROBE_TIMEOUT_S,
                retryable=True,
            )
        except ExchangeError as exc:
            if exc.has_ended:
                return ProbeResult.REFUSED
            if _now_s() > ends_s + MAX_PROBE_DELAY_S:
                return ProbeResult.DELAYED
            return ProbeResult.UNANSWERED
        answered_by = self._read_response(record, head).answered_by
        if answered_by not in ("", record.upstream):
            return ProbeResult.REPLACED
        return ProbeResult.ANSWERED


def _now_s():
    return asyncio.get_running_loop().time()
