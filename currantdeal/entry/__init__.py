"""Entries: the processes that route requests from callers to upstreams."""
