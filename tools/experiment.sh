#!/usr/bin/env bash
# Runs one experiment on real processes over loopback, at the brief's sizes:
# 3 zones, 9 hosts, 3 groups of 3 endpoints, 8 workspaces.
#   tools/experiment.sh SCENARIO [--seed N] [--example NAME] [--share X]
# Writes out/SCENARIO.json and out/SCENARIO.svg, prints one table, and exits
# non-zero when a promise was broken.
set -uo pipefail
cd "$(dirname "$0")/.."
SCENARIO=${1:-steady}
shift || true
SEED=1 NAME=quote-ledger SHARE=0.5
while [ $# -gt 0 ]; do
  case $1 in
    --seed) SEED=$2 ;;
    --example) NAME=$2 ;;
    --share) SHARE=$2 ;;
    *) echo "unknown option $1" >&2; exit 2 ;;
  esac
  shift 2
done
case $NAME in quote-ledger) WORKLOAD=quotes ;; *) WORKLOAD=bookings ;; esac
BUILD=${BUILD:-build}
. tools/cluster.sh
. tools/load.sh
RUN=$(mktemp -d "${TMPDIR:-/tmp}/tiller.XXXXXX")
mkdir -p out
MARKS=()
mark() { MARKS+=("$(($(date +%s%3N) - STARTED)):$1"); }
ctl() { "$BIN/tillerctl" --yes --host="${CONTROLS[1]}" "$@" >>"$RUN/ctl.log" 2>&1; }
platform_fault() {
  curl -s -m 3 -o /dev/null -d "$1" "http://127.0.0.1:$PLATFORM_PORT/standin/faults"
}
address_of() {
  python3 - "$RUN/config.json" "$1" <<'EOF'
import json, sys
for g in json.load(open(sys.argv[1]))["groups"]:
    for e in g["endpoints"]:
        if e["name"] == sys.argv[2]:
            print(e["address"])
EOF
}
endpoint_fault() { # the endpoint may have no connection free at first
  local _
  for _ in $(seq 20); do
    "$BIN/tiller-fault" "$(address_of "$1")" "$2" "$3" 2>/dev/null && return 0
    sleep 0.2
  done
  echo "fault $2 was not set on $1" >&2
}
all_endpoints() {
  python3 -c 'import json,sys
for g in json.load(open(sys.argv[1]))["groups"]:
    for e in g["endpoints"]: print(e["name"], e["zone"])' "$RUN/config.json"
}
primary_of() { # GROUP
  "$BIN/tillerctl" --json --host="${CONTROLS[1]}" status | python3 -c '
import json, sys
for g in json.load(sys.stdin)["groups"]:
    if g["group"] == sys.argv[1]: print(g["primary"])' "$1"
}

