"""Exit statuses of the programs."""

__all__ = ["EXIT_BAD_SETTINGS"]

# Settings or arguments that can't be used, as command-line tools have it.
EXIT_BAD_SETTINGS = 2
