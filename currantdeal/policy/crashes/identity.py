"""Identities to which a crash of an upstream is attributed.

A request has several: the request as a whole, and each part of its prompt that
other requests may share, among all requests and among those of its
organisation.  An identity is a byte string whose first byte tells its kind,
unless it is the fingerprint of a request.
"""

from enum import IntEnum

_PART_LENGTH = 17


class IdentityKind(IntEnum):
    """What an identity stands for; a lower value is narrower.

    Attributes
    ----------
    REQUEST
        One request and its retries.
    ORGANISATION_PART
        A part of a prompt, in requests of one organisation.
    PART
        A part of a prompt, in all requests.
    """

    REQUEST = 0
    ORGANISATION_PART = 1
    PART = 2


_PREFIX_OF_KIND = {
    IdentityKind.ORGANISATION_PART: b"o",
    IdentityKind.PART: b"p",
}
_KIND_OF_PREFIX = {prefix: kind for kind, prefix in _PREFIX_OF_KIND.items()}


def part_identity(kind, fingerprint):
    """Return the identity of a part with a fingerprint of 16 bytes."""
    return _PREFIX_OF_KIND[kind] + fingerprint


def digest_of(identity):
    """Return the fingerprint that an identity consists of."""
    if kind_of(identity) is IdentityKind.REQUEST:
        return identity
    return identity[1:]


def kind_of(identity):
    """Return the ``IdentityKind`` of an identity.

    Examples
    --------
    >>> kind_of(part_identity(IdentityKind.PART, bytes(16))).name
    'PART'
    >>> kind_of(bytes(16)).name
    'REQUEST'
    """
    if len(identity) != _PART_LENGTH:
        return IdentityKind.REQUEST
    return _KIND_OF_PREFIX.get(identity[:1], IdentityKind.REQUEST)
