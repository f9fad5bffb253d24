"""The controller: one process on each host, which keeps the host's state."""
