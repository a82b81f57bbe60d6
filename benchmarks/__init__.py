"""Measurements of the whole and of its parts."""
