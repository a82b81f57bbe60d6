from hypothesis import given
from hypothesis import strategies as st

from currantdeal.organisations import ViewFreshness

_STEPS = st.lists(
    st.tuples(
        st.integers(0, 6),  # version acknowledged at this step, or none
        st.integers(0, 3),  # delay of the request
        st.integers(0, 9),  # delay of the answer
        st.booleans(),  # whether the configuration arrives as well
    ),
    max_size=30,
)


@given(steps=_STEPS)
def test_a_view_is_never_older_than_its_confirmation(steps):
    """Guards against a withdrawn key that works for longer than agreed.

    Confirmations and configurations arrive late and in any order.  Whatever
    was acknowledged before the time of the confirmation must be in the view.
    """
    acknowledged = [(0, 0)]  # time, version
    in_transit = []
    freshness = ViewFreshness()
    held = 0
    for now, (version, request_delay, answer_delay, arrives) in enumerate(
        steps, start=1
    ):
        if version > acknowledged[-1][1]:
            acknowledged.append((now, version))
        answered = now + request_delay
        newest = max(v for t, v in acknowledged if t <= answered)
        in_transit.append((answered + answer_delay, now, newest))
        for item in [i for i in in_transit if i[0] <= now]:
            in_transit.remove(item)
            freshness.confirm(
                version=item[2], confirmed_s=item[1], held_version=held
            )
        if arrives and acknowledged[-1][1] > held:
            held = acknowledged[-1][1]
            freshness.hold(version=held)
        confirmed = freshness.confirmed_s
        owed = [v for t, v in acknowledged if t < confirmed]
        assert held >= max(owed, default=0)
