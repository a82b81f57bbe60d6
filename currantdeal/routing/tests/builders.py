"""Builds routes and configurations for tests."""

from currantdeal.routing import (
    RetrySafety,
    Route,
    RoutingConfig,
    Service,
    WeightedService,
)


def a_service(**changes):
    """Return a plain service."""
    defaults = {
        "name": "shop",
        "health_path": "/health",
        "max_connections": 100,
    }
    return Service(**{**defaults, **changes})


def a_route(**changes):
    """Return a route of idempotent calls to the plain service."""
    defaults = {
        "name": "menu",
        "host": "cakes.example",
        "prefix": "/menu/",
        "services": (WeightedService(service="shop", weight=1),),
        "retry_safety": RetrySafety.FREELY,
        "streaming": False,
        "timeout_s": 1.0,
        "target_s": 0.3,
    }
    return Route(**{**defaults, **changes})


def a_config(**changes):
    """Return a valid configuration with one route."""
    defaults = {
        "version": 1,
        "routes": (a_route(),),
        "services": (a_service(),),
    }
    return RoutingConfig(**{**defaults, **changes})
