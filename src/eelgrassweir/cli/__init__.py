"""Cli parts."""
