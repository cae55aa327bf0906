#!/usr/bin/env bash
# Shows that the checks can fail: removes one mechanism at a time in a scratch
# copy, builds the checks, and expects at least one of them to fail.
# Each line of tools/mutations/list names it, a file, a text, its replacement
# and the check that should catch it, between tabs. An argument runs only the
# mutations whose line contains it.
set -uo pipefail
cd "$(dirname "$0")/.."
SCRATCH=$(mktemp -d "${TMPDIR:-/tmp}/tiller.XXXXXX")
trap 'rm -rf "$SCRATCH"' EXIT
git archive HEAD | tar -x -C "$SCRATCH"
cmake -S "$SCRATCH" -B "$SCRATCH/build" -G Ninja >/dev/null
TARGETS="tiller-fault-matrix control_test traffic_test limits_test standin_test failover_model_test session_test"
ninja -C "$SCRATCH/build" -j "${JOBS:-4}" --quiet $TARGETS || exit 1
caught=0 total=0
while IFS= read -r line; do
  IFS=$'\x1f' read -r name file from to check <<<"${line//$'\t'/$'\x1f'}"
  [ -n "$name" ] || continue
  case $line in *"${1:-}"*) ;; *) continue ;; esac
  total=$((total + 1))
  cp "$SCRATCH/$file" "$SCRATCH/original"
  FROM="$from" TO="$to" python3 - "$SCRATCH/$file" <<'EOF' || { echo "STALE   $name"; continue; }
import os, sys
text = open(sys.argv[1]).read()
source, target = (os.environ[k].replace("\\n", "\n") for k in ("FROM", "TO"))
if source not in text: sys.exit(1)
open(sys.argv[1], "w").write(text.replace(source, target, 1))
EOF
  if ! ninja -C "$SCRATCH/build" -j "${JOBS:-4}" --quiet $TARGETS >"$SCRATCH/log" 2>&1; then
    echo "BROKEN  $name (does not build)"
  elif (cd "$SCRATCH/build/Source/UnitTests" && RC_PARAMS="seed=20261204" timeout 300 $check >"$SCRATCH/log" 2>&1); then
    echo "MISSED  $name by $check"
  else
    caught=$((caught + 1))
    echo "caught  $name by ${check%% *}: $(grep -m1 -E '^BREACH |FAILED  \]' "$SCRATCH/log" | cut -c1-110)"
  fi
  cp "$SCRATCH/original" "$SCRATCH/$file"
done <tools/mutations/list
echo "$caught of $total mutations caught"
[ "$caught" -eq "$total" ]
