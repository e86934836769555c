"""Requests parts."""
