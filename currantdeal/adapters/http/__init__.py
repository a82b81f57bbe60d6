"""HTTP interface of an instance for callers, upstreams and operators."""

from currantdeal.adapters.http.app import App, Route, Routes
from currantdeal.adapters.http.server import HttpServer

__all__ = ["App", "HttpServer", "Route", "Routes"]
