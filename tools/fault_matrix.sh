#!/usr/bin/env bash
# Prints the fault matrix's table and the count of cells; non-zero on a breach.
#   tools/fault_matrix.sh [--seed=N] [--seeds=N] [--singles] [--pairs]
set -euo pipefail
cd "$(dirname "$0")/.."
tools/build.sh
exec "${BUILD:-build}/Source/UnitTests/tiller-fault-matrix" "$@"
