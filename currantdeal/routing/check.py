"""What makes a configuration invalid.

An invalid configuration is refused as a whole, with the first reason found.
If it came into force, requests would go to a service that does not exist, or
to one of two routes by chance; callers would notice it as errors on routes
that worked before the change.
"""

from currantdeal.routing.errors import InvalidConfigError


def check_config(config):
    """Raise ``InvalidConfigError`` unless the configuration may be used.

    Examples
    --------
    >>> from currantdeal.routing import RoutingConfig, check_config
    >>> check_config(RoutingConfig(version=1, routes=(), services=()))
    """
    known = _service_names(config)
    places = set()
    for route in config.routes:
        _check_route(route, known)
        place = (route.host, route.prefix)
        if place in places:
            raise InvalidConfigError(
                f"route {route.name}: {route.host}{route.prefix} is taken"
            )
        places.add(place)


def _service_names(config):
    names = {service.name for service in config.services}
    if len(names) != len(config.services):
        raise InvalidConfigError("two services have the same name")
    return names


def _check_route(route, known):
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        raise InvalidConfigError(
            f"route {route.name}: the prefix {route.prefix!r} must begin and"
            " end with a slash"
        )
    if route.timeout_s <= 0.0:
        raise InvalidConfigError(f"route {route.name}: its timeout is 0")
    if any(part.weight < 0 for part in route.services):
        raise InvalidConfigError(f"route {route.name}: a weight is negative")
    if sum(part.weight for part in route.services) <= 0:
        raise InvalidConfigError(f"route {route.name}: weights add up to 0")
    for part in route.services:
        if part.service not in known:
            raise InvalidConfigError(
                f"route {route.name}: unknown service {part.service}"
            )