SECONDS_TOTAL=20
LOAD_OPTIONS=()
faults() { :; }
case $SCENARIO in
  steady) LOAD_OPTIONS=(--skew=0.5) SHARE=0.9 ;;
  noisy_workspace)
    noisy=$(sed -n 's/.*{name: \([a-z]*\), database.*-1, rate.*/\1/p' "examples/$NAME/questionnaire.yaml" | head -1)
    LOAD_OPTIONS=(--noisy="$noisy") ;;
  primary_death)
    faults() { sleep 6; mark kill; kill -9 "${PID_OF[$(primary_of "$NAME-1")]}"; } ;;
  primary_isolated)
    faults() {
      sleep 6
      local p
      p=$(primary_of "$NAME-1")
      mark isolate
      endpoint_fault "$p" block "host,$NAME,peers"
      sleep 7
      mark heal
      endpoint_fault "$p" block ""
    } ;;
  host_death)
    faults() { sleep 6; mark kill; kill -9 "${PID_OF[${HOSTS[0]}]}"; } ;;
  zone_out_and_back)
    SECONDS_TOTAL=26
    faults() {
      sleep 6; mark out; ctl zone out "${ZONES[0]}"
      sleep 10; mark in; ctl zone in "${ZONES[0]}"
    } ;;
  zone_cut_off)
    SECONDS_TOTAL=26
    # Over loopback the hosts themselves still hear each other; the cut is
    # between the zone and the platform, and between zones at the endpoints.
    faults() {
      sleep 6
      mark cut
      platform_fault "{\"cut\":[\"host-${ZONES[0]}\"]}"
      while read -r name zone; do
        if [ "$zone" = "${ZONES[0]}" ]; then
          endpoint_fault "$name" block "host-${ZONES[1]},host-${ZONES[2]},$NAME,peers" &
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
    SECONDS_TOTAL=60
    faults() {
      sleep 6; mark down; platform_fault '{"mode":"down"}'
      sleep 45; mark up; platform_fault '{"mode":"up"}'
    } ;;
  key_withdrawal)
    faults() { sleep 8; mark withdraw; ctl key withdraw "$(awk 'NR==1{print $2}' "$RUN/keys.txt")"; mark accepted; } ;;
  rolling_restart)
    SECONDS_TOTAL=75
    faults() {
      sleep 5
      local h
      for h in "${HOSTS[@]}"; do
        mark "$h"
        kill -TERM "${PID_OF[$h]}"
        while kill -0 "${PID_OF[$h]}" 2>/dev/null; do sleep 0.1; done
        cluster_host "$h"
        sleep 3
      done
    } ;;
  silent_connections)
    faults() {
      sleep 6; mark silent
      while read -r name _; do endpoint_fault "$name" silent_connections on & done < <(all_endpoints)
    } ;;
  replica_lag)
    faults() {
      sleep 6; mark lag
      while read -r name _; do endpoint_fault "$name" lag_ms 1500 & done < <(all_endpoints)
      sleep 7; mark healed
      while read -r name _; do endpoint_fault "$name" lag_ms 2 & done < <(all_endpoints)
    } ;;
  *) echo "unknown scenario $SCENARIO" >&2; exit 2 ;;
esac

cluster_start "$NAME" 3 || exit 1
sleep 9  # seats vote 5 s after they were taken
STARTED=$(date +%s%3N)
cluster_load "$WORKLOAD" "$SECONDS_TOTAL" --seed="$SEED" --share="$SHARE" \
  --report="$RUN/report.json" "${LOAD_OPTIONS[@]}" >"$RUN/table.txt" &
LOAD=$!
faults
wait "$LOAD"
code=$?
cat "$RUN/table.txt"
python3 - "$RUN/report.json" "out/$SCENARIO.json" "$SCENARIO" "$SEED" "${MARKS[@]}" <<'EOF'
import json, sys
report = json.load(open(sys.argv[1]))
report["scenario"], report["seed"] = sys.argv[3], int(sys.argv[4])
report["marks"] = [[int(m.split(":")[0]), m.split(":", 1)[1]] for m in sys.argv[5:]]
def share(first, last):
    rows = [r for r in report["series"] if first <= r[0] < last]
    offered = sum(r[1] for r in rows)
    return sum(r[2] for r in rows) / offered if offered else None
if report["marks"]:
    a, b = report["marks"][0][0], report["marks"][-1][0]
    end = report["series"][-1][0] + 250
    b = b if b > a else min(a + 3000, end)
    report["on_time_before"] = share(0, a)
    report["on_time_during"] = share(a, b)
    report["on_time_after"] = share(b, end)
    print("on time before %.5f  during %.5f  after %.5f" % tuple(
        x if x is not None else 1.0 for x in (report["on_time_before"],
        report["on_time_during"], report["on_time_after"])))
errors = {}
for w in report["workspaces"].values():
    for k, v in w.get("errors", {}).items():
        errors[k] = errors.get(k, 0) + v
print("errors", errors)
json.dump(report, open(sys.argv[2], "w"), indent=1)
with open(sys.argv[2].replace(".json", ".dat"), "w") as out:
    for r in report["series"]:
        print(r[0] / 1000, r[1] * 4, r[2] * 4, r[3] * 4, r[4] * 4, file=out)
EOF
if command -v gnuplot >/dev/null; then
  {
    echo "set terminal svg size 900,360; set output 'out/$SCENARIO.svg'"
    echo "set xlabel 'seconds'; set ylabel 'requests a second'; set key outside"
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
exit $code
