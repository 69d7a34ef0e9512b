"""Benchmarks, the demo, and the helper modules that they share."""
