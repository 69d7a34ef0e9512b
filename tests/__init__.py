"""Tests of the whole project."""
