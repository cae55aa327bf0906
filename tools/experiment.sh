#!/usr/bin/env bash
# Runs one experiment with real processes over loopback, at the sizes that the
# requirements give: 3 zones, 9 hosts, 3 groups of 3 endpoints, 8 workspaces.
#   tools/experiment.sh SCENARIO [--seed N] [--example NAME] [--share X]
# SCENARIO is one of the scenarios below (default: steady), --example a folder of
# examples/, and --share the offered load as a fraction of each workspace's rate.
# The scenario steady always uses a share of 0.9.
# Writes the report to out/SCENARIO.json and, if gnuplot is installed, a chart to
# out/SCENARIO.svg. Prints a table of the workspaces and the totals. Exits with
# the code of tiller-load, which is non-zero if a guarantee was violated, with 1
# if the deployment did not start, or with 2 for an unknown scenario or option. If
# KEEP is set, the working directory is kept and its path printed.
set -uo pipefail
cd "$(dirname "$0")/.."
SCENARIO=${1:-steady}
shift || true
SEED=1 EXAMPLE_NAME=quote-ledger SHARE=0.5
while [ $# -gt 0 ]; do
  case $1 in
    --seed) SEED=$2 ;;
    --example) EXAMPLE_NAME=$2 ;;
    --share) SHARE=$2 ;;
    *) echo "unknown option $1" >&2; exit 2 ;;
  esac
  shift 2
done
case $EXAMPLE_NAME in quote-ledger) WORKLOAD=quotes ;; *) WORKLOAD=bookings ;; esac
BUILD=${BUILD:-build}
. tools/cluster.sh
. tools/load.sh
RUN=$(mktemp -d "${TMPDIR:-/tmp}/tiller.XXXXXX")
mkdir -p out
# Times at which faults begin or end, each as MILLISECONDS:LABEL, counted from
# the start of the load. They become "marks" in the report and vertical lines in
# the chart.
MARKS=()
mark() { # LABEL
  MARKS+=("$(($(date +%s%3N) - LOAD_START_MS)):$1")
}
# Runs tillerctl, with its output in $RUN/ctl.log.
ctl() { "$BIN/tillerctl" --yes --host="${CONTROLS[1]}" "$@" >>"$RUN/ctl.log" 2>&1; }
# Sets or ends a fault of the stand-in platform.
platform_fault() { # JSON
  curl -s -m 3 -o /dev/null -d "$1" "http://127.0.0.1:$PLATFORM_PORT/standin/faults"
}
# Prints the address of an endpoint.
address_of() { # ENDPOINT
  python3 - "$RUN/config.json" "$1" <<'EOF'
import json, sys
for g in json.load(open(sys.argv[1]))["groups"]:
    for e in g["endpoints"]:
        if e["name"] == sys.argv[2]:
            print(e["address"])
EOF
}
# Sets or ends a fault of a stand-in endpoint. Retries, since the endpoint may
# have no free connection at first.
endpoint_fault() { # ENDPOINT KIND VALUE
  local _
  for _ in $(seq 20); do
    "$BIN/tiller-fault" "$(address_of "$1")" "$2" "$3" 2>/dev/null && return 0
    sleep 0.2
  done
  echo "fault $2 could not be set on $1 in 20 attempts" >&2
}
# Prints the name and the zone of each endpoint.
all_endpoints() {
  python3 -c 'import json,sys
for g in json.load(open(sys.argv[1]))["groups"]:
    for e in g["endpoints"]: print(e["name"], e["zone"])' "$RUN/config.json"
}
# Prints the name of the primary of a group.
primary_of() { # GROUP
  "$BIN/tillerctl" --json --host="${CONTROLS[1]}" status | python3 -c '
import json, sys
for g in json.load(sys.stdin)["groups"]:
    if g["group"] == sys.argv[1]: print(g["primary"])' "$1"
}

