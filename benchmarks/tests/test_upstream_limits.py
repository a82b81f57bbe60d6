"""Ways to observe the limit of an upstream, in a model."""

import pytest

from benchmarks.experiments.upstream_limits import (
    LOADS,
    EqualShares,
    ExchangedSums,
    OneOwner,
    run_load,
)
from currantdeal.testing.rate_bound import allowed_requests

LIMIT = 2.0


@pytest.mark.parametrize("limit", [0.5, LIMIT, 20.0])
@pytest.mark.parametrize("load", LOADS.values(), ids=LOADS)
def test_limit_with_one_owner_holds_and_is_used(load, limit):
    """Guards against more or far fewer requests than the limit."""
    for seed in range(5):
        result = run_load(OneOwner, load, limit=limit, seed=seed)
        assert result.most <= allowed_requests(limit)
        assert result.served >= 0.85


def test_equal_shares_refuse_uneven_callers():
    assert run_load(EqualShares, LOADS["uneven"]).served < 0.2
    assert run_load(EqualShares, LOADS["many"]).most > allowed_requests(LIMIT)


@pytest.mark.parametrize("name", ["even", "cut"])
def test_exchanged_sums_exceed_the_limit(name):
    assert run_load(ExchangedSums, LOADS[name]).most > allowed_requests(LIMIT)
