"""Health of upstreams and detection of outliers."""
