"""``bin/demo --serve`` as a process: what it prints, and its end on SIGTERM."""

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
END_TIMEOUT_S = 60.0
POLL_S = 0.02


@fixture
def demo() -> Iterator[subprocess.Popen[str]]:
    """Return a demo that has just been started."""
    process = subprocess.Popen(COMMAND, stdout=subprocess.PIPE, text=True)
    yield process
    if process.poll() is None:
        process.terminate()
        process.wait(END_TIMEOUT_S)
    process.stdout.close()


def children_of(pid: int) -> list[int]:
    return [int(word) for word in Path(f"/proc/{pid}/task/{pid}/children").read_text().split()]


def is_alive(pid: int) -> bool:
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return True


def test_serve_prints_where_everything_is_and_ends_cleanly(demo):
    told = json.loads(demo.stdout.readline())
    assert set(told["keys"]) == {"dolerite", "swan-coastal"}
    assert len(told["routers"]) == len(told["controllers"]) == 3
    assert set(told["pids"]) == set(told["settings"])
    assert all(map(is_alive, told["pids"].values()))
    assert all(Path(path).exists() for path in told["settings"].values())
    address = next(iter(told["routers"].values())).removeprefix("http://")
    answer = chat(address, told["keys"]["dolerite"], "survey-large", "Open?", 4)
    assert answer["usage"]["completion_tokens"] == 4
    demo.send_signal(signal.SIGTERM)
    assert demo.wait(END_TIMEOUT_S) == 0
    assert not any(map(is_alive, told["pids"].values()))


def test_stop_signal_during_the_start_leaves_no_process(demo):
    while not (children := children_of(demo.pid)):
        time.sleep(POLL_S)
    demo.send_signal(signal.SIGTERM)
    assert demo.wait(END_TIMEOUT_S) == 0
    assert demo.stdout.read() == ""
    assert not any(map(is_alive, children))
