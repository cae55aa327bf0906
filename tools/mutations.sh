#!/usr/bin/env bash
# Mutation test: verifies that the checks can fail. Works in a scratch copy of
# HEAD, disables one mechanism at a time, builds the checks, and expects the
# mutation's check to fail.
#   tools/mutations.sh [TEXT]
# TEXT selects the mutations whose line in tools/mutations/list contains it. Each
# line has five fields, separated by tabs: the name of the mutation, a file, a
# text in it, its replacement, and the command of the check that must fail. Only
# the first occurrence of the text is replaced. JOBS is the number of parallel
# build jobs (default: 4). Prints one line for each mutation:
#   caught   the check failed, or was stopped after 300 s
#   MISSED   the check passed
#   BROKEN   the mutated source does not build
#   STALE    the file does not contain the text
# Exits 0 only if every selected mutation was caught.
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
