#!/usr/bin/env bash
# Checks the C++ sources with clang-format, cpplint and clang-tidy; exits non-zero
# on any finding. clang-tidy reads the compile commands in ${BUILD:-build}.
set -euo pipefail
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
mapfile -t FILES < <(git ls-files 'Source/*.cc' 'Source/*.h' 'platform/*.cc' \
  'platform/*.h')
clang-format --dry-run --Werror "${FILES[@]}"
cpplint --quiet "${FILES[@]}" >/dev/null
# Names of the platform's interface belong in platform/ and deploy/ only, so
# Source/ must not contain any.
if git grep -nIE \
  'X-Laburnumtiller|LABURNUMTILLER_|rows-(tx|get|feed|parts)|blob-(put|get|drop)|db_role|machine_class|cold_remaining_ms|api_keys|max_conns' \
  -- Source; then
  echo "lint: names of the platform's interface found in Source/" >&2
  exit 1
fi
mapfile -t UNITS < <(git ls-files 'Source/*.cc' 'platform/*.cc' |
  grep -v json_rpc.cc)
printf '%s\n' "${UNITS[@]}" |
  xargs -P "$(nproc)" -n 1 clang-tidy --quiet -p "$BUILD" 2>/dev/null
echo "lint clean"
