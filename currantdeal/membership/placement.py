"""Which instance should be home of an upstream.

Rendezvous hashing [1]_ over the live instances of the upstream's data
center: every instance computes the same choice from its own view, and the
loss of one instance moves only the upstreams it was home of.

References
----------

.. [1] D. Thaler, C. Ravishankar, "Using Name-Based Mappings to Increase Hit
   Rates", IEEE/ACM Transactions on Networking 6(1), 1998.
"""

import xxhash

from currantdeal.ports import MemberStatus


def home_candidates(upstream, members, draining):
    """Return the instances that may be home, the nearest there are.

    Those of the upstream's data center, or else of its region, or else all:
    the home calls the engine, so it should be near, but any home is better
    than none.
    """
    live = [
        member
        for member in members
        if member.status is MemberStatus.ALIVE
        and not member.draining
        and member.instance not in draining
    ]
    near = [m for m in live if m.data_center == upstream.data_center]
    return near or [m for m in live if m.region == upstream.region] or live


def choose_home(upstream, members, draining=()):
    """Return the instance that should be home, or None if there is none.

    Parameters
    ----------
    upstream : Upstream
        Whose home is sought.
    members : sequence of Member
        All known instances.
    draining : container of InstanceId
        Instances that drain by the replicated state.
    """
    candidates = home_candidates(upstream, members, draining)
    if not candidates:
        return None
    return max(
        candidates,
        key=lambda found: _weight(upstream.upstream_id, found.instance),
    ).instance


def _weight(upstream_id, instance):
    key = f"{upstream_id}\0{instance}".encode()
    return xxhash.xxh64_intdigest(key), instance
