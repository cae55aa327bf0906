#!/usr/bin/env bash
# Formatter and linters over all sources; exits non-zero on any finding.
set -euo pipefail
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
mapfile -t FILES < <(git ls-files 'Source/*.cc' 'Source/*.h' 'platform/*.cc' \
  'platform/*.h')
clang-format --dry-run --Werror "${FILES[@]}"
cpplint --quiet "${FILES[@]}" >/dev/null
# The names of the platform's interface stay in platform/ and deploy/.
if git grep -nIE \
  'X-Laburnumtiller|LABURNUMTILLER_|rows-(tx|get|feed|parts)|blob-(put|get|drop)|db_role|machine_class|cold_remaining_ms|api_keys|max_conns' \
  -- Source; then
  echo "names of the platform outside platform/" >&2
  exit 1
fi
mapfile -t UNITS < <(git ls-files 'Source/*.cc' 'platform/*.cc' |
  grep -v json_rpc.cc)
printf '%s\n' "${UNITS[@]}" |
  xargs -P "$(nproc)" -n 1 clang-tidy --quiet -p "$BUILD" 2>/dev/null
echo "lint clean"
