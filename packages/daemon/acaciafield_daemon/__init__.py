"""The daemon: sockets and timers around the coordination library."""
