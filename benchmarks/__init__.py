"""Benchmarks and soaks of the product, run by ``bin/bench`` and others."""
