"""Validates configurations.

An invalid configuration is rejected as a whole, with the first reason found.
If it were applied, requests could go to a service that does not exist, or to
an arbitrary one of two routes; callers would get errors on routes that worked
before the change.
"""

from currantdeal.organisations import (
    InvalidOrganisationsError,
    check_organisations,
)
from currantdeal.routing.errors import InvalidConfigError


def check_config(config):
    """Raise ``InvalidConfigError`` if a configuration is invalid.

    Parameters
    ----------
    config : RoutingConfig
        The configuration.

    Examples
    --------
    >>> from currantdeal.routing import RoutingConfig, check_config
    >>> check_config(RoutingConfig(version=1, routes=(), services=()))
    """
    service_names = _service_names(config)
    paths = set()
    for route in config.routes:
        _check_route(route, service_names)
        path = (route.host, route.prefix)
        if path in paths:
            raise InvalidConfigError(
                f"route {route.name}: {route.host}{route.prefix} is taken by"
                " another route"
            )
        paths.add(path)
    try:
        check_organisations(config.organisations or ())
    except InvalidOrganisationsError as exc:
        raise InvalidConfigError(str(exc)) from exc


def _service_names(config):
    names = {service.name for service in config.services}
    if len(names) != len(config.services):
        raise InvalidConfigError("two services have the same name")
    return names


def _check_route(route, service_names):
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        raise InvalidConfigError(
            f"route {route.name}: the prefix {route.prefix!r} must begin and"
            " end with a slash"
        )
    if route.timeout_s <= 0.0:
        raise InvalidConfigError(f"route {route.name}: its timeout is 0")
    if any(weighted.weight < 0 for weighted in route.services):
        raise InvalidConfigError(f"route {route.name}: a weight is negative")
    if sum(weighted.weight for weighted in route.services) <= 0:
        raise InvalidConfigError(f"route {route.name}: weights add up to 0")
    for weighted in route.services:
        if weighted.service not in service_names:
            raise InvalidConfigError(
                f"route {route.name}: unknown service {weighted.service}"
            )
