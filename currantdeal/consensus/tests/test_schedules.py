import pytest

from currantdeal.consensus.tests.explore import run_schedule


@pytest.mark.parametrize("first", range(0, 200, 25))
def test_schedules_break_no_invariant(first):
    """Messages are lost and crossed, replicas crash, are cut off and repaired.

    Seeds are fixed, so that the verdict is the same each time; ``bin/explore``
    runs as many others as one likes.
    """
    for seed in range(first, first + 25):
        run_schedule(seed)
