"""Generated messages."""
