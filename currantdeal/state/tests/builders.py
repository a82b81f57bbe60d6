"""Builds commands and states for tests of the replicated state."""

import itertools

from currantdeal.core import (
    Label,
    RegionId,
    Role,
    Selector,
    Upstream,
    UpstreamKind,
)
from currantdeal.state import (
    AnnounceUpstream,
    ApplySelector,
    CallAnswer,
    ClaimCall,
    ClaimKey,
    ClusterState,
    FinishClaim,
    Origin,
    SetLabels,
    apply_command,
)

_numbers = itertools.count(1)
ANSWER = CallAnswer(status=200, content_type="text/plain", body=b"paid")


def origin(*, request_id=None, instance="i1", wall_s=0.0):
    """Return an origin, by default with a unique request id."""
    return Origin(
        request_id=request_id or f"request-{next(_numbers)}",
        actor="ana",
        instance=instance,
        wall_s=wall_s,
    )


def upstream(name="shop-1", *, incarnation=1, labels=(), **changes):
    """Return an upstream that is a service."""
    fields = {
        "upstream_id": name,
        "incarnation": incarnation,
        "address": "127.0.0.1:1",
        "kind": UpstreamKind.SERVICE,
        "region": RegionId("lagos"),
        "data_center": "lagos-1",
        "roles": (Role.SERVICE,),
        "targets": ("shop",),
        "labels": tuple(Label(name=n, value=v) for n, v in labels),
    }
    return Upstream(**{**fields, **changes})


def announce(name="shop-1", **changes):
    """Return an upstream's announcement."""
    return AnnounceUpstream(
        origin=origin(), upstream=upstream(name, **changes)
    )


def selector(name="all", *, version=0, request_id=None, **fields):
    """Return a command that applies a selector."""
    return ApplySelector(
        origin=origin(request_id=request_id),
        selector=Selector(name=name, **fields),
        expected_version=version,
    )


def set_labels(name="shop-1", *, version=0, removed=(), **labels):
    """Return a command that sets and removes labels."""
    return SetLabels(
        origin=origin(),
        upstream_id=name,
        labels=tuple(Label(name=n, value=v) for n, v in labels.items()),
        removed=removed,
        expected_version=version,
    )


def claim_key(key="k"):
    """Return the key of a call."""
    return ClaimKey(caller="nube", service="shop", key=key)


def claim(key="k", *, digest="d", **who):
    """Return a command that claims a call."""
    return ClaimCall(origin=origin(**who), key=claim_key(key), digest=digest)


def finish(token, key="k", *, answer=ANSWER, **who):
    """Return a command that stores a call's answer."""
    return FinishClaim(
        origin=origin(**who), key=claim_key(key), token=token, answer=answer
    )


class Log:
    """Applies commands to a state, one after the other."""

    def __init__(self, state=None):
        self.state = state or ClusterState()

    def apply(self, command):
        """Apply the next command and return its result."""
        version = self.state.version + 1
        self.state, result = apply_command(
            self.state, command, version=version
        )
        return result
