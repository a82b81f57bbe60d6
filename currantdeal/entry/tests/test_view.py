"""Views of entries: configurations, upstreams and switching engines."""

import zlib

from currantdeal.entry.view import EntryView
from currantdeal.platform.config import decode_config
from currantdeal.registry import Stage, UpstreamState
from currantdeal.registry.tests.builders import an_upstream
from currantdeal.testing.entry_world import config_body


def _view():
    return EntryView(
        read_config=decode_config,
        data_center="dc1",
        region="r1",
        region_of={"dc1": "r1", "dc2": "r1", "dc3": "r2"},
        heartbeat_s=1.0,
        clock=lambda: 0.0,
    )


def _packed(version):
    return zlib.compress(config_body(version=version))


def test_an_older_configuration_is_ignored():
    """Guards against a return to replaced routes.

    An entry switches to a control instance that lags behind the previous one.
    Requests would be handled by routes that an operator has replaced.
    """
    view = _view()
    view.apply_config(5, _packed(5))
    view.apply_config(4, _packed(4))
    assert view.version == 5


def test_an_unreadable_configuration_changes_nothing():
    view = _view()
    view.apply_config(5, _packed(5))
    view.apply_config(6, b"not compressed")
    view.apply_config(7, zlib.compress(b"{}"))
    assert view.version == 5


def test_a_draining_upstream_gets_no_work():
    view = _view()
    view.merge_upstreams((an_upstream(),), complete=False)
    assert view.accepts_work("u1")
    draining = an_upstream(sequence=2, state=UpstreamState.DRAINING)
    view.merge_upstreams((draining,), complete=False)
    assert view.ready("shop") == ()
    assert not view.accepts_work("u1")


def test_an_incomplete_list_removes_no_upstreams():
    """Guards against dropping upstreams after a control instance restarts.

    The instance has received only some announcements yet.  If its list were
    treated as complete, entries would refuse work that the other upstreams
    could serve.
    """
    view = _view()
    first, second = an_upstream(), an_upstream(upstream="u2", address="a:2")
    view.merge_upstreams((first, second), complete=True)
    view.merge_upstreams((first,), complete=False)
    assert len(view.ready("shop")) == 2
    view.merge_upstreams((first,), complete=True)
    assert [r.upstream for r in view.ready("shop")] == ["u1"]


def test_distance_counts_data_centre_and_region():
    view = _view()
    distances = [
        view.distance_to(name) for name in ("dc1", "dc2", "dc3", "elsewhere")
    ]
    assert distances == [0, 1, 2, 2]


def test_a_switching_engine_is_omitted_until_it_announces_its_stage():
    """Guards against wasted prefills for an engine that switches stages.

    An engine that was ordered to switch still grants memory and then refuses
    the requests for it, after their prompts were prefilled.
    """
    view = _view()
    engine = an_upstream(stage=Stage.DECODE)
    view.merge_upstreams((engine,), complete=False)
    assert view.engines("shop", Stage.DECODE) == [engine]
    view.record_switching("u1", 9.0)
    assert view.engines("shop", Stage.DECODE) == []
    switched = an_upstream(stage=Stage.PREFILL, sequence=2)
    view.merge_upstreams((switched,), complete=False)
    assert view.engines("shop", Stage.PREFILL) == [switched]


def test_an_engine_that_restarts_while_it_switches_is_used_again():
    """Guards against an idle engine after a crash.

    An engine crashes after it was ordered to switch stages, and the order is
    lost with the process.  If the engine were omitted for the full switch
    time, it would idle for twenty seconds.
    """
    view = _view()
    view.merge_upstreams(
        (an_upstream(stage=Stage.DECODE, started_ms=1),), complete=False
    )
    view.record_switching("u1", 20.0)
    assert view.engines("shop", Stage.DECODE) == []
    restarted = an_upstream(stage=Stage.DECODE, started_ms=2)
    view.merge_upstreams((restarted,), complete=False)
    assert view.engines("shop", Stage.DECODE) == [restarted]


def test_an_upstream_that_expired_at_control_may_return():
    """Guards against an upstream that stays lost after a long partition."""
    view = _view()
    view.merge_upstreams((an_upstream(),), complete=False)
    view.remove_expired((an_upstream(started_ms=1),))
    assert view.accepts_work("u1")
    view.remove_expired((an_upstream(),))
    assert not view.accepts_work("u1")
    view.merge_upstreams((an_upstream(sequence=9),), complete=False)
    assert view.accepts_work("u1")


def test_a_restarted_engine_that_is_replaced_is_reported():
    """Guards against a report that control cannot read."""
    view = _view()
    engine = an_upstream(stage=Stage.DECODE, started_ms=2_000)
    view.merge_upstreams((an_upstream(stage=Stage.DECODE),), complete=False)
    view.merge_upstreams((engine,), complete=False)
    view.drop_if_replaced(engine, "u9")
    (gone,) = view.pop_replaced()
    assert gone.state is UpstreamState.GONE


def test_a_replaced_engine_is_reported_once():
    """Guards against each entry wasting a prefill on a replaced engine.

    Another process answers at an engine's address.  Without a report, each
    entry detects this only after it had a prompt prefilled.
    """
    view = _view()
    engine = an_upstream(stage=Stage.DECODE)
    view.merge_upstreams((engine,), complete=False)
    view.drop_if_replaced(engine, "u1")
    assert view.pop_replaced() == ()
    view.drop_if_replaced(engine, "u9")
    view.drop_if_replaced(engine, "u9")
    (gone,) = view.pop_replaced()
    assert (gone.upstream, gone.state) == ("u1", UpstreamState.GONE)
    assert view.pop_replaced() == ()


def test_proximity_does_not_depend_on_the_direction():
    """Guards against unknown data centres that seem to be in this region."""
    view = _view()
    for other in ("dc1", "dc2", "dc3", "elsewhere"):
        assert view.proximity("dc1", other) == view.distance_to(other)
