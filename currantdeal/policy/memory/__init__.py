"""Allocation of the KV cache memory of engines."""
