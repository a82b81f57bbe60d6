"""Limits of requests per second that upstreams name."""
