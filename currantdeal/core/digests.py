"""Computes digests that identify equal content."""

import hashlib


def digest_parts(*parts):
    """Return the SHA-256 digest of byte strings, 32 bytes.

    Each part is preceded by its length, so that the same bytes divided into
    different parts have different digests.

    Examples
    --------
    >>> digest_parts(b"ab", b"c") == digest_parts(b"a", b"bc")
    False
    >>> len(digest_parts(b"ab", b"c"))
    32
    """
    digest = hashlib.sha256()
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()
