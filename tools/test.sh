#!/usr/bin/env bash
# Installs missing packages, builds and lints the sources, and runs every test.
set -euo pipefail
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
tools/packages.sh
tools/build.sh
tools/lint.sh
ctest --test-dir "$BUILD" --output-on-failure -j "$(nproc)"
