"""Daemon parts."""
