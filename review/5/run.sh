#!/usr/bin/env bash
# A router gets SIGTERM. Clients that asked for addresses within half a second after it, and keep the answer for three times its TtlS,
# send it generations a little more than three seconds after the signal. Rule LOST, planned work: counts the generations that were sent
# later than 3 s after the signal, that a server ran, and whose connections ended without a complete answer.
# Exits with 1 if there are any, 0 if not, 2 if the case could not run. TROUBLE=0: no router gets a signal.
set -u
case_folder=$(cd "$(dirname "$0")" && pwd)
. "$case_folder/../stage.sh"

begin 3
publish "$case_folder/config.json"
# 92 events of 5 tokens, 50 ms each: 10 ms a token, 4.6 s in all.
start_server engine-1 loft-assist --events 92 --between-ms 50
start_server engine-2 loft-assist --events 92 --between-ms 50
sleep 0.5
start_routers
sleep 2
stop_at=$(($(date +%s%3N) + 300))
start target/review/review-late_clients --entry-ports "$(port_of 2 2),$(port_of 3 2)" --leaving-port "$(port_of 1 1)" \
  --stop-at "$stop_at" --tokens 100,460 --record "$record"
clients=${children[-1]}
sleep "$(awk -v ms=$((stop_at - $(date +%s%3N))) 'BEGIN { print (ms > 0 ? ms : 0) / 1000 }')"
if [ "$trouble" != 0 ]; then
  note "SIGTERM to edge-1"
  kill -TERM "$(cat "$work/router-1.pid")"
fi
wait "$clients"

lost=$(awk '
  $2 == "server" && $4 == "runs" { ran[$5] = 1 }
  $2 == "late" && $3 == "cut" { split($5, after, "="); if (after[2] > 3000) cut[$4] = 1 }
  END { n = 0; for (id in cut) if (id in ran) ++n; print n }' "$record")
answered=$(grep -c ' late answered .* status=200' "$record")
refused=$(grep -c ' late answered .* status=503' "$record")
verdict "of late generations $answered were answered whole, $refused refused; $lost that a server ran lost the rest of their answer (LOST allows none)"
[ "$(grep -c -E ' late (answered|cut) ' "$record")" -gt 0 ] || cannot_run "no client was told of the router that stops"
[ "$lost" -eq 0 ]
