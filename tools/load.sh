#!/usr/bin/env bash
# Runs tiller-load against the deployment that cluster_start of cluster.sh
# started. OPTIONs are passed on to tiller-load, and its exit code is returned.
cluster_load() { # WORKLOAD SECONDS [OPTION...]
  local workload=$1 seconds=$2
  shift 2
  local callers controls
  callers=$(IFS=,; echo "${CALLERS[*]}")
  controls=$(IFS=,; echo "${CONTROLS[*]}")
  "$BIN/tiller-load" --workload="$workload" --seconds="$seconds" \
    --callers="$callers" --controls="$controls" --config="$RUN/config.json" \
    --keys="$RUN/keys.txt" "$@"
}
