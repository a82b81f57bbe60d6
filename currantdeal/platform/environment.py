"""What the platform puts into a process's environment."""

SETTINGS_VARIABLE = "CURRANTDEAL_SETTINGS"


def settings_path(environment):
    """Return the path of the settings file."""
    return environment.get(SETTINGS_VARIABLE, "")
