"""Decisions under load; no network, threads or clocks."""
