"""Which addresses callers are told to use.

Load pattern: callers ask, keep the answer a while and connect on their own,
so nothing stands in front that could even out their load.  Without an order
by load, all callers of a region would go to the first address of the list;
without leaving out draining instances, a planned stop would cut callers off.
"""

from dataclasses import dataclass

from currantdeal.core import RegionId
from currantdeal.ports import MemberStatus

LOAD_BAND = 0.1
"""Loads closer together than this count as equal.

Load is known with a lag of about a second; a finer order would send every
caller to one instance until the next news arrives.
"""


@dataclass(frozen=True, kw_only=True)
class EntryAddress:
    """One address that callers may use."""

    address: str
    region: RegionId


@dataclass(frozen=True, kw_only=True)
class EntriesAnswer:
    """Answer of ``/v1/entries``; ``keep_s`` is how long it may be kept."""

    entries: tuple[EntryAddress, ...]
    keep_s: float


def choose_entries(members, *, region, draining, keep_s, rng):
    """Return the answer for a caller.

    Parameters
    ----------
    members : sequence of Member
        All known instances.
    region : RegionId
        Region of the instance that answers; its entries come first.
    draining : container of InstanceId
        Instances that drain by the replicated state.
    keep_s : float
        How long callers may keep the answer, in seconds.
    rng : random.Random
        Shuffles instances of equal load, so that callers spread.
    """
    usable = [
        member
        for member in members
        if member.status is MemberStatus.ALIVE
        and not member.draining
        and member.instance not in draining
    ]
    rng.shuffle(usable)
    usable.sort(key=lambda found: _order(found, region))
    return EntriesAnswer(
        entries=tuple(
            EntryAddress(address=found.caller_address, region=found.region)
            for found in usable
        ),
        keep_s=keep_s,
    )


def _order(member, region):
    return member.region != region, int(member.load / LOAD_BAND)
