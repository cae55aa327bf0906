#!/usr/bin/env bash
# Measures one host of the quote-ledger example with tiller-bench: the latency
# of small reads through the host and, in the same run, of the same reads sent
# directly to an endpoint by libpq; reads per CPU second of the host; and memory
# per idle connection. Arguments are passed on to tiller-bench, and its exit
# code is returned.
set -uo pipefail
cd "$(dirname "$0")/.."
. tools/cluster.sh
. tools/load.sh
RUN=$(mktemp -d "${TMPDIR:-/tmp}/tiller.XXXXXX")
# Raises the limits on rates, slots and connections far above the load, so that
# they do not affect the measurement.
BENCH_SED='s/rate: [0-9]*, burst: [0-9]*/rate: 1000000, burst: 1000000/; s/slots: 3/slots: 192/; s/connections: 20/connections: 200/'
export BENCH_SED STATEMENT_COST_US=0
cluster_start quote-ledger 1 || exit 1
sleep 12
key=$(awk '$1=="duluth"{print $3}' "$RUN/keys.txt")
"$BIN/tiller-bench" --endpoint=127.0.0.1:7111 --caller="${CALLERS[0]}" --key="$key" \
  --workspace=duluth --pid="${PID_OF[${HOSTS[0]}]}" "$@"
exit_code=$?
cluster_stop 2>/dev/null
rm -rf "$RUN"
exit $exit_code
