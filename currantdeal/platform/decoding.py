"""Decoding of the platform's JSON into types that can be passed on."""

from typing import Annotated

import msgspec

from currantdeal.core.errors import DialectError

Int64 = Annotated[int, msgspec.Meta(ge=-(2**63), le=2**63 - 1)]
"""Whole number that messages between processes can hold."""


MAX_WHOLE = 2**31 - 1
"""Largest number that is read from a header; sums over many of them fit in
messages between processes."""

_MAX_DIGITS = len(str(MAX_WHOLE))


def read_whole(text):
    """Return the whole number that a header holds; None if it is none.

    One beyond ``MAX_WHOLE`` is read as that.

    Examples
    --------
    >>> read_whole("3000"), read_whole("-1"), read_whole("\u00b2")
    (3000, None, None)
    >>> read_whole("0" * 30 + "7"), read_whole("9" * 30) == MAX_WHOLE
    (7, True)
    """
    if not (text.isascii() and text.isdigit()):
        return None
    digits = text.lstrip("0")[: _MAX_DIGITS + 1]
    return min(MAX_WHOLE, int(digits or "0"))


def decode_json(body, cls, what):
    """Return the struct that a body holds.

    Raises
    ------
    DialectError
        If the body is cut short, nested too deep, or a field has another type
        or does not fit.

    Examples
    --------
    >>> class Count(msgspec.Struct):
    ...     Number: Int64
    >>> decode_json(b'{"Number":3}', Count, "count").Number
    3
    """
    try:
        return msgspec.json.decode(body, type=cls)
    except msgspec.MsgspecError as exc:
        raise DialectError(f"{what}: {exc}") from exc
    except RecursionError:
        raise DialectError(f"{what}: it is nested too deep") from None
