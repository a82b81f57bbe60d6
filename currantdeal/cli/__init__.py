"""The daemon and the operators' commands."""
