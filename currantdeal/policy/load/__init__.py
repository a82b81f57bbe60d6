"""Load of upstreams, and the demand that causes it."""
