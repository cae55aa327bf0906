#!/usr/bin/env bash
# Configures and builds everything into ${BUILD:-build}.
set -euo pipefail
cd "$(dirname "$0")/.."
BUILD=${BUILD:-build}
cmake -S . -B "$BUILD" -G Ninja >/dev/null
ninja -C "$BUILD" --quiet
