"""Which requests crash upstreams, as one entry finds out and is told.

Load pattern: query of death, see ``currantdeal.policy.crash_book``.
"""

import asyncio

import structlog

from currantdeal.node.errors import ConnectError, ConnectRefusedError
from currantdeal.node.fingerprint import shown
from currantdeal.node.suspect_log import SuspectLog
from currantdeal.policy.crash_book import EARLY_WEIGHT, Crash, CrashBook

_log = structlog.get_logger(__name__)


class CrashWatch:
    """Keeps requests that crash upstreams from being sent again.

    A connection that ends early may have been reset on its way, or closed by a
    faulty upstream.  Only a process that has ended refuses a new connection.

    Parameters
    ----------
    view : EntryView
        Tells which upstreams are to end anyway.
    pool : ConnectionPool
        Opens connections to upstreams.
    metrics : currantdeal.ports.MetricsPort
        Counts lost runs.
    in_background : callable
        Runs a coroutine that outlives its request.

    Attributes
    ----------
    tell : callable
        Tells all other processes of changed ``SuspectRecord``.
    """

    def __init__(self, *, view, pool, metrics, in_background):
        """Suspect nobody."""
        self._view = view
        self._pool = pool
        self._metrics = metrics
        self._in_background = in_background
        self._book = CrashBook()
        self._suspect_log = SuspectLog(log=_log, book=self._book)
        self._checks = {}
        self.tell = lambda records: None

    @property
    def records(self):
        """All ``SuspectRecord``, for a control instance that is followed."""
        return self._book.records

    @property
    def quarantined(self):
        """Fingerprints of the requests that are not to be run."""
        return self._book.quarantined

    def is_quarantined(self, active):
        """Return whether a request is not to be run."""
        if not self._book or not self._book.is_quarantined(active.fingerprint):
            return False
        ready = self._view.ready(active.service.name)
        software = {record.software for record in ready}
        return not self._book.may_run(active.fingerprint, software)

    def may_send(self, active):
        """Return whether an upstream may be sent a request.

        After a lost run one more is worth it if nothing else counts against
        the request: most upstreams end for reasons of their own.
        """
        if self.is_quarantined(active):
            return False
        if not active.lost:
            return True
        score = self._book.score(active.fingerprint, without=active.lost[-1])
        return score < EARLY_WEIGHT

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
        crash = Crash(
            upstream=record.upstream,
            started_ms=record.started_ms,
            early=not events,
            software=record.software,
        )
        active.lost.append(crash.incarnation)
        leaves = not self._view.takes_work(record.upstream)
        self._in_background(
            self._look(
                active, record, moment, events, None if leaves else crash
            )
        )

    def completed(self, active):
        """Clear a request that an upstream has answered in full."""
        if self._book and self._book.is_suspect(active.fingerprint):
            self._spread(self._book.add_completion(active.fingerprint))

    def take(self, records):
        """Take in what other processes know."""
        self._suspect_log.note(self._book.merge(records))

    async def _look(self, active, record, moment, events, crash):
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
        if crashed and crash is not None:
            self._spread(self._book.add_crash(active.fingerprint, crash))

    def _spread(self, changed):
        self._suspect_log.note(changed)
        if changed:
            self.tell(changed)

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
