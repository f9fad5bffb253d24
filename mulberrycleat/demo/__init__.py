"""Demo of a fleet on one machine."""
