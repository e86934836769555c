"""Config parts."""
