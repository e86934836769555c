"""Shares parts."""
