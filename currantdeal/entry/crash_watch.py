"""Finding out whether an upstream crashed under the requests that it ran."""

import asyncio

import structlog

from currantdeal.entry.fingerprint import shown
from currantdeal.node.errors import ConnectError, ConnectRefusedError

_log = structlog.get_logger(__name__)


class CrashWatch:
    """Looks into runs that were lost with their connections.

    A connection that ends early may have been reset on its way, or closed by a
    faulty upstream.  Only a process that has ended refuses a new connection.

    Parameters
    ----------
    pool : ConnectionPool
        Opens connections to upstreams.
    metrics : currantdeal.ports.MetricsPort
        Counts lost runs.
    in_background : callable
        Runs a coroutine that outlives its request.
    """

    def __init__(self, *, pool, metrics, in_background):
        """Look into nothing yet."""
        self._pool = pool
        self._metrics = metrics
        self._in_background = in_background
        self._checks = {}

    def lost(self, active, record, moment, *, events=0):
        """Look into a run whose connection ended early.

        Parameters
        ----------
        active : ActiveRequest
            The request.
        record : currantdeal.registry.UpstreamRecord
            The upstream that ran it.
        moment : currantdeal.policy.reset_outcome.Moment
            How far the call had come.
        events : int
            Events of this run that were passed on.
        """
        self._in_background(self._look(active, record, moment, events))

    async def _look(self, active, record, moment, events):
        crashed = await self._has_ended(record)
        self._metrics.add("runs_lost_total", crashed=str(crashed).lower())
        _log.info(
            "run-lost",
            request=active.call.request_id,
            fingerprint=shown(active.fingerprint),
            sender=active.request.sender,
            upstream=record.upstream,
            started=record.started_ms,
            moment=moment.value,
            events=events,
            crashed=crashed,
        )

    async def _has_ended(self, record):
        """Return whether the process of an upstream has ended.

        One check serves all runs that a crash ended.
        """
        key = (record.upstream, record.started_ms)
        check = self._checks.get(key)
        if check is None:
            check = asyncio.ensure_future(self._refuses(record.address))
            self._checks[key] = check
            check.add_done_callback(lambda _: self._checks.pop(key))
        return await asyncio.shield(check)

    async def _refuses(self, address):
        try:
            connection = await self._pool.open(address)
        except ConnectRefusedError:
            return True
        except ConnectError:
            # It may be cut off; that it takes no connection is logged where
            # a request needs one.
            return False
        self._pool.put_back(connection)
        return False
