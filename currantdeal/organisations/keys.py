"""Looks up organisations by the keys of their callers.

Only digests of keys are kept, so that neither a memory dump nor a log line of
an entry contains a key.
"""

import hashlib

DIGEST_BYTES = 16
"""Length of a digest; 128 bits rule out a second key with the same digest."""


def digest_key(key):
    """Return the digest of a key.

    Parameters
    ----------
    key : bytes
        The key as a caller sends it.

    Examples
    --------
    >>> len(digest_key(b"secret")), digest_key(b"a") == digest_key(b"b")
    (16, False)
    """
    return hashlib.sha256(key).digest()[:DIGEST_BYTES]


class KeyTable:
    """Index of organisations by the digests of their keys.

    Parameters
    ----------
    organisations : iterable of Organisation
        Organisations that share no key.

    Examples
    --------
    >>> from currantdeal.organisations import Organisation
    >>> bakery = Organisation(
    ...     name="bakery", key_digests=(digest_key(b"secret"),))
    >>> table = KeyTable(organisations=(bakery,))
    >>> table.find(digest_key(b"secret")).name
    'bakery'
    >>> table.find(digest_key(b"guess")) is None, table.find(b"") is None
    (True, True)
    """

    def __init__(self, *, organisations):
        """Index the organisations."""
        self._by_digest = {
            digest: organisation
            for organisation in organisations
            for digest in organisation.key_digests
        }

    def find(self, digest):
        """Return the organisation that holds a key, or None."""
        return self._by_digest.get(digest)
