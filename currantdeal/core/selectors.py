"""Selectors, which restrict the upstreams that may serve a kind of work.

The expression over labels follows the grammar of Kubernetes' label
selectors: ``a=b``, ``a==b``, ``a!=b``, ``a in (b, c)``, ``a notin (b, c)``,
``a`` and ``!a``, joined by commas that mean "and".  An upstream without the
label satisfies ``!=`` and ``notin``.

Examples
--------
>>> from currantdeal.core import parse_expression, matches
>>> terms = parse_expression("tier in (gold, silver), !withdrawn")
>>> matches(terms, {"tier": "gold"})
True
>>> matches(terms, {"tier": "gold", "withdrawn": "yes"})
False

References
----------

.. [1] Kubernetes documentation, "Labels and Selectors".
"""

import re
from dataclasses import dataclass
from enum import Enum
from functools import lru_cache

from currantdeal.core.errors import ParseError
from currantdeal.core.ids import RegionId
from currantdeal.core.upstreams import Role
from currantdeal.core.work import WorkKind

MAX_EXPRESSION_LENGTH = 2048

_NAME = r"(?:[A-Za-z0-9.-]+/)?[A-Za-z0-9](?:[A-Za-z0-9_.-]*[A-Za-z0-9])?"
_VALUE = r"(?:[A-Za-z0-9](?:[A-Za-z0-9_.-]*[A-Za-z0-9])?)?"
_SET_TERM = re.compile(rf"({_NAME})\s+(in|notin)\s*\(([^()]*)\)")
_EQUAL_TERM = re.compile(rf"({_NAME})\s*(==|=|!=)\s*({_VALUE})")
_EXISTS_TERM = re.compile(rf"(!?)\s*({_NAME})")
_LABEL_NAME = re.compile(_NAME)
_LABEL_VALUE = re.compile(_VALUE)
_COMMA_OUTSIDE_SET = re.compile(r",(?![^()]*\))")


class Operator(str, Enum):
    """Condition of a term on the value of a label."""

    IN = "in"
    NOT_IN = "notin"
    EXISTS = "exists"
    ABSENT = "absent"


@dataclass(frozen=True, kw_only=True)
class Term:
    """One requirement on one label."""

    name: str
    operator: Operator
    values: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True)
class Selector:
    """An operator's rule that allows labelled upstreams to serve work.

    Empty tuples mean "any".  Work that no selector allows is rejected.

    Parameters
    ----------
    name : str
        Unique name, under which it can be replaced or deleted.
    expression : str
        Requirement on the upstream's labels; empty matches every upstream.
    kinds : tuple of WorkKind
        Kinds of work it allows.
    targets : tuple of str
        Models or services it allows.
    roles : tuple of Role
        Parts of a request it allows.
    caller_regions : tuple of RegionId
        Regions whose callers it allows.
    upstream_regions : tuple of RegionId
        Regions whose upstreams it allows.
    """

    name: str
    expression: str = ""
    kinds: tuple[WorkKind, ...] = ()
    targets: tuple[str, ...] = ()
    roles: tuple[Role, ...] = ()
    caller_regions: tuple[RegionId, ...] = ()
    upstream_regions: tuple[RegionId, ...] = ()


def matches(terms, labels):
    """Return whether a mapping of label names to values meets every term."""
    return all(_satisfies(term, labels) for term in terms)


@lru_cache(maxsize=4096)
def parse_expression(text):
    """Return the terms of an expression.

    Raises
    ------
    ParseError
        If the text does not follow the grammar or is too long.
    """
    if len(text) > MAX_EXPRESSION_LENGTH:
        raise ParseError("the selector expression is too long")
    if not text.strip():
        return ()
    return tuple(
        _parse_term(part.strip()) for part in _COMMA_OUTSIDE_SET.split(text)
    )


def check_label(name, value):
    """Raise ``ParseError`` unless a selector can express name and value."""
    if len(name) > 253 or not _LABEL_NAME.fullmatch(name):
        raise ParseError(f"not a label name: {name!r}")
    if len(value) > 63 or not _LABEL_VALUE.fullmatch(value):
        raise ParseError(f"not a label value: {value!r}")


def _parse_term(text):
    if found := _SET_TERM.fullmatch(text):
        name, operator_text, value_list = found.groups()
        values = tuple(value.strip() for value in value_list.split(","))
        for value in values:
            check_label(name, value)
        return Term(name=name, operator=Operator(operator_text), values=values)
    if found := _EQUAL_TERM.fullmatch(text):
        name, operator_sign, value = found.groups()
        operator = Operator.NOT_IN if operator_sign == "!=" else Operator.IN
        return Term(name=name, operator=operator, values=(value,))
    if found := _EXISTS_TERM.fullmatch(text):
        absent, name = found.groups()
        operator = Operator.ABSENT if absent else Operator.EXISTS
        return Term(name=name, operator=operator)
    raise ParseError(f"not a label requirement: {text!r}")


def _satisfies(term, labels):
    value = labels.get(term.name)
    if term.operator is Operator.EXISTS:
        return value is not None
    if term.operator is Operator.ABSENT:
        return value is None
    if term.operator is Operator.IN:
        return value in term.values
    return value not in term.values
