"""Choice of upstreams, and of the stages of engines."""
