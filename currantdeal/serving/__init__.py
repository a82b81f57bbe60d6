"""The life of a request."""
