"""Experiments, one module for each."""