# Defaults, which a scenario may replace. inject_faults runs during the load.
LOAD_SECONDS=20
LOAD_OPTIONS=()
inject_faults() { :; }
case $SCENARIO in
  steady) LOAD_OPTIONS=(--skew=0.5) SHARE=0.9 ;;
  noisy_workspace)
    noisy=$(sed -n 's/.*{name: \([a-z]*\), database.*-1, rate.*/\1/p' "examples/$EXAMPLE_NAME/questionnaire.yaml" | head -1)
    LOAD_OPTIONS=(--noisy="$noisy") ;;
  primary_death)
    inject_faults() { sleep 6; mark kill; kill -9 "${PID_OF[$(primary_of "$EXAMPLE_NAME-1")]}"; } ;;
  primary_isolated)
    inject_faults() {
      sleep 6
      local primary
      primary=$(primary_of "$EXAMPLE_NAME-1")
      mark isolate
      endpoint_fault "$primary" block "host,$EXAMPLE_NAME,peers"
      sleep 7
      mark heal
      endpoint_fault "$primary" block ""
    } ;;
  host_death)
    inject_faults() { sleep 6; mark kill; kill -9 "${PID_OF[${HOSTS[0]}]}"; } ;;
  zone_out_and_back)
    LOAD_SECONDS=26
    inject_faults() {
      sleep 6; mark out; ctl zone out "${ZONES[0]}"
      sleep 10; mark in; ctl zone in "${ZONES[0]}"
    } ;;
  zone_cut_off)
    LOAD_SECONDS=26
    # The hosts can still reach each other over loopback. The fault cuts the
    # zone's hosts off from the platform, the hosts of each side from the
    # endpoints of the other side, and the zone's endpoints from their groups.
    inject_faults() {
      sleep 6
      mark cut
      platform_fault "{\"cut\":[\"host-${ZONES[0]}\"]}"
      while read -r name zone; do
        if [ "$zone" = "${ZONES[0]}" ]; then
          endpoint_fault "$name" block "host-${ZONES[1]},host-${ZONES[2]},$EXAMPLE_NAME,peers" &
        else
          endpoint_fault "$name" block "host-${ZONES[0]}" &
        fi
      done < <(all_endpoints)
      sleep 10
      mark heal
      platform_fault '{"mode":"up"}'
      while read -r name zone; do endpoint_fault "$name" block "" & done < <(all_endpoints)
    } ;;
  platform_outage)
    LOAD_SECONDS=60
    inject_faults() {
      sleep 6; mark down; platform_fault '{"mode":"down"}'
      sleep 45; mark up; platform_fault '{"mode":"up"}'
    } ;;
  key_withdrawal)
    inject_faults() { sleep 8; mark withdraw; ctl key withdraw "$(awk 'NR==1{print $2}' "$RUN/keys.txt")"; mark accepted; } ;;
  rolling_restart)
    LOAD_SECONDS=75
    inject_faults() {
      sleep 5
      local host
      for host in "${HOSTS[@]}"; do
        mark "$host"
        kill -TERM "${PID_OF[$host]}"
        while kill -0 "${PID_OF[$host]}" 2>/dev/null; do sleep 0.1; done
        cluster_host "$host"
        sleep 3
      done
    } ;;
  silent_connections)
    inject_faults() {
      sleep 6; mark silent
      while read -r name _; do endpoint_fault "$name" silent_connections on & done < <(all_endpoints)
    } ;;
  replica_lag)
    inject_faults() {
      sleep 6; mark lag
      while read -r name _; do endpoint_fault "$name" lag_ms 1500 & done < <(all_endpoints)
      sleep 7; mark healed
      while read -r name _; do endpoint_fault "$name" lag_ms 2 & done < <(all_endpoints)
    } ;;
  *) echo "unknown scenario $SCENARIO" >&2; exit 2 ;;
esac

cluster_start "$EXAMPLE_NAME" 3 || exit 1
sleep 9  # a newly acquired seat does not vote for 5 s
LOAD_START_MS=$(date +%s%3N)
cluster_load "$WORKLOAD" "$LOAD_SECONDS" --seed="$SEED" --share="$SHARE" \
  --report="$RUN/report.json" "${LOAD_OPTIONS[@]}" >"$RUN/table.txt" &
LOAD_PID=$!
inject_faults
wait "$LOAD_PID"
exit_code=$?
cat "$RUN/table.txt"
python3 - "$RUN/report.json" "out/$SCENARIO.json" "$SCENARIO" "$SEED" "${MARKS[@]}" <<'EOF'
import json, sys
report = json.load(open(sys.argv[1]))
report["scenario"], report["seed"] = sys.argv[3], int(sys.argv[4])
report["marks"] = [[int(m.split(":")[0]), m.split(":", 1)[1]] for m in sys.argv[5:]]
# Rows of the series: time in ms, then the numbers of offered, on-time, refused
# and write requests in 250 ms; four times these is the rate per second.
def on_time_share(first, last):
    rows = [r for r in report["series"] if first <= r[0] < last]
    offered = sum(r[1] for r in rows)
    return sum(r[2] for r in rows) / offered if offered else None
if report["marks"]:
    fault_start, fault_end = report["marks"][0][0], report["marks"][-1][0]
    end = report["series"][-1][0] + 250
    # A fault with a single mark counts as lasting 3 s.
    fault_end = fault_end if fault_end > fault_start else min(fault_start + 3000, end)
    report["on_time_before"] = on_time_share(0, fault_start)
    report["on_time_during"] = on_time_share(fault_start, fault_end)
    report["on_time_after"] = on_time_share(fault_end, end)
    print("on time before %.5f  during %.5f  after %.5f" % tuple(
        x if x is not None else 1.0 for x in (report["on_time_before"],
        report["on_time_during"], report["on_time_after"])))
errors = {}
for workspace in report["workspaces"].values():
    for code, count in workspace.get("errors", {}).items():
        errors[code] = errors.get(code, 0) + count
print("errors", errors)
json.dump(report, open(sys.argv[2], "w"), indent=1)
with open(sys.argv[2].replace(".json", ".dat"), "w") as out:
    for r in report["series"]:
        print(r[0] / 1000, r[1] * 4, r[2] * 4, r[3] * 4, r[4] * 4, file=out)
EOF
if command -v gnuplot >/dev/null; then
  {
    echo "set terminal svg size 900,360; set output 'out/$SCENARIO.svg'"
    echo "set xlabel 'seconds'; set ylabel 'requests per second'; set key outside"
    echo "set title '$SCENARIO'; set yrange [0:*]"
    i=1
    for m in "${MARKS[@]}"; do
      t=$(awk "BEGIN{print ${m%%:*}/1000}")
      echo "set arrow $i from $t, graph 0 to $t, graph 1 nohead lc rgb 'red'"
      i=$((i + 1))
    done
    echo "plot 'out/$SCENARIO.dat' using 1:2 with lines title 'offered', '' using 1:3 with lines title 'on time', '' using 1:4 with lines title 'refused', '' using 1:5 with lines title 'writes'"
  } | gnuplot
fi
rm -f "out/$SCENARIO.dat"
if [ -n "${KEEP:-}" ]; then echo "kept $RUN"; else cluster_stop 2>/dev/null; rm -rf "$RUN"; fi
exit $exit_code
