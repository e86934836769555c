"""Store parts."""
