"""Computes keys of a prompt's leading blocks, for prefix caches.

Engines report the keys of the prefixes that they cache, and instances compute
the keys of callers' prompts; both must divide prompts in the same way.

Examples
--------
>>> from currantdeal.core import prefix_keys
>>> first, second = prefix_keys("a" * 2100)
>>> first == prefix_keys("a" * 1024)[0]
True
"""

from xxhash import xxh3_64

BLOCK_BYTES = 1024
"""Length of a block; about 256 tokens of typical text."""

MAX_BLOCKS = 64
"""Maximum number of hashed blocks.

Text beyond them is rarely shared between prompts.
"""

_SIGNED_MASK = (1 << 63) - 1


def prefix_keys(prompt):
    """Return one key for each whole leading block, longest prefix last.

    Keys fit in a signed 64-bit integer, as messages between peers require.
    """
    raw = prompt.encode()
    longest = min(len(raw), BLOCK_BYTES * MAX_BLOCKS)
    hasher = xxh3_64()
    keys = []
    for end in range(BLOCK_BYTES, longest + 1, BLOCK_BYTES):
        hasher.update(raw[end - BLOCK_BYTES : end])
        keys.append(hasher.intdigest() & _SIGNED_MASK)
    return tuple(keys)
