"""The gateway: callers, workers, other nodes and the store over I/O."""
