"""Membership parts."""
