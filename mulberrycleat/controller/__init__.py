"""The controller: one process a host that keeps its state."""
