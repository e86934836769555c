"""Retries parts."""
