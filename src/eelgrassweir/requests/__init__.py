"""Requests: headers, contexts, tickets, refusals, records of tickets.

Must not import the mesh or platform packages, nor the daemon package except
for the types of its HTTP messages.
"""
