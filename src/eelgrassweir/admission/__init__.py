"""Admission parts."""
