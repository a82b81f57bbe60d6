"""Processes of a deployment and the operators' command-line client."""
