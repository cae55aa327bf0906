#!/usr/bin/env bash
# Functions that run one example deployment on loopback: the hosts, and
# stand-ins for the platform and the database endpoints. Source this file, then:
#   cluster_start EXAMPLE HOSTS_PER_ZONE
#   cluster_stop
# cluster_start sets, for the script that sources this file:
#   RUN       working directory with settings, data and logs, unless set before
#   ZONES     names of the availability zones
#   HOSTS     names of the hosts
#   CALLERS   address of each host for clients, in the order of HOSTS
#   CONTROLS  control address of each host, in the order of HOSTS
#   PID_OF    process id by the name of a host or an endpoint
# Processes are ended by their ids only, and no traffic leaves loopback.

BUILD=${BUILD:-build}
BIN="$BUILD/Source/Programs"
PIDS=()
declare -A PID_OF

# Runs a command in the background, with its output in $RUN/NAME.log.
cluster_run() { # NAME COMMAND...
  local name=$1
  shift
  "$@" >"$RUN/$name.log" 2>&1 &
  PID_OF[$name]=$!
  PIDS+=($!)
}

# Waits until a GET of the URL succeeds; fails after 200 attempts.
cluster_wait_http() { # URL
  for _ in $(seq 200); do
    curl -sf -m 1 -o /dev/null "$1" && return 0
    sleep 0.05
  done
  echo "$1 did not answer with success in 200 attempts" >&2
  return 1
}

# Writes the settings file of a host.
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

# Starts a host with the settings file written before.
cluster_host() { # NAME
  cluster_run "$1" "$BIN/tillerd" --settings="$RUN/$1.yaml"
}

# Starts a stand-in endpoint.
cluster_endpoint() { # NAME PORT
  cluster_run "$1" "$BIN/tiller-endpoint" --name="$1" --port="$2" \
    --folder="$RUN/data-$1" --schema="examples/$EXAMPLE/schema.sql" \
    --slots="$SLOTS" --connections="$CONNECTIONS" --open-ms="$OPEN_MS" \
    --lag-ms=2 --statement-cost-us="${STATEMENT_COST_US:-300}"
}

# Starts the deployment, applies its configuration and waits until all hosts are
# ready. If BENCH_SED is set, it is a sed script that is applied to the
# questionnaire; the stand-in endpoints of quote-ledger then get the numbers of
# slots and connections that the script of bench.sh sets.
cluster_start() { # EXAMPLE HOSTS_PER_ZONE
  EXAMPLE=$1
  local per_zone=$2
  RUN=${RUN:-$(mktemp -d "${TMPDIR:-/tmp}/tiller.XXXXXX")}
  case $EXAMPLE in
    quote-ledger) SLOTS=${BENCH_SED:+192} CONNECTIONS=${BENCH_SED:+200}; SLOTS=${SLOTS:-3} CONNECTIONS=${CONNECTIONS:-20} OPEN_MS=10 PLATFORM_PORT=7300 FIRST_CALLER_PORT=7310 ;;
    *) SLOTS=5 CONNECTIONS=50 OPEN_MS=30 PLATFORM_PORT=7500 FIRST_CALLER_PORT=7510 ;;
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
  # Host i listens for clients on FIRST_CALLER_PORT + i, and for operators and
  # other hosts on the port 50 above it.
  HOSTS=() CALLERS=() CONTROLS=()
  local i=0 n=0 control
  PEERS=
  for n in $(seq 0 $((per_zone * 3 - 1))); do
    PEERS+="${PEERS:+, }\"127.0.0.1:$((FIRST_CALLER_PORT + 50 + n))\""
  done
  for zone in "${ZONES[@]}"; do
    for n in $(seq "$per_zone"); do
      local name="host-$zone-$n"
      cluster_settings "$name" "$zone" $((FIRST_CALLER_PORT + i)) $((FIRST_CALLER_PORT + 50 + i))
      HOSTS+=("$name") CALLERS+=("127.0.0.1:$((FIRST_CALLER_PORT + i))")
      CONTROLS+=("127.0.0.1:$((FIRST_CALLER_PORT + 50 + i))")
      cluster_host "$name"
      i=$((i + 1))
    done
  done
  for control in "${CONTROLS[@]}"; do cluster_wait_http "http://$control/health" || return 1; done
  "$BIN/tillerctl" --yes --host="${CONTROLS[0]}" config apply "$RUN/config.json" || return 1
  for control in "${CONTROLS[@]}"; do cluster_wait_http "http://$control/ready" || return 1; done
}

# Ends all processes that were started: SIGTERM, then SIGKILL after 0.2 s.
cluster_stop() {
  local pid
  # A stopped process handles SIGTERM only once it is continued.
  for pid in "${PIDS[@]}"; do kill -CONT "$pid" 2>/dev/null; kill "$pid" 2>/dev/null; done
  sleep 0.2
  for pid in "${PIDS[@]}"; do kill -9 "$pid" 2>/dev/null; done
  wait 2>/dev/null
  PIDS=()
}
