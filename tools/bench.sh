#!/usr/bin/env bash
# Measures one host: small reads against libpq straight to an endpoint in the
# same run, reads per processor second, and memory per idle connection.
set -uo pipefail
cd "$(dirname "$0")/.."
. tools/cluster.sh
. tools/load.sh
RUN=$(mktemp -d "${TMPDIR:-/tmp}/tiller.XXXXXX")
# Limits out of the way: they are not what is measured here.
BENCH_SED='s/rate: [0-9]*, burst: [0-9]*/rate: 1000000, burst: 1000000/; s/slots: 3/slots: 192/; s/connections: 20/connections: 200/'
export BENCH_SED STATEMENT_COST_US=0
cluster_start quote-ledger 1 || exit 1
sleep 12
key=$(awk '$1=="duluth"{print $3}' "$RUN/keys.txt")
"$BIN/tiller-bench" --endpoint=127.0.0.1:7111 --caller="${CALLERS[0]}" --key="$key" \
  --workspace=duluth --pid="${PID_OF[${HOSTS[0]}]}" "$@"
code=$?
cluster_stop 2>/dev/null
rm -rf "$RUN"
exit $code
