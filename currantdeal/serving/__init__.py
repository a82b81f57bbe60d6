"""Serves requests: admission, scheduling, retries and output streams."""
