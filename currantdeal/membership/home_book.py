"""All upstreams whose home is this instance, and the entries they serve.

Pure: messages and time go in, and what has to be cancelled on engines comes
out.  An entry renews all its grants with one heartbeat; when it is silent
beyond the lease, or has restarted, everything it held is cancelled.
"""

from dataclasses import dataclass, replace

from currantdeal.core import InstanceId, RequestId, UpstreamId
from currantdeal.membership.grants import digest_of
from currantdeal.membership.home import Phase, UpstreamHome
from currantdeal.membership.home_messages import (
    HeldKey,
    HomeRefusal,
    SyncAnswer,
)
from currantdeal.membership.load_wire import decode_loads, encode_loads

UNLISTED_AGE_S = 1.0
"""Age at which a grant that its entry does not list counts as released.

A younger one may have been granted after the entry wrote its list.
"""


@dataclass(frozen=True, kw_only=True)
class Cancel:
    """A request that has to be cancelled on an engine."""

    upstream_id: UpstreamId
    request_id: RequestId


@dataclass(frozen=True, kw_only=True)
class Silence:
    """An upstream that has not renewed for too long."""

    upstream_id: UpstreamId
    incarnation: int


@dataclass(frozen=True, kw_only=True)
class _Entry:
    process: int
    beat_s: float
    differed: bool = False


@dataclass(frozen=True, kw_only=True)
class BookLimits:
    """Silences in seconds after which others are given up.

    Parameters
    ----------
    entry_silence_s : float
        Of an entry; everything it held is cancelled.
    upstream_silence_s : float
        Of an upstream; it is retired.
    pause_s : float
        Of this process itself, after which it judges nobody by the silence
        it did not listen to.
    """

    entry_silence_s: float = 2.0
    upstream_silence_s: float = 2.5
    pause_s: float = 1.0


