"""Replicates the records of crashes between control instances.

Load pattern: query of death, see ``currantdeal.policy.crashes.registry``.
Callers may retry such a request at any entry, so all entries must have its
record within seconds, also without a leader, during network partitions between
control instances, and after a control instance has lost its disk.  Records
can be merged in any order, so they need no leader: changes are forwarded at
once, and an entry or instance that connects, or that is reachable again after
a silence, receives all records.
"""

import structlog

from currantdeal.node.crash_messages import Quarantine
from currantdeal.node.fingerprint import fingerprint_prefix
from currantdeal.node.messages import CrashesNotice
from currantdeal.node.peers import HEARTBEAT_S
from currantdeal.node.suspect_log import SuspectLog
from currantdeal.policy.crashes.registry import CrashRegistry

SILENCE_TIMEOUT_S = 3 * HEARTBEAT_S
"""Silence of an instance after which it may have missed changes."""

REPEAT_PERIOD_S = SILENCE_TIMEOUT_S + HEARTBEAT_S
"""Time for which a changed record is sent again to the other instances.

A notice is lost if its connection breaks.  If the connection stays down for
longer than this, the instance counts as silent and gets all records
afterwards.
"""

_log = structlog.get_logger(__name__)


class CrashReplicator:
    """The crash records of one control instance.

    Parameters
    ----------
    exchange : RecordExchange
        Sends notices to the subscribers and the other instances.
    clock : callable
        Returns monotonic seconds.
    on_change : callable
        Called with all records when they have changed.
    """

    def __init__(self, *, exchange, clock, on_change=lambda records: None):
        """Start without any record."""
        self._exchange = exchange
        self._clock = clock
        self._on_change = on_change
        self._crash_registry = CrashRegistry()
        self._suspect_log = SuspectLog(
            log=_log, crash_registry=self._crash_registry
        )
        self._recent = {}
        self._last_heartbeat_s = {}

    @property
    def registry(self):
        """The ``CrashRegistry``, for metrics."""
        return self._crash_registry

    @property
    def quarantined(self):
        """Fingerprints of the requests that must not be run."""
        return self._crash_registry.quarantined

    @property
    def quarantines(self):
        """All ``Quarantine``, for operators."""
        return tuple(
            Quarantine(
                members=tuple(sorted(verdict.members)),
                crashes=self._crash_registry.crashes(min(verdict.members)),
            )
            for verdict in self._crash_registry.verdicts
        )

    def lift(self, members):
        """Clear the crashes of identities; returns whether any had some."""
        changed = []
        for identity in members:
            changed += self._crash_registry.add_completion(identity)
        _log.warning(
            "quarantine-lifted",
            members=[fingerprint_prefix(m) for m in members],
            lifted=bool(changed),
        )
        self._publish(changed)
        return bool(changed)

    def load(self, records):
        """Merge the records that were saved before a restart."""
        self._suspect_log.log_changes(self._crash_registry.merge(records))

    def receive(self, notice):
        """Merge the records of an entry or another instance and forward them.

        Changes go to the other instances even if one of them sent them: in a
        partial partition not every instance can reach every other one.
        """
        if notice.asked_by:
            all_records = CrashesNotice(records=self._crash_registry.records)
            self._exchange.notify_one(notice.asked_by, all_records)
        self._publish(self._crash_registry.merge(notice.records))

    def _publish(self, changed):
        """Send what has changed to the subscribers and other instances."""
        if not changed:
            return
        self._suspect_log.log_changes(changed)
        now_s = self._clock()
        for record in changed:
            self._recent[record.fingerprint] = now_s
        update = CrashesNotice(records=tuple(changed))
        self._exchange.publish(update)
        self._exchange.notify_others(update)
        self._on_change(self._crash_registry.records)

    def send_all(self, connection):
        """Send all records to an entry that has subscribed."""
        if self._crash_registry:
            connection.notify(
                CrashesNotice(records=self._crash_registry.records)
            )

    def on_heartbeat(self, sender):
        """Record a heartbeat of another instance.

        After a silence both sides may have missed changes, and an instance
        that has just started has received none.  So they exchange all
        records.
        """
        now_s = self._clock()
        previous_s = self._last_heartbeat_s.get(sender)
        self._last_heartbeat_s[sender] = now_s
        if previous_s is None or now_s - previous_s > SILENCE_TIMEOUT_S:
            notice = CrashesNotice(
                records=self._crash_registry.records,
                asked_by=self._exchange.local_id,
            )
            self._exchange.notify_one(sender, notice)

    def repeat_recent(self):
        """Send recently changed records again to the other instances."""
        now_s = self._clock()
        self._recent = {
            identity: at_s
            for identity, at_s in self._recent.items()
            if now_s - at_s <= REPEAT_PERIOD_S
        }
        if self._recent:
            records = tuple(map(self._crash_registry.record, self._recent))
            self._exchange.notify_others(CrashesNotice(records=records))
