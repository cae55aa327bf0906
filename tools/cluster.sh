#!/usr/bin/env bash
# Starts stand-ins and entry hosts of one example deployment over loopback.
# Source this file, then: cluster_start EXAMPLE HOSTS_PER_ZONE; cluster_stop.
# Every process it started is ended by pid; load never leaves loopback.

BUILD=${BUILD:-build}
BIN="$BUILD/Source/Programs"
PIDS=()
declare -A PID_OF

cluster_run() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >"$RUN/$name.log" 2>&1 &
  PID_OF[$name]=$!
  PIDS+=($!)
}

cluster_wait_http() { # URL
  for _ in $(seq 200); do
    curl -sf -m 1 -o /dev/null "$1" && return 0
    sleep 0.05
  done
  echo "no answer from $1" >&2
  return 1
}

cluster_settings() { # NAME ZONE CALLER_PORT CONTROL_PORT
  cat >"$RUN/$1.yaml" <<EOF
host: $1
zone: $2
caller_port: $3
control_port: $4
platform: "127.0.0.1:$PLATFORM_PORT"
peers: [$PEERS]
drain_delay_ms: 1000
log_level: info
EOF
}

cluster_host() { # NAME
  cluster_run "$1" "$BIN/tillerd" --settings="$RUN/$1.yaml"
}

cluster_endpoint() { # NAME PORT
  cluster_run "$1" "$BIN/tiller-endpoint" --name="$1" --port="$2" \
    --folder="$RUN/data-$1" --schema="examples/$EXAMPLE/schema.sql" \
    --slots="$SLOTS" --connections="$CONNECTIONS" --open-ms="$OPEN_MS" \
    --lag-ms=2 --statement-cost-us="${STATEMENT_COST_US:-300}"
}

cluster_start() { # EXAMPLE HOSTS_PER_ZONE
  EXAMPLE=$1
  local per_zone=$2
  RUN=${RUN:-$(mktemp -d "${TMPDIR:-/tmp}/tiller.XXXXXX")}
  case $EXAMPLE in
    quote-ledger) SLOTS=${BENCH_SED:+192} CONNECTIONS=${BENCH_SED:+200}; SLOTS=${SLOTS:-3} CONNECTIONS=${CONNECTIONS:-20} OPEN_MS=10 PLATFORM_PORT=7300 BASE=7310 ;;
    *) SLOTS=5 CONNECTIONS=50 OPEN_MS=30 PLATFORM_PORT=7500 BASE=7510 ;;
  esac
  trap cluster_stop EXIT
  trap "exit 1" INT TERM
  sed "s/^hosts_per_zone:.*/hosts_per_zone: $per_zone/; ${BENCH_SED:-}" \
    "examples/$EXAMPLE/questionnaire.yaml" >"$RUN/questionnaire.yaml"
  "$BIN/tiller-generate" --config="$RUN/config.json" --keys="$RUN/keys.txt" \
    "$RUN/questionnaire.yaml" || return 1
  cluster_run platform "$BIN/tiller-platform" --port="$PLATFORM_PORT"
  local group zone
  while read -r name port; do
    cluster_endpoint "$name" "$port"
  done < <(python3 - "$RUN/config.json" <<'EOF'
import json, sys
for group in json.load(open(sys.argv[1]))["groups"]:
    for e in group["endpoints"]:
        print(e["name"], e["address"].split(":")[1])
EOF
  )
  cluster_wait_http "http://127.0.0.1:$PLATFORM_PORT/v1/hosts" || return 1
  ZONES=($(sed -n 's/.*{name: \([a-z]*-[abc]\), region.*/\1/p' "$RUN/questionnaire.yaml"))
  HOSTS=() CALLERS=() CONTROLS=()
  local i=0 n=0
  PEERS=
  for n in $(seq 0 $((per_zone * 3 - 1))); do
    PEERS+="${PEERS:+, }\"127.0.0.1:$((BASE + 50 + n))\""
  done
  for zone in "${ZONES[@]}"; do
    for n in $(seq "$per_zone"); do
      local name="host-$zone-$n"
      cluster_settings "$name" "$zone" $((BASE + i)) $((BASE + 50 + i))
      HOSTS+=("$name") CALLERS+=("127.0.0.1:$((BASE + i))")
      CONTROLS+=("127.0.0.1:$((BASE + 50 + i))")
      cluster_host "$name"
      i=$((i + 1))
    done
  done
  for n in "${CONTROLS[@]}"; do cluster_wait_http "http://$n/health" || return 1; done
  "$BIN/tillerctl" --yes --host="${CONTROLS[0]}" config apply "$RUN/config.json" || return 1
  for n in "${CONTROLS[@]}"; do cluster_wait_http "http://$n/ready" || return 1; done
}

cluster_stop() {
  local pid
  for pid in "${PIDS[@]}"; do kill -CONT "$pid" 2>/dev/null; kill "$pid" 2>/dev/null; done
  sleep 0.2
  for pid in "${PIDS[@]}"; do kill -9 "$pid" 2>/dev/null; done
  wait 2>/dev/null
  PIDS=()
}
