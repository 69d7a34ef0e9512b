"""Benchmarks, the demo, and the scaffolding that they share."""
