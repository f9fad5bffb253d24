"""``bin/demo --serve`` as a process: its output and its exit on SIGTERM."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path

from mulberrycleat.demo.callers import chat
from mulberrycleat.testing import fixture

COMMAND = [sys.executable, "-m", "mulberrycleat.demo.main", "--serve"]
EXIT_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.02


@fixture
def demo() -> Iterator[subprocess.Popen[str]]:
    """Yield a demo that has just been started, and terminate it after the test."""
    process = subprocess.Popen(COMMAND, stdout=subprocess.PIPE, text=True)
    yield process
    if process.poll() is None:
        process.terminate()
        process.wait(EXIT_TIMEOUT_S)
    process.stdout.close()


def children_of(pid: int) -> list[int]:
    return [int(word) for word in Path(f"/proc/{pid}/task/{pid}/children").read_text().split()]


def is_alive(pid: int) -> bool:
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return True


def test_serve_prints_its_description_and_exits_cleanly_on_sigterm(demo):
    description = json.loads(demo.stdout.readline())
    assert set(description["keys"]) == {"dolerite", "swan-coastal"}
    assert len(description["routers"]) == len(description["controllers"]) == 3
    assert set(description["pids"]) == set(description["settings"])
    assert all(map(is_alive, description["pids"].values()))
    assert all(Path(path).exists() for path in description["settings"].values())
    address = next(iter(description["routers"].values())).removeprefix("http://")
    answer = chat(address, description["keys"]["dolerite"], "survey-large", "Open?", 4)
    assert answer["usage"]["completion_tokens"] == 4
    demo.send_signal(signal.SIGTERM)
    assert demo.wait(EXIT_TIMEOUT_S) == 0
    assert not any(map(is_alive, description["pids"].values()))


def test_stop_signal_during_startup_leaves_no_process(demo):
    while not (children := children_of(demo.pid)):
        time.sleep(POLL_INTERVAL_S)
    demo.send_signal(signal.SIGTERM)
    assert demo.wait(EXIT_TIMEOUT_S) == 0
    assert demo.stdout.read() == ""
    assert not any(map(is_alive, children))
