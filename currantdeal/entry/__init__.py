"""Entries: the life of a request between its caller and its upstreams."""
