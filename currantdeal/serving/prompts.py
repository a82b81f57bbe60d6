"""Estimates about prompts, made before any engine has seen them."""

BYTES_PER_TOKEN = 4
"""Usual length of a token in bytes; the engine's count replaces it later."""


def estimate_tokens(prompt):
    """Return the estimated length of a prompt in tokens, at least 1.

    Examples
    --------
    >>> from currantdeal.serving.prompts import estimate_tokens
    >>> estimate_tokens("a cake, please")
    4
    """
    return max(1, -(-len(prompt.encode()) // BYTES_PER_TOKEN))
