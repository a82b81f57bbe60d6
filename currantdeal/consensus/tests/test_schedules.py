import pytest

from currantdeal.consensus.tests.explore import run_schedule


@pytest.mark.parametrize("first", range(0, 200, 25))
def test_schedules_break_no_invariant(first):
    """Guards the Raft and lease invariants under random faults.

    Messages are lost and reordered; replicas crash, are isolated and recover.
    The seeds are fixed, so that the result is the same each time;
    ``bin/explore`` runs any number of other seeds.
    """
    for seed in range(first, first + 25):
        run_schedule(seed)
