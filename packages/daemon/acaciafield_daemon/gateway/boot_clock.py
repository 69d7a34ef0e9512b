"""The clock for the age of the configuration."""

import time


def read_boot_clock():
    """Return the seconds since the host's boot.

    Unlike the clock of the event loop, it also counts the time while the
    host is suspended.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
