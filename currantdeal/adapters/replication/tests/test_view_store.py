from currantdeal.adapters.replication.view_store import ViewStore
from currantdeal.state import ClusterState, skip_entry


def state_at(version):
    return skip_entry(ClusterState(), version=version)


def test_no_state_is_visible_before_a_leader_confirms_its_version():
    """A replica restarts from a disk that is older than its last view.

    If the state on disk were visible, requests would be routed to a withdrawn
    upstream until the first renewal.
    """
    view_store = ViewStore()
    view_store.publish(state_at(5))
    assert view_store.view.version == 0
    view_store.make_visible_from(7)
    assert view_store.view.version == 0
    view_store.publish(state_at(8))
    assert view_store.view.version == 8
    view_store.publish(state_at(6))
    view_store.make_visible_from(9)
    assert view_store.view.version == 8
