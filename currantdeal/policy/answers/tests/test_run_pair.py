"""Two runs of one answer, in every order of what becomes known of them."""

from itertools import permutations, product

import pytest

from currantdeal.policy.answers.run_pair import Decision, RunPair, RunState

PRESENT = ("silent", "spoke", "ended")
SUCCESSOR = (
    ("ended",),
    ("silent", "ended"),
    ("silent", "spoke"),
    ("silent",),
    (),
)


def _histories():
    """Return the changes that may become known, in every order."""
    for present, successor, overlap, reached in product(
        PRESENT, SUCCESSOR, (False, True), (False, True)
    ):
        changes = [("successor", RunState(state)) for state in successor]
        more = [("is_present_reached", reached)]
        if present != "silent":
            more.append(("present", RunState(present)))
        if overlap:
            more.append(("is_overlap_over", True))
        size = len(changes) + len(more)
        for places in permutations(range(size), len(more)):
            history = iter(changes)
            yield tuple(
                more[places.index(place)] if place in places else next(history)
                for place in range(size)
            )


def _decisions(history):
    """Yield the runs after each change and their decision, until it is made.

    The runs of an answer that is decided change no more.
    """
    runs = RunPair()
    for name, value in history:
        runs = runs.after(**{name: value})
        decision = runs.decide()
        yield runs, decision
        if decision is not Decision.WAIT:
            return


HISTORIES = sorted(set(_histories()), key=repr)


def test_a_run_is_given_up_only_for_one_that_has_spoken():
    """Guards against runs that are ended before another can go on."""
    for history in HISTORIES:
        for runs, decision in _decisions(history):
            if decision is Decision.SWITCH:
                assert runs.successor is RunState.SPOKE, history
                assert runs.present is not RunState.SPOKE, history
            if decision is Decision.FAIL:
                ends = {runs.present, runs.successor}
                assert ends == {RunState.ENDED}, history


def test_a_successor_is_cancelled_only_beside_a_run_that_goes_on():
    """Guards against two runs that are cancelled for each other."""
    for history in HISTORIES:
        for runs, decision in _decisions(history):
            if decision is Decision.KEEP:
                assert runs.present is not RunState.ENDED, history


def test_reached_engines_do_not_both_work_on_an_answer_for_long():
    """Guards against a stream that goes on twice."""
    for history in HISTORIES:
        for runs, decision in _decisions(history):
            both = runs.present is runs.successor is RunState.SILENT
            if both and runs.is_overlap_over and runs.is_present_reached:
                assert decision is Decision.KEEP, history


@pytest.mark.parametrize("present", RunState)
@pytest.mark.parametrize("successor", RunState)
def test_each_pair_has_a_decision(present, successor):
    """Guards against states that the decision does not expect."""
    runs = RunPair(present=present, successor=successor)
    assert runs.decide() in Decision
