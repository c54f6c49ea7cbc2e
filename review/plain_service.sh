# The play of cases 1 and 4: clients with kept connections before two routers and three servers of a plain service, the third of which
# answers one in fifty of its requests in the way of $fault_name, for eight seconds. Source this file from run.sh; it exits with the verdict.
#
# Rule LOST: counts the requests on kept connections that sound servers began to run and whose connections closed without an answer.
# More than three break the rule.

. "$(dirname "${BASH_SOURCE[0]}")/stage.sh"
seconds=16

begin 2
publish "$review/plain_service.json"
from=$(($(date +%s%3N) + 8000))
fault=(--fault "" --fault-from 0 --fault-until 0)
[ "$trouble" = 0 ] || fault=(--fault "$fault_name" --fault-share 0.02 --fault-from "$from" --fault-until $((from + 8000)))
start_server desk-1 ticket-desk --min-work-ms 60 --max-work-ms 250
start_server desk-2 ticket-desk --min-work-ms 60 --max-work-ms 250
start_server desk-3 ticket-desk --min-work-ms 60 --max-work-ms 250 "${fault[@]}"
sleep 0.5
start_routers
start_clients payout 16 $seconds --method POST --path /payouts/ --deadline-ms 4000 --pause-ms 20 --key parish-key
start_clients status 16 $seconds --method GET --path /tickets/ --deadline-ms 4000 --pause-ms 20 --key parish-key
wait "${children[-1]}" "${children[-2]}"

cut=$(awk '
  $2 == "server" && $3 != "desk-3" && $4 == "runs" { ran[$5] = 1 }
  $2 == "client" && $3 == "closed-without-answer" && $6 == "kept=1" { closed[$4] = 1 }
  END { n = 0; for (id in closed) if (id in ran) ++n; print n }' "$record")
answered=$(grep -c ' client answered .* status=200 seal=1' "$record")
ended=$(grep -c ' ended by itself' "$record")
verdict "$answered answered; routers ended by themselves $ended times; $cut requests on kept connections, run by sound servers, lost their answer (LOST allows 3)"
[ "$answered" -gt 50 ] || cannot_run "too few requests were answered"
[ "$cut" -le 3 ]
exit
