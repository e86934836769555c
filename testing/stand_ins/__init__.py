"""Stand-ins for systems outside the project."""
