"""Clock for bounds that must hold across a suspension of the machine."""

import time


def boot_time_s():
    """Return the seconds since boot, including time in suspension.

    ``time.monotonic`` stops while the machine is suspended, so an instance
    would use a view after waking up as if no time had passed.

    Examples
    --------
    >>> boot_time_s() <= boot_time_s()
    True
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
