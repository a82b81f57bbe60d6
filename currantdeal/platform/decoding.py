"""Decodes the platform's JSON and numbers into types with limited ranges.

Their values fit into the messages between processes.
"""

from typing import Annotated

import msgspec

from currantdeal.core.errors import DialectError

Int64 = Annotated[int, msgspec.Meta(ge=-(2**63), le=2**63 - 1)]
"""Integer in the range that messages between processes can hold."""

Name = Annotated[str, msgspec.Meta(pattern=r"\A[!-~]{1,256}\Z")]
"""Name that fits into a header: visible ASCII characters."""

PathName = Annotated[str, msgspec.Meta(pattern=r'\A[!"$&-.0->@-~]{1,256}\Z')]
"""Name that also fits into one segment of a path."""

Path = Annotated[str, msgspec.Meta(pattern=r"\A/[!-~]*\Z")]
"""Path of a request, with its query."""

Label = Annotated[
    str, msgspec.Meta(pattern=r"\A[^\x00-\x1f\x7f]*\Z", max_length=256)
]
"""Text without control characters, for logs and metrics."""

MAX_HEADER_INT = 2**31 - 1
"""Upper limit for numbers read from a header.

Sums over many of them still fit into messages between processes.
"""

_MAX_DIGITS = len(str(MAX_HEADER_INT))


def parse_header_int(text):
    """Return the non-negative integer in a header, or None if it is invalid.

    A larger number than ``MAX_HEADER_INT`` is read as ``MAX_HEADER_INT``.

    Examples
    --------
    >>> [parse_header_int(text) for text in ("3000", "-1", "\u00b2")]
    [3000, None, None]
    >>> parse_header_int("0" * 30 + "7")
    7
    >>> parse_header_int("9" * 30) == MAX_HEADER_INT
    True
    """
    if not (text.isascii() and text.isdigit()):
        return None
    digits = text.lstrip("0")[: _MAX_DIGITS + 1]
    return min(MAX_HEADER_INT, int(digits or "0"))


def parse_name(text, what):
    """Return a text if it is a ``Name``.

    Raises
    ------
    DialectError
        If it is not.

    Examples
    --------
    >>> parse_name("i-7f", "instance id")
    'i-7f'
    """
    try:
        return msgspec.convert(text, Name)
    except msgspec.ValidationError:
        raise DialectError(f"{what}: not a name: {ascii(text)}") from None


def decode_json(body, cls, what):
    """Return the struct decoded from a JSON body.

    Raises
    ------
    DialectError
        If the body is truncated or nested too deeply, or if a field has the
        wrong type or is out of range.

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
        raise DialectError(f"{what}: the body is nested too deeply") from None
