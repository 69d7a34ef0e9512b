"""The daemon: runs the coordination library with sockets and timers."""
