"""Adapter for the interface of the platform that runs the deployments.

The platform's names, formats and calls appear only in this package, which
decodes them once into the program's own types and makes no decisions.
"""
