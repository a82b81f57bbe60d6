"""Estimates the length of prompts before an engine has tokenized them."""

BYTES_PER_TOKEN = 4
"""Typical token length in bytes; the engine's count replaces the estimate."""


def estimate_tokens(prompt):
    """Return the estimated length of a prompt in tokens, at least 1.

    Examples
    --------
    >>> from currantdeal.serving.prompts import estimate_tokens
    >>> estimate_tokens("a cake, please")
    4
    """
    return max(1, -(-len(prompt.encode()) // BYTES_PER_TOKEN))
