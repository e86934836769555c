"""Stand-ins of the second review: targets, clients, store and deployment."""
