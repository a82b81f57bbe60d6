import pytest

from currantdeal.core import ParseError, check_label, matches, parse_expression

GOLD = {"tier": "gold", "owner": "partner"}


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("", True),
        ("tier=gold", True),
        ("tier==gold", True),
        ("tier!=gold", False),
        ("site!=x", True),
        ("tier in (gold, silver)", True),
        ("tier notin (gold, silver)", False),
        ("site notin (x)", True),
        ("tier", True),
        ("!tier", False),
        ("!site,owner=partner", True),
        ("tier=gold,owner=self", False),
        ("example.com/zone", False),
    ],
)
def test_matches_follows_the_grammar(text, expected):
    assert matches(parse_expression(text), GOLD) is expected


@pytest.mark.parametrize(
    "text",
    [
        "tier=",
        "a in ()",
    ],
)
def test_empty_values_are_allowed(text):
    assert not matches(parse_expression(text), GOLD)


@pytest.mark.parametrize(
    "text",
    ["=x", "a=b=c", "a in b", "a in (b", "a,,b", "a b", "-a", "x" * 3000],
)
def test_invalid_expressions_are_rejected(text):
    with pytest.raises(ParseError):
        parse_expression(text)


def test_labels_outside_the_selector_grammar_are_rejected():
    check_label("example.com/tier", "gold")
    with pytest.raises(ParseError):
        check_label("tier ", "gold")
    with pytest.raises(ParseError):
        check_label("tier", "g" * 64)
