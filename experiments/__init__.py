"""Experiments with real processes."""
