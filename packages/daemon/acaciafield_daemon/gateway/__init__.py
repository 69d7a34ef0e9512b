"""The gateway's I/O: sockets, timers and the log of one node.

Callers, workers and the platform use plain HTTP. The package imports the
HTTP library without TLS, because it would otherwise load the system's
certificates at import, which takes 0.09 s and 1.8 MB in every process.
"""

import contextlib
import ssl
import sys


@contextlib.contextmanager
def hide_module(module):
    """Make imports of a module fail inside the block."""
    sys.modules[module.__name__] = None
    try:
        yield
    finally:
        sys.modules[module.__name__] = module


with hide_module(ssl):
    import aiohttp  # noqa: F401