class HomeBook:
    """Homes of this instance.

    Parameters
    ----------
    instance : InstanceId
        This instance.
    output_gap_s : float
        Longest time between outputs that decoding should keep, in seconds.
    limits : BookLimits
        When others are given up.
    now_s : float
        Monotonic time, in seconds.
    """

    def __init__(self, *, instance, output_gap_s, limits, now_s):
        """Start without homes."""
        self._instance = InstanceId(instance)
        self._output_gap_s = output_gap_s
        self._limits = limits
        self._homes = {}
        self._entries = {}
        self._load_number = 0
        self._load_numbers = {}
        self._checked_s = now_s

    @property
    def fences(self):
        """Fencing numbers of the homes that are kept, by upstream.

        One that is being given away is left out: if the other instance does
        not become home, it is taken again under a new fencing number, so
        that a late commit of the move changes nothing.
        """
        return {
            name: home.fence
            for name, home in self._homes.items()
            if home.phase is not Phase.GIVEN
        }

    def homes(self, phase=None):
        """Return the homes, or only those of one phase."""
        return tuple(
            home
            for home in self._homes.values()
            if phase is None or home.phase is phase
        )

    def get(self, upstream_id, fence=None):
        """Return one home, or None if it is not here or of that fence."""
        home = self._homes.get(upstream_id)
        if home is not None and fence not in (None, home.fence):
            return None
        return home

    def take(self, upstream, fence, now_s):
        """Become home of an upstream."""
        home = UpstreamHome(
            upstream=upstream,
            fence=fence,
            instance=self._instance,
            output_gap_s=self._output_gap_s,
            now_s=now_s,
        )
        self._homes[upstream.upstream_id] = home
        return home

    def follow(self, state, now_s):
        """Drop homes that others have taken, and take in announcements."""
        for name, home in list(self._homes.items()):
            agreed = state.homes.get(name)
            if agreed is None or agreed.fence != home.fence:
                if agreed is None or agreed.fence > home.fence:
                    del self._homes[name]
                continue
            home.follow(state.upstreams[name], now_s)

    def reserve(self, call, now_s):
        """Return a ``Grant`` or a ``HomeRefusal``, and what to cancel."""
        home = self._homes.get(call.request.upstream_id)
        if home is None:
            return HomeRefusal(message="not the home", moving=True), ()
        if not self._is_latest(call.request.entry, call.process):
            return HomeRefusal(message="the entry has restarted"), ()
        cancels = self._meet(call.request.entry, call.process, now_s)
        return home.reserve(call.request, now_s), cancels

    def grow(self, call):
        """Return whether a grant was enlarged, and what to cancel."""
        home = self._homes.get(call.upstream_id)
        if home is None:
            return False, ()
        if home.grow(call.request_id, call.pieces):
            return True, ()
        victim = home.give_up_victim()
        if victim is None:
            return False, ()
        return False, (_cancel(call.upstream_id, victim),)

    def adopt(self, upstream_id, answer, now_s):
        """Take in what an entry claims of an upstream."""
        home = self._homes.get(upstream_id)
        if home is None:
            return
        if not self._is_latest(answer.entry, answer.process):
            return
        self._meet(answer.entry, answer.process, now_s)
        for claimed in answer.claimed:
            home.adopt(claimed, now_s)

    def sync(self, beat, now_s):
        """Return the answer to an entry's heartbeat, and what to cancel."""
        cancels = self._renew(beat, now_s)
        for key in beat.released:
            home = self._homes.get(key.upstream_id)
            if home is not None:
                home.release(key.request_id)
        for report in decode_loads(beat.reports):
            self.hear(report, now_s)
        lost = ()
        if beat.held is not None:
            lost = self._lost(beat)
            cancels += self._drop_unlisted(beat, now_s)
        answer = SyncAnswer(
            loads=encode_loads(self._loads_after(beat.loads_after)),
            loads_after=self._load_number,
            list_wanted=self._list_wanted(beat),
            lost=lost,
        )
        return answer, cancels

    def hear(self, report, now_s):
        """Take in an upstream's renewal."""
        home = self._homes.get(report.upstream_id)
        before = home.load if home else None
        if home is None or not home.hear(report, now_s) or report == before:
            return
        self._load_number += 1
        self._load_numbers[report.upstream_id] = self._load_number

    def excuse_if_paused(self, now_s, *, listening):
        """Judge nobody by a time in which this process did not listen.

        Parameters
        ----------
        listening : bool
            False while this instance holds no lease.  It cannot tell then
            whether others were silent or it was cut off itself; cancelling
            on that ground would cut off requests that are well.
        """
        paused = now_s - self._checked_s > self._limits.pause_s
        self._checked_s = now_s
        if listening and not paused:
            return
        for name, entry in self._entries.items():
            self._entries[name] = replace(entry, beat_s=now_s)
        for home in self._homes.values():
            home.excuse(now_s)

    def silent_entries(self, now_s):
        """Drop entries that are silent; return what to cancel."""
        oldest_s = now_s - self._limits.entry_silence_s
        cancels = ()
        for name, entry in list(self._entries.items()):
            if entry.beat_s < oldest_s:
                del self._entries[name]
                cancels += self._drop_entry(name)
        return cancels

    def silent_upstreams(self, now_s):
        """Return the upstreams that are to be retired."""
        oldest_s = now_s - self._limits.upstream_silence_s
        return tuple(
            Silence(
                upstream_id=home.upstream.upstream_id,
                incarnation=home.upstream.incarnation,
            )
            for home in self.homes(Phase.OPEN)
            if home.heard_s < oldest_s
        )

    def _renew(self, beat, now_s):
        if not self._is_latest(beat.entry, beat.process):
            return ()
        cancels = self._meet(beat.entry, beat.process, now_s)
        known = self._entries[beat.entry]
        self._entries[beat.entry] = replace(known, beat_s=now_s)
        return cancels

    def _is_latest(self, entry, process):
        known = self._entries.get(entry)
        return known is None or known.process <= process

    def _meet(self, entry, process, now_s):
        known = self._entries.get(entry)
        if known is not None and known.process == process:
            return ()
        self._entries[entry] = _Entry(process=process, beat_s=now_s)
        # The entry has restarted; its former process, and with it the
        # callers' connections, are gone.
        return self._drop_entry(entry) if known is not None else ()

    def _list_wanted(self, beat):
        kept = digest_of(self._keys_of(beat.entry))
        differs = kept != beat.claims
        known = self._entries.get(beat.entry)
        if known is None:
            return False
        self._entries[beat.entry] = replace(known, differed=differs)
        # Reservations under way make the two differ for a moment.
        return differs and known.differed

    def _keys_of(self, entry):
        return [
            (home.upstream.upstream_id, grant.ask.request_id)
            for home in self._homes.values()
            for grant in home.grants
            if grant.ask.entry == entry
        ]

    def _lost(self, beat):
        kept = set(self._keys_of(beat.entry))
        return tuple(
            key
            for key in beat.held
            if (key.upstream_id, key.request_id) not in kept
            and self._is_open(key.upstream_id)
        )

    def _is_open(self, upstream_id):
        home = self._homes.get(upstream_id)
        return home is not None and home.phase is Phase.OPEN

    def _drop_unlisted(self, beat, now_s):
        listed = set(beat.held)
        cancels = ()
        for upstream_id, request_id in self._keys_of(beat.entry):
            key = HeldKey(upstream_id=upstream_id, request_id=request_id)
            home = self._homes[upstream_id]
            if key not in listed and home.granted_before(
                request_id, now_s - UNLISTED_AGE_S
            ):
                home.release(request_id)
                cancels += (_cancel(upstream_id, request_id),)
        return cancels

    def _drop_entry(self, entry):
        return tuple(
            _cancel(home.upstream.upstream_id, request_id)
            for home in self._homes.values()
            for request_id in home.drop_entry(entry)
        )

    def _loads_after(self, number):
        if number > self._load_number:
            # The entry counts by this instance's former process.
            number = 0
        return tuple(
            self._homes[name].load
            for name, changed in self._load_numbers.items()
            if changed > number
            and name in self._homes
            and self._homes[name].load is not None
        )


def _cancel(upstream_id, request_id):
    return Cancel(upstream_id=upstream_id, request_id=request_id)
