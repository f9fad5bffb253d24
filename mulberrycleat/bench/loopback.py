"""Loopback addresses and single stand-in processes for measurements."""

from __future__ import annotations

import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import tomli_w

__all__ = ["free_address", "run_standin_process"]

START_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05


def free_address() -> str:
    """Return an unused ``ip:port`` on loopback."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


@contextmanager
def run_standin_process(kind: str, **settings: Any) -> Iterator[str]:
    """Run one stand-in as a process while the block is executed, and yield its address.

    Raises OSError if the process accepts no connection within ``START_TIMEOUT_S``.
    """
    address = free_address()
    with tempfile.TemporaryDirectory(prefix="mulberrycleat-") as directory:
        path = Path(directory) / f"{kind}.toml"
        path.write_text(tomli_w.dumps({"kind": kind, "listen": address, **settings}))
        command = [sys.executable, "-m", "mulberrycleat.standin.main", str(path)]
        process = subprocess.Popen(command, stdin=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
        try:
            _wait_for(address)
            yield address
        finally:
            process.terminate()
            process.wait()


def _wait_for(address: str) -> None:
    host, _, port = address.rpartition(":")
    deadline = time.monotonic() + START_TIMEOUT_S
    while True:
        try:
            socket.create_connection((host, int(port)), timeout=1).close()
            return
        except OSError:
            if time.monotonic() > deadline:
                raise
            time.sleep(POLL_INTERVAL_S)
