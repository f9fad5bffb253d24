"""Changes of the settings file while the host runs, with and without a signal."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path

import trio

from mulberrycleat.entry.app import EntryHost
from mulberrycleat.entry.decisions import DecisionLog
from mulberrycleat.platform.headers import PlatformHeaderCodec
from mulberrycleat.platform.settings import (
    BOOT_VARIABLE,
    FILE_CHECK_INTERVAL_S,
    SettingsFile,
    load_boot_settings,
    read_boot_settings,
)
from mulberrycleat.platform.store import PlatformStore
from mulberrycleat.platform.store_standin import StoreClient, StoreStandin
from mulberrycleat.testing import fixture

TEXT = """
node_name = "a1"
ip = "127.0.0.1"
zone = "z-a"
seeds = ["10.0.0.1:3"]
[listen]
front = "127.0.0.1:1"
readiness = "127.0.0.1:2"
control = "127.0.0.1:3"
[limits]
max_fds = 1000
[bounds]
grace_s = 8
retry_budget_ratio = 0.2
retry_slack = 20
[platform]
address = "127.0.0.1:4"
"""
CHANGED = TEXT.replace("retry_slack = 20", "retry_slack = 60").replace("10.0.0.1:3", "10.0.0.2:3")
PROCESS_TIMEOUT_S = 20.0


class Applied(list):
    """Settings that were applied."""


@fixture
def path():
    with tempfile.TemporaryDirectory() as directory:
        file = Path(directory, "node.toml")
        file.write_text(TEXT, encoding="utf-8")
        yield file


def watched(path: Path, apply: Callable) -> SettingsFile:
    return SettingsFile(path, "", apply, DecisionLog(lambda: 0.0))


async def test_a_file_that_changes_without_a_signal_is_applied(path):
    applied = Applied()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(watched(path, applied.append).watch)
        await trio.sleep(3 * FILE_CHECK_INTERVAL_S)
        assert not applied
        path.write_text(CHANGED, encoding="utf-8")
        os.utime(path, (1, 1))
        await trio.sleep(1.5 * FILE_CHECK_INTERVAL_S)
        nursery.cancel_scope.cancel()
    assert [settings.bounds.retry_slack for settings in applied] == [60.0]
    assert applied[0].seeds == ("10.0.0.2:3",)


async def test_a_file_that_can_not_be_read_changes_nothing(path):
    applied = Applied()
    file = watched(path, applied.append)
    for text in ("= 3", TEXT.replace("grace_s = 8", 'grace_s = "x"'), ""):
        path.write_text(text, encoding="utf-8")
        file.read_again()
    path.unlink()
    file.read_again()
    assert not applied


async def test_a_running_host_uses_changed_settings():
    settings = load_boot_settings(TEXT).ok_value
    store = PlatformStore(settings.store, StoreClient(StoreStandin(), "a1"), 0.4)
    host = EntryHost(settings, PlatformHeaderCodec(), store, DecisionLog(trio.current_time))
    host._retry_budget.set_hosts(1)
    before = host._retry_budget.left("huts", 0.0)
    host.apply_settings(load_boot_settings(CHANGED.replace("a1", "a2")).ok_value)
    assert host._retry_budget.left("huts", 0.0) == 3 * before
    assert host._peers() == ("10.0.0.2:3",)
    assert host._settings.host == "a1"


def test_the_number_of_descriptors_leaves_those_reserved_for_files(path):
    assert read_boot_settings(path).ok_value.max_descriptors == 800
    fault = load_boot_settings(TEXT.replace("1000", "200")).err_value[0]
    assert "max_fds" in str(fault)


def test_a_missing_variable_is_named():
    environment = {k: v for k, v in os.environ.items() if k != BOOT_VARIABLE}
    command = [sys.executable, "-m", "mulberrycleat.platform.main"]
    ended = subprocess.run(
        command, env=environment, capture_output=True, text=True, timeout=PROCESS_TIMEOUT_S
    )
    assert ended.returncode == 2
    assert BOOT_VARIABLE in ended.stderr
    assert "Traceback" not in ended.stderr


def test_a_process_applies_its_file_on_sighup(path):
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        base = probe.getsockname()[1]
    text = TEXT
    for name, number in (("front", 1), ("readiness", 2), ("control", 3)):
        text = text.replace(
            f'{name} = "127.0.0.1:{number}"', f'{name} = "127.0.0.1:{base + number}"'
        )
    path.write_text(text, encoding="utf-8")
    process = subprocess.Popen(
        [sys.executable, "-m", "mulberrycleat.platform.main"],
        env={**os.environ, BOOT_VARIABLE: str(path)},
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        _read_until(process, "started")
        path.write_text(text.replace("grace_s = 8", "grace_s = 5"), encoding="utf-8")
        process.send_signal(signal.SIGHUP)
        line = _read_until(process, "settings applied")
    finally:
        process.kill()
        process.wait(PROCESS_TIMEOUT_S)
        process.stdout.close()
    assert '"bounds"' in line


def _read_until(process: subprocess.Popen, text: str) -> str:
    for line in process.stdout:
        if text in line:
            return line
    raise AssertionError(f"the process has ended without the line {text!r}")
