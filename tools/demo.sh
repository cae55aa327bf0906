#!/usr/bin/env bash
# Demonstration: builds everything, then runs each example with one host in each
# of three availability zones and stand-ins for the platform and the endpoints.
# Runs the example's workload, kills the primary of one group during it and
# prints the load report. Exits 0 only if every check held.
set -uo pipefail
cd "$(dirname "$0")/.."
tools/packages.sh && tools/build.sh || exit 1
. tools/cluster.sh
. tools/load.sh
status=0
demo() { # EXAMPLE WORKLOAD GROUP
  RUN=$(mktemp -d "${TMPDIR:-/tmp}/tiller.XXXXXX")
  echo "== $1: three hosts, one primary killed after 5 s"
  cluster_start "$1" 1 || return 1
  sleep 3
  (sleep 5; kill -9 "${PID_OF[$3-1]}") &
  cluster_load "$2" 12 --share=0.5 || return 1
  cluster_stop
  rm -rf "$RUN"
}
demo quote-ledger quotes quote-ledger-1 || status=1
demo saviya-core bookings saviya-core-1 || status=1
[ $status -eq 0 ] && echo "demo: every check held" || echo "demo: FAILED"
exit $status
