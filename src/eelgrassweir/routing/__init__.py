"""Routing parts."""
