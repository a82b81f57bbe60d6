"""Builds organisations for tests."""

from currantdeal.organisations import (
    Organisation,
    Quota,
    QuotaUnit,
    digest_key,
)


def an_organisation(name="bakery", *, keys=("secret",), **changes):
    """Return an organisation with some keys and no quota."""
    digests = tuple(digest_key(key.encode()) for key in keys)
    return Organisation(name=name, key_digests=digests, **changes)


def a_quota(**changes):
    """Return a quota in tokens."""
    defaults = {
        "rate_per_s": 1_000.0,
        "burst": 1_000.0,
        "unit": QuotaUnit.TOKENS,
        "default_tokens": 200,
    }
    return Quota(**{**defaults, **changes})
