"""Randomized soak: daemons as processes under a seeded schedule of faults.

Holds the fleet, the faults, the callers and the checks of what they recorded;
README.rst tells how to run it. Only ``test_soak`` imports it.
"""
