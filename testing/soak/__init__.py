"""Randomized soak of real daemons on the platform's stand-ins."""
