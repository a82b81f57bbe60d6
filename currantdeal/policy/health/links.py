"""State of the links of one entry to upstreams.

Load pattern: gray failure by an asymmetric partition.  An entry that cannot
reach upstreams, while others can, observes what it would observe if these
upstreams had crashed.  Only the comparison of a direct check with one through
another entry, at the same time, tells the two apart.
"""

import math
from dataclasses import dataclass
from enum import Enum

NEVER_S = -math.inf

RECHECK_S = 0.5
"""Interval of the checks of a link that is doubted or cut."""

DOUBT_PAUSE_S = 1.0
"""Time after a check in which a link is not doubted again."""

BASE_HOLD_S = 2.5
"""Time between the first and the last of the answers that restore a link.

It is longer than the time for which a link that flaps stays up.
"""

MAX_HOLD_S = 10.0

CALM_S = 30.0
"""Time without a loss after which the hold time is the shortest again."""

COMPARE_S = 2.0
"""Interval of the comparisons of a link that is cut.

Its upstream may have ended meanwhile.
"""

RECENT_CONTACT_S = 0.5
"""Time after bytes of an upstream for which its open connections are taken to
be alive."""

FRESH_S = 3.0
"""Time for which a check shows that a link beside a cut one is sound."""

MAX_RECHECK_S = 4.0
"""Longest interval of checks while no other entry can tell."""

_MAX_DOUBLINGS = 10


class LinkState(str, Enum):
    """Whether an entry reaches an upstream by connections of its own.

    ``DOUBTED`` means that contact was lost and nobody was compared with yet.
    """

    SOUND = "sound"
    DOUBTED = "doubted"
    CUT = "cut"


class Reach(str, Enum):
    """What a check through other entries found.

    ``UNKNOWN`` means that none of them could tell.
    """

    REACHED = "reached"
    NOT_REACHED = "not-reached"
    UNKNOWN = "unknown"


@dataclass(frozen=True, kw_only=True)
class CheckResult:
    """Result of one comparison.

    Parameters
    ----------
    direct : bool
        Whether the upstream answered on a connection of this entry.
    others : Reach
        What the check through other entries found; it matters only if the
        upstream did not answer directly.
    """

    direct: bool
    others: Reach = Reach.UNKNOWN


class _Link:
    def __init__(self):
        self.state = LinkState.SOUND
        self.contact_s = NEVER_S
        self.checked_s = NEVER_S
        self.compared_s = NEVER_S
        self.due_s = NEVER_S
        self.answered_s = None
        self.lost_s = NEVER_S
        self.losses = 0
        self.unknown = 0


