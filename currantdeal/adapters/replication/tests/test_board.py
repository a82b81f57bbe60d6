from currantdeal.adapters.replication.board import ViewBoard
from currantdeal.state import ClusterState, skip_entry


def state_at(version):
    return skip_entry(ClusterState(), version=version)


def test_no_state_is_visible_before_a_leader_confirms_its_version():
    """A replica restarts from a disk that is older than its last view.

    If the state on disk were visible, requests would be routed to a withdrawn
    upstream until the first renewal.
    """
    board = ViewBoard()
    board.publish(state_at(5))
    assert board.view.version == 0
    board.make_visible_from(7)
    assert board.view.version == 0
    board.publish(state_at(8))
    assert board.view.version == 8
    board.publish(state_at(6))
    board.make_visible_from(9)
    assert board.view.version == 8
