"""Detects what crashes upstreams and keeps it from being sent again.

Load pattern: query of death, see ``currantdeal.policy.crashes.registry``.
Crashes that this entry detects are published to all other processes, and the
records of the others are merged here.
"""

import asyncio
from functools import partial

import structlog

from currantdeal.entry.crash_probe import CrashProbe
from currantdeal.entry.errors import QuarantinedError
from currantdeal.entry.unfinished_runs import UnfinishedRun, UnfinishedRuns
from currantdeal.node.fingerprint import fingerprint_prefix
from currantdeal.node.suspect_log import SuspectLog
from currantdeal.policy.crashes.evidence import Crash
from currantdeal.policy.crashes.identity import IdentityKind, kind_of
from currantdeal.policy.crashes.recent_completions import RecentCompletions
from currantdeal.policy.crashes.records import SuspectRecord
from currantdeal.policy.crashes.registry import CrashRegistry
from currantdeal.policy.crashes.trials import Trials

MAX_REQUEST_ID = 64
"""Limit of the characters of a request's id that a crash record has."""

_log = structlog.get_logger(__name__)


class CrashWatch:
    """Detects and quarantines what crashes upstreams.

    A lost run counts if a ``CrashProbe`` confirms that its upstream has ended,
    or if another process reports that crash.

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
    random : random.Random
        Spreads the trials of the entries.

    Attributes
    ----------
    publish : callable
        Sends changed ``SuspectRecord`` to all other processes.
    on_ended : callable
        Called with the record of an upstream whose process has ended.
    """

    def __init__(self, *, view, pool, metrics, in_background, random):
        """Start without suspects."""
        self._view = view
        self._metrics = metrics
        self._in_background = in_background
        self._crash_registry = CrashRegistry()
        self._suspect_log = SuspectLog(
            log=_log, crash_registry=self._crash_registry
        )
        self._completions = RecentCompletions()
        self._unfinished = UnfinishedRuns()
        self._trials = Trials(random=random)
        self._probe = CrashProbe(
            view=view, pool=pool, on_ended=lambda r: self.on_ended(r)
        )
        self.on_ended = lambda record: None
        self.publish = lambda records: None

    @property
    def records(self):
        """All ``SuspectRecord``, to send to a new source."""
        return self._crash_registry.records

    @property
    def registry(self):
        """The ``CrashRegistry``, for metrics."""
        return self._crash_registry

    @property
    def quarantined(self):
        """Identities of the requests that are not to be run."""
        return self._crash_registry.quarantined

    def find_verdict(self, active):
        """Return the ``Verdict`` that refuses a request, or None."""
        if not self._crash_registry.has_verdicts:
            return None
        ready = self._view.ready(active.service.name)
        verdict = self._crash_registry.find_verdict(
            active.crash_identities, {record.software for record in ready}
        )
        if verdict is not None and self._is_on_trial(active, verdict):
            return None
        return verdict

    def admit(self, active):
        """Admit a request, unless it is quarantined.

        Raises
        ------
        QuarantinedError
            If it is, and it is not to be run as a trial either.
        """
        verdict = self.find_verdict(active)
        if verdict is None:
            return
        kind = verdict.kind.name.lower()
        if not self._begin_trial(active, verdict):
            self._metrics.add("quarantine_refusals_total", kind=kind)
            raise QuarantinedError(verdict)
        self._metrics.add("quarantine_trials_total", kind=kind)
        _log.info(
            "quarantine-trial",
            request=active.call.request_id,
            members=sorted(map(fingerprint_prefix, verdict.members)),
        )

    def is_quarantined(self, active):
        """Return whether a request is not to be run."""
        return self.find_verdict(active) is not None

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
        last = active.lost_incarnations[-1]
        return all(
            self._crash_registry.may_repeat(identity, without=last)
            for identity in active.crash_identities
        )

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
        phase : currantdeal.policy.answers.reset_outcome.ExchangePhase
            How far the call had come.
        events : int
            Events of this run that were forwarded.
        """
        crash = _crash_of(active, record, events)
        active.lost_incarnations.append(crash.incarnation)
        counted = self._counted(crash)
        self._in_background(
            self._check_lost_run(active, record, phase, events, counted)
        )

    def record_unfinished(self, active, record, *, events=0):
        """Record a run that ended early while its upstream seemed to run.

        It counts if a crash of the upstream becomes known soon.

        Parameters
        ----------
        active, record, events
            See ``check_lost_run``.
        """
        crash = self._counted(_crash_of(active, record, events))
        if crash is not None:
            self._add_unfinished(active, crash)

    def check_unknown_end(
        self, active, record, phase, *, events=0, succeeded=True
    ):
        """Check whether an upstream ended with an answer that it closed.

        An answer with neither a length nor chunks ends in the same way if its
        upstream crashes.  The check runs in the background; if the upstream
        still runs, the answer counts as complete.

        Parameters
        ----------
        active, record, phase, events
            See ``check_lost_run``.
        succeeded : bool
            See ``record_completion``.
        """
        crash = self._counted(_crash_of(active, record, events))
        self._in_background(
            self._check_unknown_end(
                active, record, (phase, events, crash), succeeded
            )
        )

    def record_completion(self, active, record, *, succeeded=True):
        """Clear a request that an upstream has answered in full.

        Parameters
        ----------
        succeeded : bool
            False if it answered with an error, which clears the request but
            no part of its prompt.
        """
        registry = self._crash_registry
        identities = active.crash_identities if succeeded else ()
        parts = [i for i in identities if _is_part(i)]
        self._completions.add(parts, record.software)
        if not registry:
            return
        if registry.is_suspect(active.fingerprint):
            self._log_and_publish(registry.add_completion(active.fingerprint))
        for identity in parts:
            if registry.is_suspect(identity) or not registry.is_sound(
                identity, record.software
            ):
                self._log_and_publish(
                    registry.add_completion(identity, software=record.software)
                )

    def merge(self, records):
        """Merge ``SuspectRecord`` of other processes."""
        self._apply(self._crash_registry.merge(records))

    def _counted(self, crash):
        """Return a crash; None if its upstream drains and was to end."""
        return crash if self._view.accepts_work(crash.upstream) else None

    async def _check_lost_run(self, active, record, phase, events, crash):
        crashed = await self._probe.has_ended(record)
        self._record_lost_run(active, record, phase, events, crashed)
        if crash is None:
            return
        if crashed:
            self._add_crash(active.crash_identities, crash)
            return
        self._add_unfinished(active, crash)
        if await self._probe.is_restarted(record):
            self._confirm(crash.incarnation)

    async def _check_unknown_end(self, active, record, loss, succeeded):
        phase, events, crash = loss
        crashed = await self._probe.has_ended(record)
        if crashed or await self._probe.is_restarted(record):
            self._record_lost_run(active, record, phase, events, True)
            if crash is not None:
                self._add_crash(active.crash_identities, crash)
            return
        self.record_completion(active, record, succeeded=succeeded)

    def _add_unfinished(self, active, crash):
        run = UnfinishedRun(
            identities=active.crash_identities,
            crash=crash,
            ended_s=asyncio.get_running_loop().time(),
        )
        if not self._unfinished.add(run):
            self._add_crash(run.identities, crash)

    def _begin_trial(self, active, verdict):
        if verdict.kind is IdentityKind.REQUEST:
            return False
        others = set(active.crash_identities) - verdict.members
        is_due = partial(
            self._trials.is_due,
            verdict.members,
            crashes=len(verdict.incarnations),
            entries=self._view.entries,
            now_s=asyncio.get_running_loop().time(),
        )
        registry = self._crash_registry
        decides = not registry.has_unsound(others) and (
            is_due(contested=True) and registry.is_contested(verdict)
        )
        if decides or is_due(contested=False):
            active.trial = verdict.members
            return True
        return False

    def _is_on_trial(self, active, verdict):
        """Return whether a request is run as a trial, and lost no run yet."""
        return active.trial == verdict.members and not active.lost_incarnations

    def _add_crash(self, identities, crash):
        changed = self._merge_crash(identities, crash)
        self._apply(changed)
        if changed:
            self.publish(changed)

    def _merge_crash(self, identities, crash):
        return self._crash_registry.merge(
            SuspectRecord(
                fingerprint=identity,
                crashes=(crash,),
                sound_on=self._known_sound_on(identity, crash.software),
            )
            for identity in identities
        )

    def _known_sound_on(self, identity, software):
        known = self._completions.has(identity, software)
        return (software,) if known else ()

    def _apply(self, changed):
        """Log what has changed, and add what this entry knows of it."""
        self._suspect_log.log_changes(changed)
        incarnations = {c.incarnation for r in changed for c in r.crashes}
        for incarnation in incarnations:
            self._confirm(incarnation)
        self._vouch(changed)

    def _confirm(self, incarnation):
        """Add the crash of an incarnation for the runs that it had here."""
        now_s = asyncio.get_running_loop().time()
        for run in self._unfinished.record_crash(incarnation, now_s=now_s):
            self._add_crash(run.identities, run.crash)

    def _vouch(self, changed):
        """Publish for which parts of changed records completions are known."""
        vouched = [
            SuspectRecord(
                fingerprint=record.fingerprint, sound_on=(crash.software,)
            )
            for record in changed
            for crash in record.crashes
            if self._completions.has(record.fingerprint, crash.software)
            and not self._crash_registry.is_sound(
                record.fingerprint, crash.software
            )
        ]
        if vouched:
            self._log_and_publish(self._crash_registry.merge(vouched))

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


def _crash_of(active, record, events):
    return Crash(
        upstream=record.upstream,
        started_ms=record.started_ms,
        early=not events,
        software=record.software,
        request_id=active.call.request_id[:MAX_REQUEST_ID],
    )


def _is_part(identity):
    return kind_of(identity) is not IdentityKind.REQUEST
