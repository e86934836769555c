"""Load experiments on a fleet of real processes.

``scenarios`` holds the experiments, ``harness`` the load and its measures,
``faults`` random faults; ``demo`` and ``serve`` start the demo fleet. The
source in src/ must not import from here.
"""
