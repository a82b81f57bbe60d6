from dataclasses import replace

import pytest

from currantdeal.routing import (
    InvalidConfigError,
    WeightedService,
    check_config,
)
from currantdeal.routing.tests.builders import a_config, a_route, a_service


def test_accepts_a_valid_configuration():
    check_config(a_config())


@pytest.mark.parametrize(
    ("routes", "reason"),
    [
        (
            (a_route(services=(WeightedService(service="gone", weight=1),)),),
            "unknown service gone",
        ),
        ((a_route(), a_route(name="menu-2")), "is taken"),
        (
            (a_route(services=(WeightedService(service="shop", weight=0),)),),
            "add up to 0",
        ),
        ((a_route(timeout_s=0.0),), "timeout is 0"),
        ((a_route(prefix="/menu"),), "slash"),
    ],
)
def test_refuses_with_a_reason(routes, reason):
    with pytest.raises(InvalidConfigError, match=reason):
        check_config(a_config(routes=routes))


def test_refuses_two_services_of_one_name():
    twice = (a_service(), replace(a_service(), max_connections=2))
    with pytest.raises(InvalidConfigError, match="same name"):
        check_config(a_config(services=twice))
