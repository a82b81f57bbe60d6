"""Measurements of the product, run by ``bin/bench``."""
