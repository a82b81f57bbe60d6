"""Compute the stand-in engine's output from the prompt and the position.

Because the output is deterministic, a test can check from the prompt alone
whether a caller received its own output, complete and in order.

Examples
--------
>>> from currantdeal.testing.output import expected_output
>>> expected_output("cake", 2) == expected_output("cake", 3)[:14]
True
>>> natural_length("list the cakes tokens=12")
12
"""

import re

from xxhash import xxh32_hexdigest, xxh32_intdigest

BYTES_PER_TOKEN = 4
MIN_OUTPUT_TOKENS = 16
OUTPUT_TOKENS_RANGE = 112

_REQUESTED_LENGTH = re.compile(r"tokens=(\d+)")


def output_seed(prompt):
    """Return the seed from which the output of a prompt is computed."""
    return xxh32_intdigest(prompt.encode())


def output_token(seed, offset):
    """Return the output token at an offset, a text of 7 characters."""
    return f"{xxh32_hexdigest(str(offset).encode(), seed=seed)[:6]} "


def expected_output(prompt, tokens):
    """Return the first tokens of the output as one string.

    Parameters
    ----------
    prompt : str
        The prompt as the engine receives it.
    tokens : int
        Number of tokens.
    """
    seed = output_seed(prompt)
    return "".join(output_token(seed, offset) for offset in range(tokens))


def natural_length(prompt):
    """Return the output length at which the model stops by itself.

    A prompt that contains ``tokens=N`` requests N tokens; the last one counts.
    """
    if requested := _REQUESTED_LENGTH.findall(prompt):
        return int(requested[-1])
    return MIN_OUTPUT_TOKENS + output_seed(prompt) % OUTPUT_TOKENS_RANGE


def count_tokens(prompt):
    """Return the length of a prompt in the stand-in's tokens."""
    return max(1, -(-len(prompt.encode()) // BYTES_PER_TOKEN))
