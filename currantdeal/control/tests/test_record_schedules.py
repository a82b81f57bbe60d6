import pytest

from currantdeal.control.tests.record_schedules import RecordSimulation


@pytest.mark.parametrize("first", range(0, 60, 10))
def test_schedules_of_records_break_no_promise(first):
    """Guards against a leave that some entry does not get to know."""
    for seed in range(first, first + 10):
        RecordSimulation(seed=seed).run()


def test_leave_by_way_of_an_instance_that_knows_an_earlier_incarnation():
    """Guards against a leave that is recorded for an earlier incarnation.

    A control instance was partitioned while the upstream restarted, and takes
    its leave for that of the process it knows.
    """
    RecordSimulation(seed=1_044).run()
