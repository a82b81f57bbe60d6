"""Admission, queueing and dispatch of the product's own interface."""
