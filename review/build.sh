#!/bin/sh
# The stand-ins of the scripts are Python files of the standard library; check that they compile.
cd "$(dirname "$0")" || exit 1
exec python3 - standins/*.py */case.py <<'CHECK'
import sys

for name in sys.argv[1:]:
    if "*" not in name:
        compile(open(name, encoding="utf-8").read(), name, "exec")
CHECK
