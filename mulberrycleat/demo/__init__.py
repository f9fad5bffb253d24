"""A fleet on one machine, shown at work."""
