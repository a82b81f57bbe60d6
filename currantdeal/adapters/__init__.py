"""Implementations of the ports."""
