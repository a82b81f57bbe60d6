"""How many requests an upstream may get that has named a limit.

Examples
--------
>>> allowed_requests(2.0)
17.0
>>> most_in_window([0.0, 1.0, 4.0, 4.5, 9.0])
3
"""

WINDOW_S = 4.0
OVERSHOOT = 1.5
SLACK = 5
"""In each window it gets ``OVERSHOOT`` times its limit at most, and these."""


def allowed_requests(rate_per_s):
    """Return how many requests a limit allows in a window."""
    return OVERSHOOT * rate_per_s * WINDOW_S + SLACK


def most_in_window(times_s):
    """Return the largest number of times in any window."""
    times_s = sorted(times_s)
    most, first = 0, 0
    for last, time_s in enumerate(times_s):
        while time_s - times_s[first] > WINDOW_S:
            first += 1
        most = max(most, last - first + 1)
    return most
