#!/usr/bin/env bash
# Installs those Debian packages that the build and the tests need and that are
# not installed yet.
set -euo pipefail
PACKAGES=(
  ccache clang-format clang-tidy cmake cpplint curl g++ ninja-build python3
  libboost-dev libgtest-dev libjsoncpp-dev libjsonrpccpp-dev liblog4cxx-dev
  libpg-query-dev libpopt-dev libpq-dev librapidcheck-dev libsqlite3-dev
  libssl-dev libyaml-cpp-dev libbenchmark-dev
)
missing=()
for package in "${PACKAGES[@]}"; do
  dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done
if [ ${#missing[@]} -gt 0 ]; then
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}" >/dev/null
fi