class Links:
    """Links of an entry to upstreams, by their addresses.

    Examples
    --------
    >>> links = Links()
    >>> links.doubt("10.0.0.1:80", now_s=1.0)
    True
    >>> cut = CheckResult(direct=False, others=Reach.REACHED)
    >>> links.record_check("10.0.0.1:80", cut, now_s=1.5).value
    'cut'
    >>> back = CheckResult(direct=True)
    >>> links.record_check("10.0.0.1:80", back, now_s=9.0).value
    'cut'
    >>> links.record_check("10.0.0.1:80", back, now_s=12.0).value
    'sound'
    """

    def __init__(self):
        """Start with sound links."""
        self._links = {}
        self._unsound = set()
        self._last_contact_s = NEVER_S

    @property
    def known(self):
        """Number of links about which anything is known."""
        return len(self._links)

    @property
    def last_contact_s(self):
        """Time of the last bytes from any upstream; ``NEVER_S`` if none."""
        return self._last_contact_s

    @property
    def unsound(self):
        """Addresses whose links are doubted or cut."""
        return frozenset(self._unsound)

    @property
    def cut(self):
        """Addresses whose links are cut."""
        return frozenset(
            a for a in self._unsound if self._links[a].state is LinkState.CUT
        )

    def can_judge(self, address, *, now_s):
        """Return whether a failure to reach an upstream is evidence about it.

        It is while no link is cut, and another upstream was just heard of or
        no other link is doubted.
        """
        if self.cut:
            return False
        return self._unsound <= {address} or any(
            self.was_contacted(other, now_s=now_s)
            for other in self._links
            if other != address
        )

    def state(self, address):
        """Return the ``LinkState`` of a link."""
        link = self._links.get(address)
        return LinkState.SOUND if link is None else link.state

    def is_cut(self, address):
        """Return whether a link is cut."""
        return address in self._unsound and (
            self._links[address].state is LinkState.CUT
        )

    def is_returning(self, address):
        """Return whether a link that is cut answered its last check."""
        if not self.is_cut(address):
            return False
        return self._links[address].answered_s is not None

    def record_contact(self, address, *, now_s):
        """Record bytes from an upstream on a connection of this entry."""
        self._link(address).contact_s = now_s
        self._last_contact_s = now_s

    def contact_s(self, address):
        """Return the time of the last direct contact; ``NEVER_S`` if none."""
        link = self._links.get(address)
        return NEVER_S if link is None else link.contact_s

    def was_contacted(self, address, *, now_s):
        """Return whether bytes have come within ``RECENT_CONTACT_S``."""
        return now_s - self.contact_s(address) <= RECENT_CONTACT_S

    def doubt(self, address, *, now_s):
        """Record a loss of contact; returns whether the link needs a check.

        It needs none if it was checked a moment ago: an upstream that fails
        by itself loses contact with each request.
        """
        link = self._link(address)
        if link.state is not LinkState.SOUND:
            return False
        if now_s - link.checked_s < DOUBT_PAUSE_S:
            return False
        self._set(address, LinkState.DOUBTED)
        link.due_s = now_s
        return True

    def is_worth_check(self, address, *, now_s):
        """Return whether to check a sound link that is beside a cut one."""
        link = self._links.get(address)
        return link is None or (
            link.state is LinkState.SOUND
            and now_s - link.contact_s > RECENT_CONTACT_S
            and now_s - link.checked_s > FRESH_S
        )

    def due(self, *, now_s):
        """Return the addresses whose links are due for a check."""
        return [a for a in self._unsound if self._links[a].due_s <= now_s]

    def begin_check(self, address, *, now_s):
        """Record the start of a check, after which the next one is due.

        Checks of a doubted link become rarer while nobody can tell.
        """
        link = self._link(address)
        pause_s = RECHECK_S * 2.0 ** min(link.unknown, _MAX_DOUBLINGS)
        link.due_s = now_s + min(MAX_RECHECK_S, pause_s)

    def wants_comparison(self, address, *, now_s):
        """Return whether a check should ask other entries as well."""
        link = self._link(address)
        is_cut = link.state is LinkState.CUT
        return not is_cut or now_s - link.compared_s >= COMPARE_S

    def record_check(self, address, result, *, now_s):
        """Apply a ``CheckResult``; returns the ``LinkState``."""
        link = self._link(address)
        link.checked_s = now_s
        is_unknown = not result.direct and result.others is Reach.UNKNOWN
        if link.state is LinkState.DOUBTED and is_unknown:
            link.unknown += 1
            return link.state
        link.unknown = 0
        if result.others is not Reach.UNKNOWN:
            link.compared_s = now_s
        if result.direct:
            self._record_answer(address, link, now_s)
            return link.state
        link.answered_s = None
        if result.others is Reach.REACHED and not self.is_cut(address):
            self._record_loss(link, now_s)
            self._set(address, LinkState.CUT)
        if result.others is Reach.NOT_REACHED:
            # The upstream itself fails, for the others as well.
            self._set(address, LinkState.SOUND)
        return link.state

    def expedite(self, addresses, *, now_s):
        """Make unsound links due at once.

        One of them is back; the others are likely to be.
        """
        for address in addresses:
            if address in self._unsound:
                self._links[address].due_s = now_s

    def keep_only(self, addresses):
        """Forget all links but those to some addresses."""
        for address in tuple(self._links):
            if address not in addresses:
                del self._links[address]
                self._unsound.discard(address)

    def _record_answer(self, address, link, now_s):
        link.contact_s = now_s
        if link.state is not LinkState.CUT:
            self._set(address, LinkState.SOUND)
            return
        if link.answered_s is None:
            link.answered_s = now_s
        if now_s - link.answered_s >= self._hold_s(link):
            self._set(address, LinkState.SOUND)

    def _record_loss(self, link, now_s):
        is_calm = now_s - link.lost_s > CALM_S
        link.losses = 1 if is_calm else link.losses + 1
        link.lost_s = now_s

    def _hold_s(self, link):
        doublings = min(link.losses - 1, _MAX_DOUBLINGS)
        return min(MAX_HOLD_S, BASE_HOLD_S * 2.0**doublings)

    def _set(self, address, state):
        self._links[address].state = state
        if state is LinkState.SOUND:
            self._unsound.discard(address)
            self._links[address].answered_s = None
        else:
            self._unsound.add(address)

    def _link(self, address):
        return self._links.setdefault(address, _Link())
