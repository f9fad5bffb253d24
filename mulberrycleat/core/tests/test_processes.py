"""Programs start no other process on import."""

from __future__ import annotations

import subprocess
import sys

PROGRAMS = ("router", "controller", "cli", "standin", "burn")
AUDIT = """
import sys
STARTS = ("subprocess.Popen", "os.posix_spawn", "os.fork", "os.forkpty", "os.system", "os.exec")
found = []
sys.addaudithook(lambda event, args: found.append(event) if event in STARTS else None)
import mulberrycleat.{program}.main
print(found)
"""


def test_no_program_starts_a_process_on_import():
    for program in PROGRAMS:
        command = [sys.executable, "-c", AUDIT.format(program=program)]
        done = subprocess.run(command, capture_output=True, text=True, check=True)
        assert done.stdout.strip() == "[]", f"{program}: {done.stdout}"
