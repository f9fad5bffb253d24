#!/bin/sh
# The scripts' stand-ins are Python files that need the standard library only. This checks that they
# can be compiled; the entry hosts are built by the line `build` of deploy/system.toml.
cd "$(dirname "$0")" && exec python3 -B -c '
import pathlib
for path in [*pathlib.Path("standins-3").glob("*.py"), *pathlib.Path(".").glob("1[1-5]/run.py")]:
    compile(path.read_text(), str(path), "exec")
'
