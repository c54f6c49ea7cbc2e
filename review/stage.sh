# Functions shared by the scripts of the cases: a small deployment on loopback. Source this file; do not run it.
#
# The routers are started with the command and the variables of deploy/system.toml. The bounds are those of the site file that the
# claims name. A router that ends by itself is started again after a second, as the platform does.

review=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
root=$(dirname "$review")
record=$case_folder/record.txt
trouble=${TROUBLE:-1}
work=$(mktemp -d)
children=() keepers=()

cannot_run() {
  echo "cannot run: $*"
  exit 2
}

note() { echo "$(date +%s%3N) $*" >>"$record"; }
verdict() { # Notes the verdict, and prints it.
  note "verdict: $*"
  echo "verdict: $*"
}

# Ends all processes that were started, by their ids. A keeper of a router ends by itself once its router has ended.
finish() {
  local pid file tries
  touch "$work/stop"
  for tries in $(seq 50); do
    for file in "$work"/router-*.pid; do
      [ -f "$file" ] && kill -KILL "$(cat "$file")" 2>/dev/null
    done
    kill -0 "${keepers[@]}" 2>/dev/null || break
    sleep 0.1
  done
  for pid in "${children[@]}"; do
    kill -KILL "$pid" 2>/dev/null
  done
  wait 2>/dev/null
  rm -rf "$work"
}
trap finish EXIT

call() { "$root/target/review/review-call" "$@"; } # call METHOD PORT TARGET [@FILE | TEXT]

# start COMMAND...: starts a stand-in.
start() {
  "$@" >>"$work/stand-ins.log" 2>&1 &
  children+=($!)
}

# begin ROUTERS: takes free ports, and starts the store.
begin() {
  routers=$1
  local program
  for program in auburnloft-gateway standin-store review/review-server review/review-clients review/review-late_clients review/review-ports \
    review/review-call; do
    [ -x "$root/target/$program" ] || cannot_run "target/$program is missing; build it first"
  done
  cd "$root" || cannot_run "no $root"
  : >"$record"
  mapfile -t ports < <(target/review/review-ports $((1 + 5 * routers)))
  [ ${#ports[@]} -eq $((1 + 5 * routers)) ] || cannot_run "no free ports"
  store=${ports[0]}
  start target/standin-store --address "127.0.0.1:$store"
  local tries
  for tries in $(seq 50); do
    call GET "$store" "/log-newest?Topic=keyed.op&part=0" && return
    sleep 0.1
  done
  cannot_run "the store does not answer"
}

# publish FILE: writes the configuration.
publish() {
  call PUT "$store" "/record?Topic=keyed.op&Key=config" "@$1" ||
    cannot_run "the store takes no configuration"
}

# start_server ID SERVICE ARGUMENTS...
start_server() {
  start target/review/review-server --id "$1" --service "$2" --store "$store" --record "$record" --link-mbps "${link_mbps:-1000}" "${@:3}"
}

port_of() { echo "${ports[$((5 * ($1 - 1) + $2))]}"; } # port_of ROUTER 1..5

# keep_router NUMBER: starts a router, and starts it again when it ends.
keep_router() {
  local number=$1 status
  while [ ! -e "$work/stop" ]; do
    AUBURNLOFT_NAME="edge-$number" AUBURNLOFT_DOMAIN=a AUBURNLOFT_REGION=r \
      AUBURNLOFT_CLIENT_ADDRESS="127.0.0.1:$(port_of "$number" 1)" AUBURNLOFT_ENTRY_ADDRESS="127.0.0.1:$(port_of "$number" 2)" \
      AUBURNLOFT_READINESS_ADDRESS="127.0.0.1:$(port_of "$number" 3)" AUBURNLOFT_PEER_ADDRESS="127.0.0.1:$(port_of "$number" 4)" \
      AUBURNLOFT_METRICS_ADDRESS="127.0.0.1:$(port_of "$number" 5)" AUBURNLOFT_LOG_ADDRESS="127.0.0.1:$store" \
      AUBURNLOFT_RETRY_RATIO=0.2 AUBURNLOFT_RETRY_SLACK=56 AUBURNLOFT_RETRY_WINDOW_S=10 AUBURNLOFT_LINK_MBPS=1000 \
      AUBURNLOFT_GRACE_S=8 target/auburnloft-gateway >>"$work/router-$number.log" 2>&1 &
    echo $! >"$work/router-$number.pid"
    wait $!
    status=$?
    rm -f "$work/router-$number.pid"
    [ -e "$work/stop" ] && return
    note "router edge-$number ended by itself, status $status: $(grep -A1 -E '^terminate|what' "$work/router-$number.log" | tail -2 | tr '\n' ' ')"
    sleep 1
  done
}

start_routers() {
  local number tries
  for ((number = 1; number <= routers; number++)); do
    keep_router "$number" 2>/dev/null &
    keepers+=($!)
  done
  for ((number = 1; number <= routers; number++)); do
    for tries in $(seq 100); do
      call GET "$(port_of "$number" 3)" /readyz && continue 2
      sleep 0.1
    done
    cannot_run "router $number does not become ready"
  done
  sleep 1.5 # Until all routers know the servers.
}

client_ports() {
  local number list=""
  for ((number = 1; number <= routers; number++)); do list+=",$(port_of "$number" 1)"; done
  echo "${list#,}"
}

# start_clients NAME CLIENTS SECONDS ARGUMENTS...
start_clients() {
  start target/review/review-clients --name "$1" --clients "$2" --seconds "$3" --routers "$(client_ports)" --record "$record" "${@:4}"
}
