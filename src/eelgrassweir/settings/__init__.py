"""Settings of a daemon: generated classes and their loader."""
