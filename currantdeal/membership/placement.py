"""Choice of the home of an upstream by rendezvous hashing.

Rendezvous hashing [1]_ covers the live instances of the upstream's data
centre.  Every instance computes the same choice from its own view, and the
loss of an instance moves only the homes on that instance.

References
----------

.. [1] D. Thaler, C. Ravishankar, "Using Name-Based Mappings to Increase Hit
   Rates", IEEE/ACM Transactions on Networking 6(1), 1998.
"""

import xxhash

from currantdeal.ports import MemberStatus


def home_candidates(upstream, members, draining):
    """Return the nearest instances that may be the home of an upstream.

    These are the instances in the upstream's data centre, or else in its
    region, or else all.  The home calls the engine and should be near, but a
    distant home is better than none.
    """
    alive = [
        member
        for member in members
        if member.status is MemberStatus.ALIVE
        and not member.draining
        and member.instance not in draining
    ]
    near = [m for m in alive if m.data_center == upstream.data_center]
    return near or [m for m in alive if m.region == upstream.region] or alive


def choose_home(upstream, members, draining=()):
    """Return the instance that should be the home, or None if there is none.

    Parameters
    ----------
    upstream : Upstream
        Upstream that needs a home.
    members : sequence of Member
        All known instances.
    draining : container of InstanceId
        Instances that the replicated state marks as draining.
    """
    candidates = home_candidates(upstream, members, draining)
    if not candidates:
        return None
    return max(
        candidates,
        key=lambda member: _hash_weight(upstream.upstream_id, member.instance),
    ).instance


def _hash_weight(upstream_id, instance):
    key = f"{upstream_id}\0{instance}".encode()
    return xxhash.xxh64_intdigest(key), instance
