"""Service discovery: choice of the entry addresses that callers use.

Load pattern: client-side load balancing.  Callers request the addresses, cache
the answer and connect directly, so there is no load balancer in front of the
entries.  Without an order by load, all callers of a region would connect to
the first address of the list.  Draining instances are left out, because a
planned stop would break the connections of their callers.
"""

from dataclasses import dataclass

from currantdeal.core import RegionId
from currantdeal.ports import MemberStatus

LOAD_BUCKET = 0.1
"""Width of the ranges within which loads are equal.

Load reports lag by about a second.  With a finer order, all callers would
connect to one instance until the next report arrives.
"""


@dataclass(frozen=True, kw_only=True)
class EntryAddress:
    """Address of an entry that callers may use."""

    address: str
    region: RegionId


@dataclass(frozen=True, kw_only=True)
class EntriesAnswer:
    """Answer of ``/v1/entries``.

    Parameters
    ----------
    entries : tuple of EntryAddress
        Entries in order of preference.
    keep_s : float
        Time for which callers may cache the answer, in seconds.
    """

    entries: tuple[EntryAddress, ...]
    keep_s: float


def choose_entries(members, *, region, draining, keep_s, rng):
    """Return the live entries that do not drain, in order of preference.

    Parameters
    ----------
    members : sequence of Member
        All known instances.
    region : RegionId
        Region of the instance that answers; its entries come first.
    draining : container of InstanceId
        Instances that the replicated state marks as draining.
    keep_s : float
        Time for which callers may cache the answer, in seconds.
    rng : random.Random
        Shuffles instances of equal load to distribute the callers.
    """
    usable = [
        member
        for member in members
        if member.status is MemberStatus.ALIVE
        and not member.draining
        and member.instance not in draining
    ]
    rng.shuffle(usable)
    usable.sort(key=lambda m: _sort_key(m, region))
    return EntriesAnswer(
        entries=tuple(
            EntryAddress(address=m.caller_address, region=m.region)
            for m in usable
        ),
        keep_s=keep_s,
    )


def _sort_key(member, region):
    return member.region != region, int(member.load / LOAD_BUCKET)
