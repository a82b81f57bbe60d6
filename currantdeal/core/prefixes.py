"""Keys of a prompt's leading blocks, for prefix caches.

Engines report keys of what they hold and instances compute the keys of what
callers ask; both must cut prompts in the same way.

Examples
--------
>>> from currantdeal.core import prefix_keys
>>> first, second = prefix_keys("a" * 2100)
>>> first == prefix_keys("a" * 1024)[0]
True
"""

from xxhash import xxh3_64

BLOCK_BYTES = 1024
"""Length of a block; 256 tokens of usual text."""

MAX_BLOCKS = 64
"""Blocks hashed at most; what follows is rarely shared between prompts."""

_SIGNED_MASK = (1 << 63) - 1


def prefix_keys(prompt):
    """Return one key for each whole leading block, longest prefix last.

    Keys fit in a signed integer of 64 bits, as peers' messages need it.
    """
    raw = prompt.encode()
    longest = min(len(raw), BLOCK_BYTES * MAX_BLOCKS)
    hasher = xxh3_64()
    keys = []
    for end in range(BLOCK_BYTES, longest + 1, BLOCK_BYTES):
        hasher.update(raw[end - BLOCK_BYTES : end])
        keys.append(hasher.intdigest() & _SIGNED_MASK)
    return tuple(keys)
