"""Routes requests to services: configuration, validation and look-up."""

from currantdeal.routing.check import check_config
from currantdeal.routing.config import (
    CallerLimits,
    EngineTraits,
    RetrySafety,
    Route,
    RoutingConfig,
    Service,
    WeightedService,
)
from currantdeal.routing.errors import InvalidConfigError, RoutingError
from currantdeal.routing.table import RouteTable

__all__ = [
    "CallerLimits",
    "EngineTraits",
    "InvalidConfigError",
    "RetrySafety",
    "Route",
    "RouteTable",
    "RoutingConfig",
    "RoutingError",
    "Service",
    "WeightedService",
    "check_config",
]
