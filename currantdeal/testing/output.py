"""What the stand-in engine writes: a function of prompt and position.

A test that knows the prompt can tell whether a caller got its own answer,
whole and in order, without asking the engine.

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
SHORTEST_OUTPUT = 16
LENGTH_SPREAD = 112

_ASKED_LENGTH = re.compile(r"tokens=(\d+)")


def output_seed(prompt):
    """Return the number that a prompt's output is computed from."""
    return xxh32_intdigest(prompt.encode())


def output_token(seed, offset):
    """Return the output token at a position, as seven characters."""
    return f"{xxh32_hexdigest(str(offset).encode(), seed=seed)[:6]} "


def expected_output(prompt, tokens):
    """Return the first tokens of the output as one text.

    Parameters
    ----------
    prompt : str
        The prompt as the engine got it.
    tokens : int
        Number of tokens.
    """
    seed = output_seed(prompt)
    return "".join(output_token(seed, offset) for offset in range(tokens))


def natural_length(prompt):
    """Return the tokens after which the model would stop by itself.

    A prompt that contains ``tokens=N`` asks for that length.
    """
    if found := _ASKED_LENGTH.findall(prompt):
        return int(found[-1])
    return SHORTEST_OUTPUT + output_seed(prompt) % LENGTH_SPREAD


def count_tokens(prompt):
    """Return the length of a prompt in the stand-in's tokens."""
    return max(1, -(-len(prompt.encode()) // BYTES_PER_TOKEN))
