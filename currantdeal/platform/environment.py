"""Reads the environment variables that the platform sets for a process."""

SETTINGS_VARIABLE = "CURRANTDEAL_SETTINGS"


def settings_path(environment):
    """Return the path of the settings file; empty if it is not set."""
    return environment.get(SETTINGS_VARIABLE, "")
