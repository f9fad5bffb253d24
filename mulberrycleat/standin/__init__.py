"""Stand-ins for the platform services and for endpoints, used by tests and experiments."""
