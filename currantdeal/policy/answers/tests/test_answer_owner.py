import pytest

from currantdeal.policy.answers.answer_owner import AnswerOwner, answer_owner

OWN, OTHER, UNIDENTIFIED = AnswerOwner


@pytest.mark.parametrize(
    ("ids", "is_echoed", "is_first", "expected"),
    [
        ([b"r1"], True, False, OWN),
        ([b"r1", b"r1"], True, False, OWN),
        ([b"r0"], True, True, OTHER),
        ([b"r0"], False, True, OTHER),
        ([b"r1", b"r0"], True, False, OTHER),
        ([b"R1"], True, False, OTHER),
        ([b""], True, False, OTHER),
        ([], True, True, UNIDENTIFIED),
        ([], True, False, UNIDENTIFIED),
        ([], False, False, UNIDENTIFIED),
        ([], False, True, OWN),
    ],
)
def test_owner_of_an_answer(ids, is_echoed, is_first, expected):
    """Guards against an answer that is matched by its order alone."""
    found = answer_owner(b"r1", ids, is_echoed=is_echoed, is_first=is_first)
    assert found is expected
