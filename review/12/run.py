"""A prompt part crashes servers once they have written the first event of the answer."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-3"))

import crashing  # noqa: E402

# Without an event before the crash, the part is refused after three crashes.
SETTING = crashing.Setting(events_before_crash=int(os.environ.get("EVENTS", "1")))

if __name__ == "__main__":
    sys.exit(asyncio.run(crashing.play(HERE, SETTING)))
