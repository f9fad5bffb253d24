"""``bin/bench``: measurements. Each module of this package with a ``command`` is one of them."""

from __future__ import annotations

import importlib
import pkgutil

import click

import mulberrycleat.bench

__all__ = ["main"]


class BenchGroup(click.Group):
    """Commands found in the package."""

    def list_commands(self, context: click.Context) -> list[str]:
        """Return the names of the measurements."""
        return sorted(name for name in _names() if self.get_command(context, name))

    def get_command(self, context: click.Context, name: str) -> click.Command | None:
        """Return one measurement."""
        if name not in _names():
            return None
        module = importlib.import_module(f"mulberrycleat.bench.{name}")
        return getattr(module, "command", None)


def _names() -> list[str]:
    return [info.name for info in pkgutil.iter_modules(mulberrycleat.bench.__path__)]


@click.command(cls=BenchGroup)
def main() -> None:
    """Measure. Each command prints a table and, as its last line, one JSON object."""


if __name__ == "__main__":
    main()
