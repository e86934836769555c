"""Admission control: concurrency limit, call queue, throttle, backpressure.

Must not import the daemon, mesh or platform packages.
"""
