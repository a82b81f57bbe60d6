"""Provide stand-ins and a fault-injecting proxy for tests and benchmarks."""
