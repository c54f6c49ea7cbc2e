#!/usr/bin/env bash
# Requests whose prompts hold one part crash each engine that begins to answer them; their callers repeat them once. See claim.txt.
#   review/14/run.sh            TROUBLE=0 review/14/run.sh: the same requests, and no engine crashes
set -u
. "$(dirname "$0")/../stand_ins_3/fleet.sh"
routers=8 engines=12 events=58 requests=6
begin
start_store
flags=(--events $events --between-us 20000 --runs-file "$work/runs")
[ "$trouble" = 0 ] || flags+=(--dies-on boom)
for ((i = 1; i <= engines; i++)); do start_engine "$i" "${flags[@]}"; done
configure "$root/review/stand_ins_3/config.json"
for ((i = 1; i <= routers; i++)); do start_router "$i"; done
await_routers $routers
sleep 10 # Traffic starts 10 s after the machines do.
note "traffic starts"
addresses=$(for ((i = 1; i <= routers; i++)); do printf '%s,' "$(client "$i")"; done)
"$tools/stream-callers" --routers "${addresses%,}" --rate 10 --seconds 27 --events $events --tokens 628,290 >"$work/tries" 2>&1 &
callers=$!
pid_of[callers]=$callers
sleep 2

# ask NUMBER: a request with the part, at a router chosen at random; its caller repeats it once, unless it is refused.
ask() {
  local try status router
  for ((try = 1; try <= ${TRIES:-2}; try++)); do
    router=$((1 + RANDOM % routers))
    status=$(curl -s -o /dev/null -w '%{http_code}' --max-time 10 -X POST "http://$(client $router)/questions/boom-$1" -H "Host: demo" \
      -H "X-Attempt-Id: boom-$1-$try" -H "X-Deadline-Ms: 8000" -H "Authorization: Token collector-key" -H "X-Model: m" \
      -H "X-Token-Count: 628,290" -H "X-Prompt-Prefix: dead01:119,$(printf '%x' $((16#c000 + $1))):79" --data-binary "question $1")
    note "ASK boom-$1-$try router=$router status=$status"
    case $status in 502 | 504 | 000) sleep 0.05 ;; *) return ;; esac
  done
}
declare -A ended_at=()
# The platform starts an engine again some seconds after it has crashed.
restart_engines() {
  local i now
  now=$(now_ms)
  for ((i = 1; i <= engines; i++)); do
    if [ -n "${ended_at[$i]:-}" ]; then
      [ $((now - ended_at[$i])) -lt 2000 ] && continue
      unset "ended_at[$i]"
      start_engine "$i" "${flags[@]}"
      note "engine $i starts again"
    elif ! kill -0 "${pid_of[engine-$i]}" 2>/dev/null; then
      ended_at[$i]=$now
      note "engine $i has crashed"
    fi
  done
}
askers=()
for ((number = 1; number <= requests; number++)); do
  ask $number &
  askers+=($!)
  for ((step = 0; step < 40; step++)); do
    restart_engines
    sleep 0.1
  done
done
wait "${askers[@]}" $callers
unset "pid_of[callers]"
echo "RUNS of requests with the part at the engines (time, engine, id):" >>"$record"
grep boom "$work/runs" | sort -n >>"$record"
grep -hE "event=(crash_quarantine|upstream_ended|quarantine_refused|crash_evidence.*dead01)" "$work"/router-*.log >>"$record"
# The rule's own words. Each run of a request with the part ends its engine 30 ms later; two at one engine are one crash.
grep boom "$work/runs" | sort -n | awk -v trouble="$trouble" '
  { time[NR] = $1 }
  trouble != 0 && crashes < 5 && !($2 in last && $1 - last[$2] < 100) { crashes++; last[$2] = $1; if (crashes == 5) fifth = $1 + 30 }
  END {
    for (i = 1; i <= NR; i++) late += fifth && time[i] > fifth + 3000
    printf "VERDICT requests with the part that reached engines: %d; later than 3 s after the fifth crash: %d\n", NR, late
    exit !(late > 3)
  }' >"$work/verdict"
broken=$?
cat "$work/verdict" >>"$record"
cat "$work/verdict"
[ $broken -eq 0 ] && { note "the rule was broken"; exit 1; }
note "the rule held"
exit 0
