#!/usr/bin/env bash
# Half of the routers are killed in the first seconds of traffic; callers take their streams up at the other routers. See claim.txt.
#   review/15/run.sh            TROUBLE=0 review/15/run.sh: without the kill
set -u
. "$(dirname "$0")/../stand_ins_3/fleet.sh"
routers=8 engines=6 kill_from=5
begin
start_store
for ((i = 1; i <= engines; i++)); do
  start_engine "$i" --release v1 --events 58 --between-us 40000
done
configure "$root/review/stand_ins_3/config.json"
note "8 routers start"
for ((i = 1; i <= routers; i++)); do start_router "$i"; done
await_routers $routers
sleep "${LEAD:-10}" # Traffic starts 10 s after the machines do.
note "traffic starts"
addresses=$(for ((i = 1; i <= routers; i++)); do printf '%s,' "$(client "$i")"; done)
"$tools/stream-callers" --routers "${addresses%,}" --rate 18.5 --seconds 6 --events 58 --tokens 628,290 >"$work/tries" 2>&1 &
callers=$!
pid_of[callers]=$callers
sleep 3
killed_ms=$(now_ms)
if [ "$trouble" != 0 ]; then
  for ((i = kill_from; i <= routers; i++)); do send_signal "router-$i" KILL; done
  note "routers $kill_from to $routers are killed"
  sleep 2
  for ((i = kill_from; i <= routers; i++)); do start_router "$i"; done
  note "routers $kill_from to $routers start again"
fi
wait $callers
unset "pid_of[callers]"
note "traffic has ended"
cat "$work/tries" >>"$record"
grep -h event=stream_taken_up "$work"/router-*.log >>"$record"
# The rule's own words. All tries are at routers 1 to 4, which ran all the while, or before the kill.
touch_list=$(for ((i = 1; i < kill_from; i++)); do printf '%s ' "$(client "$i")"; done)
awk -v killed="$killed_ms" -v routers="$touch_list" '
  BEGIN { count = split(routers, list, " "); for (i = 1; i <= count; i++) in_touch[list[i]] = 1 }
  $1 == "TRY" {
    for (i = 2; i <= NF; i++) { split($i, part, "="); field[part[1]] = part[2] }
    if (field["end"] == "unconnected" || !(field["router"] in in_touch)) next
    if (field["try"] > 0) { taken++; went_on += field["to"] > 0 } else { begun++; began += field["to"] > 0 }
  }
  END {
    printf "VERDICT new streams at machines in touch: %d, began: %d; taken up there: %d, went on: %d\n", begun, began, taken, went_on
    exit !(taken >= 12 && begun > 0 && went_on / taken < 0.5 * began / begun)
  }' "$work/tries" >>"$record"
broken=$?
tail -1 "$record"
[ $broken -eq 0 ] && { note "the rule was broken"; exit 1; }
note "the rule held"
exit 0
