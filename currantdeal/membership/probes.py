"""Pending pings and their timeouts.

Load pattern: one ping per period, acknowledged within a round trip.  The
ping timeout bounds the number of pending pings, independent of the number
of instances.
"""

from dataclasses import dataclass, replace

from currantdeal.core import InstanceId


@dataclass(frozen=True, kw_only=True)
class SwimTiming:
    """Intervals and timeouts in seconds, and the fanout of ping requests.

    Parameters
    ----------
    probe_s : float
        Interval between pings.  A direct ping times out after 0.4 of it, a
        relayed ping after one and a probe after two intervals.
    suspicion_s : float
        Time that a suspected member has to refute the suspicion.
    rejoin_s : float
        Interval between attempts to rejoin: pings of members that were
        declared dead, or messages to the seeds without a reachable member.
    exchange_s : float
        Shortest interval between exchanges of the whole member table.
    exchange_per_member_s : float
        Interval between exchanges per member, where this is longer than
        ``exchange_s``.  It keeps the bytes per second independent of the
        number of members.
    dead_retention_s : float
        Time for which a dead member stays in the table.
    fanout : int
        Number of members that are requested to ping an unresponsive one,
        or that are notified of a planned stop.
    """

    probe_s: float = 0.5
    suspicion_s: float = 1.5
    rejoin_s: float = 1.0
    exchange_s: float = 5.0
    exchange_per_member_s: float = 0.2
    dead_retention_s: float = 86_400.0
    fanout: int = 3

    @property
    def direct_timeout_s(self):
        """Time after a direct ping at which indirect pings are requested."""
        return self.probe_s * 0.4


@dataclass(frozen=True, kw_only=True)
class Probe:
    """Pending probe of a member by this instance.

    Parameters
    ----------
    seq : int
        Sequence number of the ping.
    incarnation : int
        Incarnation of the target when it was pinged.  If the target has
        refuted a suspicion or restarted since then, a timeout of this probe
        does not make it suspected.
    indirect_at_s, expires_s : float
        Monotonic times at which indirect pings are requested, and at which
        the target is suspected.
    """

    seq: int
    target: InstanceId
    incarnation: int
    indirect_at_s: float
    expires_s: float


@dataclass(frozen=True, kw_only=True)
class Relay:
    """Pending ping on behalf of another member.

    The acknowledgement is forwarded to the requester under its sequence
    number.
    """

    requester: InstanceId
    seq: int
    expires_s: float


class ProbeTracker:
    """Pending probes of this instance and pings on behalf of others.

    Parameters
    ----------
    timing : SwimTiming
        Ping timeouts.
    """

    def __init__(self, *, timing):
        """Start without pending pings."""
        self._timing = timing
        self._seq = 0
        self._probes = {}
        self._relays = {}

    def next_seq(self):
        """Return the next sequence number."""
        self._seq += 1
        return self._seq

    def add_probe(self, target, now_s):
        """Record a ping of a member and return its sequence number."""
        seq = self.next_seq()
        self._probes[seq] = Probe(
            seq=seq,
            target=target.instance,
            incarnation=target.incarnation,
            indirect_at_s=now_s + self._timing.direct_timeout_s,
            expires_s=now_s + 2 * self._timing.probe_s,
        )
        return seq

    def add_relay(self, requester, requested_seq, now_s):
        """Record a ping on behalf of another member; return its number."""
        seq = self.next_seq()
        self._relays[seq] = Relay(
            requester=requester,
            seq=requested_seq,
            expires_s=now_s + self._timing.probe_s,
        )
        return seq

    def acknowledge(self, seq, subject):
        """Record an acknowledgement; return its relay, or None."""
        probe = self._probes.get(seq)
        if probe is not None and probe.target == subject:
            del self._probes[seq]
        return self._relays.pop(seq, None)

    def due_for_indirect(self, now_s):
        """Return the probes that need indirect pings now, each once."""
        due = [p for p in self._probes.values() if now_s >= p.indirect_at_s]
        for probe in due:
            requested = replace(probe, indirect_at_s=float("inf"))
            self._probes[probe.seq] = requested
        return due

    def expire(self, now_s):
        """Remove expired pings and return the probes among them."""
        expired = [p for p in self._probes.values() if now_s >= p.expires_s]
        for probe in expired:
            del self._probes[probe.seq]
        self._relays = {
            seq: relay
            for seq, relay in self._relays.items()
            if now_s < relay.expires_s
        }
        return expired

    def clear_probes(self):
        """Remove all probes; their acknowledgements may be unread."""
        self._probes = {}
