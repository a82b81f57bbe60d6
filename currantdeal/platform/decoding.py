"""Decoding of the platform's JSON into types that can be passed on."""

from typing import Annotated

import msgspec

from currantdeal.core.errors import DialectError

Int64 = Annotated[int, msgspec.Meta(ge=-(2**63), le=2**63 - 1)]
"""Whole number that messages between processes can hold."""


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
