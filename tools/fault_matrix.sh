#!/usr/bin/env bash
# Builds and runs the fault matrix. Each of its cells is a simulation: of one
# fault at one stage of one exchange, or of a pair of faults. Prints a table of the
# results, the first breaches of guarantees and the number of cells; exits
# non-zero on any breach. --singles and --pairs run only these cells.
#   tools/fault_matrix.sh [--seed=N] [--seeds=N] [--singles] [--pairs]
set -euo pipefail
cd "$(dirname "$0")/.."
tools/build.sh
exec "${BUILD:-build}/Source/UnitTests/tiller-fault-matrix" "$@"
