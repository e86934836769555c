"""System tests of the guarantees of a fleet, with real processes and faults.

Most faults are injected into whole daemons, connections or the store. The
fleets and the load come from ``testing.fleet`` and ``experiments.harness``.
"""
