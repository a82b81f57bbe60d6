"""Validates the organisations of a configuration."""

import math

from currantdeal.organisations.errors import InvalidOrganisationsError


def check_organisations(organisations):
    """Raise ``InvalidOrganisationsError`` if organisations are invalid.

    The message names the organisations, never a key.

    Examples
    --------
    >>> from currantdeal.organisations import Organisation, digest_key
    >>> shared = (digest_key(b"secret"),)
    >>> check_organisations((
    ...     Organisation(name="bakery", key_digests=shared),
    ...     Organisation(name="mill", key_digests=shared)))
    Traceback (most recent call last):
    ...
    currantdeal.organisations.errors.InvalidOrganisationsError: organisations \
'bakery' and 'mill' share a key
    """
    names = set()
    holders = {}
    for organisation in organisations:
        if organisation.name in names:
            raise InvalidOrganisationsError(
                f"two organisations are named {organisation.name!r}"
            )
        names.add(organisation.name)
        _check_name(organisation.name)
        _check_quota(organisation)
        _check_priority(organisation)
        _check_keys(organisation, holders)


def _check_keys(organisation, holders):
    for digest in organisation.key_digests:
        holder = holders.setdefault(digest, organisation)
        if holder is not organisation:
            raise InvalidOrganisationsError(
                f"organisations {holder.name!r} and {organisation.name!r}"
                " share a key"
            )
    if len(set(organisation.key_digests)) < len(organisation.key_digests):
        raise InvalidOrganisationsError(
            f"organisation {organisation.name!r} lists a key twice"
        )


def _check_priority(organisation):
    if organisation.priority is not None and organisation.priority < 0:
        raise InvalidOrganisationsError(
            f"organisation {organisation.name!r}: its priority is negative"
        )


def _check_name(name):
    # The name is sent to upstreams in a header.
    if not name.isprintable() or name != name.strip() or not name:
        raise InvalidOrganisationsError(
            f"organisation {name!r}: the name must be printable and must not"
            " begin or end with a blank"
        )


def _check_quota(organisation):
    quota = organisation.quota
    if quota is None:
        return
    for number in (quota.rate_per_s, quota.burst, quota.default_tokens):
        if not 0.0 <= number < math.inf:
            raise InvalidOrganisationsError(
                f"organisation {organisation.name!r}: its quota must consist"
                " of finite numbers of 0 or more"
            )
