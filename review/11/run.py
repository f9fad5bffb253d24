"""A prompt part far down in a long prompt crashes the servers that begin to answer it."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-3"))

import crashing  # noqa: E402

# With fewer than 63 parts before it, the part is refused after three crashes.
SETTING = crashing.Setting(leading_parts=int(os.environ.get("PARTS", "70")))

if __name__ == "__main__":
    sys.exit(asyncio.run(crashing.play(HERE, SETTING)))
