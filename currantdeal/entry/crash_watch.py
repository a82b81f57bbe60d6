"""Detects requests that crash upstreams and keeps them from being sent again.

Load pattern: query of death, see ``currantdeal.policy.crash_registry``.
Crashes that this entry detects are published to all other processes, and the
records of the others are merged here.
"""

import asyncio

import structlog

from currantdeal.node.errors import ConnectError, ConnectRefusedError
from currantdeal.node.fingerprint import fingerprint_prefix
from currantdeal.node.suspect_log import SuspectLog
from currantdeal.policy.crash_registry import (
    EARLY_WEIGHT,
    Crash,
    CrashRegistry,
)

_log = structlog.get_logger(__name__)


class CrashWatch:
    """Detects and quarantines requests that crash upstreams.

    A connection that ends early may have been reset by the network, or closed
    by a faulty upstream.  Only a process that has ended refuses a new
    connection, so one is opened to confirm a crash.

    Parameters
    ----------
    view : EntryView
        Upstreams; one that is draining is expected to end.
    pool : ConnectionPool
        Opens connections to upstreams.
    metrics : currantdeal.ports.MetricsPort
        Counts lost runs.
    in_background : callable
        Runs a coroutine that outlives its request.

    Attributes
    ----------
    publish : callable
        Sends each changed ``SuspectRecord`` to all other processes.
    """

    def __init__(self, *, view, pool, metrics, in_background):
        """Start without suspect requests."""
        self._view = view
        self._pool = pool
        self._metrics = metrics
        self._in_background = in_background
        self._crash_registry = CrashRegistry()
        self._suspect_log = SuspectLog(
            log=_log, crash_registry=self._crash_registry
        )
        self._checks = {}
        self.publish = lambda records: None

    @property
    def records(self):
        """All ``SuspectRecord``, to send to a new source."""
        return self._crash_registry.records

    @property
    def quarantined(self):
        """Fingerprints of the requests that are not to be run."""
        return self._crash_registry.quarantined

    def is_quarantined(self, active):
        """Return whether a request is not to be run."""
        if not self._crash_registry or not self._crash_registry.is_quarantined(
            active.fingerprint
        ):
            return False
        ready = self._view.ready(active.service.name)
        software = {record.software for record in ready}
        return not self._crash_registry.may_run(active.fingerprint, software)

    def may_send(self, active):
        """Return whether a request may be sent to an upstream.

        After a lost run the request may run once more if no other crash
        counts against it: most upstreams end for reasons unrelated to the
        request.
        """
        if self.is_quarantined(active):
            return False
        if not active.lost_incarnations:
            return True
        score = self._crash_registry.score(
            active.fingerprint, without=active.lost_incarnations[-1]
        )
        return score < EARLY_WEIGHT

    def check_lost_run(self, active, record, phase, *, events=0):
        """Check whether a lost run ended with a crash of its upstream.

        The check runs in the background.  If the upstream was draining, its
        end does not count against the request.

        Parameters
        ----------
        active : ActiveRequest
            The request.
        record : currantdeal.registry.UpstreamRecord
            The upstream that ran it.
        phase : currantdeal.policy.reset_outcome.ExchangePhase
            How far the call had come.
        events : int
            Events of this run that were forwarded.
        """
        crash = _crash_of(record, events)
        active.lost_incarnations.append(crash.incarnation)
        self._in_background(
            self._check_lost_run(
                active, record, phase, events, self._counted(crash)
            )
        )

    def check_unknown_end(self, active, record, phase, *, events=0):
        """Check whether an upstream ended with an answer that it closed.

        An answer with neither a length nor chunks ends in the same way if its
        upstream crashes.  The check runs in the background; if the upstream
        still runs, the answer counts as complete.

        Parameters
        ----------
        active, record, phase, events
            See ``check_lost_run``.
        """
        crash = self._counted(_crash_of(record, events))
        self._in_background(
            self._check_unknown_end(active, record, phase, events, crash)
        )

    def record_completion(self, active):
        """Clear a request that an upstream has answered in full."""
        if self._crash_registry and self._crash_registry.is_suspect(
            active.fingerprint
        ):
            self._log_and_publish(
                self._crash_registry.add_completion(active.fingerprint)
            )

    def merge(self, records):
        """Merge ``SuspectRecord`` of other processes."""
        self._suspect_log.log_changes(self._crash_registry.merge(records))

    def _counted(self, crash):
        """Return a crash; None if its upstream drains and was to end."""
        return crash if self._view.accepts_work(crash.upstream) else None

    async def _check_lost_run(self, active, record, phase, events, crash):
        crashed = await self._has_ended(record)
        self._record_lost_run(active, record, phase, events, crashed)
        if crashed and crash is not None:
            self._add_crash(active, crash)

    async def _check_unknown_end(self, active, record, phase, events, crash):
        if not await self._has_ended(record):
            self.record_completion(active)
            return
        self._record_lost_run(active, record, phase, events, True)
        if crash is not None:
            self._add_crash(active, crash)

    def _add_crash(self, active, crash):
        self._log_and_publish(
            self._crash_registry.add_crash(active.fingerprint, crash)
        )

    def _record_lost_run(self, active, record, phase, events, crashed):
        self._metrics.add("runs_lost_total", crashed=str(crashed).lower())
        _log.info(
            "run-lost",
            request=active.call.request_id,
            fingerprint=fingerprint_prefix(active.fingerprint),
            parts=[fingerprint_prefix(p) for p in active.part_fingerprints],
            sender=active.request.sender,
            upstream=record.upstream,
            started=record.started_ms,
            moment=phase.value,
            events=events,
            crashed=crashed,
        )

    def _log_and_publish(self, changed):
        self._suspect_log.log_changes(changed)
        if changed:
            self.publish(changed)

    async def _has_ended(self, record):
        """Return whether the process of an upstream has ended.

        All runs that a crash ended share one check.
        """
        key = (record.upstream, record.started_ms)
        check = self._checks.get(key)
        if check is None:
            check = asyncio.ensure_future(
                self._refuses_connections(record.address)
            )
            self._checks[key] = check
            check.add_done_callback(lambda _: self._checks.pop(key))
        return await asyncio.shield(check)

    async def _refuses_connections(self, address):
        try:
            connection = await self._pool.open(address)
        except ConnectRefusedError:
            return True
        except ConnectError:
            # It may only be partitioned from here.  Failed connections are
            # logged where a request needs one.
            return False
        self._pool.release(connection)
        return False


def _crash_of(record, events):
    return Crash(
        upstream=record.upstream,
        started_ms=record.started_ms,
        early=not events,
        software=record.software,
    )
