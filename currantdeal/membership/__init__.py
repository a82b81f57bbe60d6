"""Which instances are alive and which are homes of upstreams."""
