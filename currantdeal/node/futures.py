"""Futures that may fail after nobody awaits them any more."""


def mark_retrieved(future):
    """Let a done future fail without a line about an error nobody retrieved.

    Examples
    --------
    >>> from asyncio import new_event_loop
    >>> loop = new_event_loop()
    >>> future = loop.create_future()
    >>> future.set_exception(ValueError())
    >>> mark_retrieved(future)
    >>> loop.close()
    """
    if not future.cancelled():
        future.exception()
