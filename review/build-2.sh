#!/usr/bin/env bash
# Builds every stand-in that a script of the second review starts. They are Python
# programs of this repository (platform/Soak) and of the cases, so nothing is compiled.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -B - platform/Soak/*.py review/[6-9]/*.py <<'PROGRAM'
import sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as source:
        compile(source.read(), path, "exec")
PROGRAM
