"""The gateway's I/O: sockets, timers and the log of one node.

Callers, workers and the platform speak plain HTTP. The HTTP library is
loaded without TLS, as it would read the system's certificates at import:
that takes 0.09 s and 1.8 MB in every process.
"""

import contextlib
import ssl
import sys


@contextlib.contextmanager
def hide_module(module):
    """Let imports inside the block find no such module."""
    sys.modules[module.__name__] = None
    try:
        yield
    finally:
        sys.modules[module.__name__] = module


with hide_module(ssl):
    import aiohttp  # noqa: F401
