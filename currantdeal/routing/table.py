"""Looks up the route and the organisation of a request."""

from currantdeal.organisations import KeyTable


class RouteTable:
    """Index of the routes of one configuration.

    Parameters
    ----------
    config : RoutingConfig
        A valid configuration.

    Examples
    --------
    >>> from currantdeal.routing.tests.builders import a_route, a_config
    >>> table = RouteTable(config=a_config(routes=(
    ...     a_route(name="all", prefix="/"),
    ...     a_route(name="shop", prefix="/shop/"))))
    >>> table.find("cakes.example", "/shop/menu?day=1").name
    'shop'
    >>> table.find("cakes.example", "/shop").name
    'all'
    >>> table.find("other.example", "/") is None
    True
    """

    def __init__(self, *, config):
        """Index the routes by host, longest prefix first."""
        self._config = config
        self._services = {service.name: service for service in config.services}
        self._by_host = {}
        for route in sorted(config.routes, key=lambda r: -len(r.prefix)):
            host = route.host.lower()
            self._by_host.setdefault(host, []).append(route)
        self._keys = KeyTable(organisations=config.organisations or ())

    @property
    def version(self):
        """Version of the configuration."""
        return self._config.version

    @property
    def limits(self):
        """The ``CallerLimits`` of the configuration."""
        return self._config.limits

    @property
    def needs_keys(self):
        """True if requests need a key, except on anonymous routes."""
        return self._config.organisations is not None

    @property
    def organisations(self):
        """All organisations."""
        return self._config.organisations or ()

    @property
    def services(self):
        """All services."""
        return self._config.services

    def service(self, name):
        """Return a service by its name."""
        return self._services[name]

    def find(self, host, target):
        """Return the route with the longest matching prefix, or None.

        Parameters
        ----------
        host : str
            Value of the Host header; a port is ignored.
        target : str
            Path and query.
        """
        path = target.partition("?")[0]
        name = host.rpartition(":")[0] if _has_port(host) else host
        for route in self._by_host.get(name.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_organisation(self, key_digest):
        """Return the organisation that holds a key, or None."""
        return self._keys.find(key_digest)

    def choose_service(self, route, random):
        """Return a random service of a route, according to the weights."""
        names = [weighted.service for weighted in route.services]
        if len(names) == 1:
            return self.service(names[0])
        weights = [weighted.weight for weighted in route.services]
        return self.service(random.choices(names, weights)[0])


def _has_port(host):
    name, colon, port = host.rpartition(":")
    return bool(colon) and port.isdigit() and bool(name)
