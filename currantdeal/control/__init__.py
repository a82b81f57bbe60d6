"""Maintains the replicated configuration, the registry and the directory."""
