from currantdeal.adapters.replication.board import ViewBoard
from currantdeal.state import ClusterState, skip_entry


def state_at(version):
    return skip_entry(ClusterState(), version=version)


def test_nothing_is_shown_that_a_leader_has_not_vouched_for():
    """A replica starts from an old disk after it had shown later versions.

    Showing what the disk held would bring a withdrawn upstream back to work
    until the first renewal.
    """
    board = ViewBoard()
    board.publish(state_at(5))
    assert board.view.version == 0
    board.admit(7)
    assert board.view.version == 0
    board.publish(state_at(8))
    assert board.view.version == 8
    board.publish(state_at(6))
    board.admit(9)
    assert board.view.version == 8
