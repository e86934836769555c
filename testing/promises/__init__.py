"""System tests of the guarantees of a fleet, with real processes and faults.

The fleets come from ``testing.fleet``, load and random faults from
``experiments``.
"""
