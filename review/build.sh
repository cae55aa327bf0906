#!/usr/bin/env bash
# Builds what the scripts under review/ start, besides the build of the deploy
# file. The stand-ins are Python programs that need the standard library only
# (python3 is one of the packages of tools/packages.sh), so this only checks that
# they can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in standin/*.py [1-5]/*.py; do
  [ -e "$file" ] || continue
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
test -x ../target/platform/tillerd-lakeshore || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
echo "stand-ins can be run"
