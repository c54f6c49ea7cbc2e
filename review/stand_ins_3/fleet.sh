# Functions shared by the scripts of review/11 to review/15: a small fleet of real processes on loopback addresses, started with
# the command and the settings of deploy/system.toml. Source this file; do not run it.

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
gateway=$root/target/auburnloft-gateway
tools=$root/target/review-3
case_dir=$(cd "$(dirname "$0")" && pwd)
record=$case_dir/record.txt
trouble=${TROUBLE:-1}
declare -A pid_of=()

# Each machine has a loopback address of its own, and the same ports, as on the platform.
network=127.$((1 + RANDOM % 250)).$((1 + RANDOM % 250))
router_ip() { echo "$network.$((10 + $1))"; }
store=$network.200:8223
engine_address() { echo "$network.$((100 + $1)):8120"; }
desk_address() { echo "$network.$((150 + $1)):8120"; }
client() { echo "$(router_ip "$1"):8227"; }
readiness() { echo "$(router_ip "$1"):8220"; }
entry() { echo "$(router_ip "$1"):8224"; }
zone() { case $(($1 % 3)) in 0) echo jm-south-a ;; 1) echo jm-south-b ;; *) echo jm-south-c ;; esac; }

now_ms() { date +%s%3N; }
note() { echo "$(now_ms) $*" >>"$record"; }
cannot_run() {
  note "cannot run: $*"
  exit 2
}

start() { # start NAME COMMAND...
  local name=$1
  shift
  "$@" >>"$work/$name.log" 2>&1 &
  pid_of[$name]=$!
}
send_signal() { # send_signal NAME SIGNAL
  kill "-$2" "${pid_of[$1]}" 2>/dev/null
}
stop_all() {
  local name
  for name in "${!pid_of[@]}"; do
    kill -CONT "${pid_of[$name]}" 2>/dev/null
    kill -KILL "${pid_of[$name]}" 2>/dev/null
    wait "${pid_of[$name]}" 2>/dev/null
  done
  pid_of=()
}

get() { curl -sf --max-time 2 "http://$1"; }
put() { curl -sf --max-time 5 -X "$1" "http://$2" --data-binary "$3"; }
fault() { put POST "$1/faults" "$2" >/dev/null; }
wait_for() { # wait_for SECONDS COMMAND...
  local tries=$(($1 * 20))
  shift
  until "$@" >/dev/null 2>&1; do
    tries=$((tries - 1))
    [ $tries -gt 0 ] || return 1
    sleep 0.05
  done
}

# begin: prepares the folder for logs, and the end of all processes that the script starts.
begin() {
  local program
  : >"$record"
  for program in "$gateway" "$tools"/standin-store "$tools"/standin-wire "$tools"/stream-callers; do
    [ -x "$program" ] || cannot_run "a program is missing; run review/build-3.sh"
  done
  work=$(mktemp -d)
  trap 'stop_all; rm -rf "$work"' EXIT
}

start_store() {
  start store "$tools/standin-store" --address "$store"
  wait_for 5 get "$store/log-newest?Topic=keyed.op&part=0" || cannot_run "the store does not answer"
}
configure() { # configure FILE: writes the operator's configuration.
  put PUT "$store/record?Topic=keyed.op&Key=config" "@$1" >/dev/null || cannot_run "the configuration was not written"
}
start_engine() { # start_engine NUMBER [FLAGS...]
  local number=$1
  shift
  start "engine-$number" "$tools/standin-wire" --id "engine-$number" --address "$(engine_address "$number")" \
    --service loft-assist --domain "$(zone "$number")" --store-address "$store" "$@"
}
start_desk() { # start_desk NUMBER [FLAGS...]
  local number=$1
  shift
  start "desk-$number" "$tools/standin-wire" --id "desk-$number" --address "$(desk_address "$number")" \
    --service ticket-desk --domain "$(zone "$number")" --store-address "$store" "$@"
}
start_router() { # start_router NUMBER: with the settings that deploy/system.toml names, for bluemahoe-bale.
  local ip
  ip=$(router_ip "$1")
  start "router-$1" env -i PATH="$PATH" HOME="$work" \
    AUBURNLOFT_NAME="edge-$1" \
    AUBURNLOFT_DOMAIN="$(zone "$1")" \
    AUBURNLOFT_REGION=jm-south \
    AUBURNLOFT_DOMAIN_REGIONS='{"jm-south-a":"jm-south","jm-south-b":"jm-south","jm-south-c":"jm-south"}' \
    AUBURNLOFT_CLIENT_ADDRESS="$ip:8227" \
    AUBURNLOFT_ENTRY_ADDRESS="$ip:8224" \
    AUBURNLOFT_READINESS_ADDRESS="$ip:8220" \
    AUBURNLOFT_PEER_ADDRESS="$ip:7340" \
    AUBURNLOFT_LOG_ADDRESS="$store" \
    AUBURNLOFT_RETRY_RATIO=0.2 \
    AUBURNLOFT_RETRY_SLACK=56 \
    AUBURNLOFT_RETRY_WINDOW_S=10 \
    AUBURNLOFT_LINK_MBPS=1000 \
    AUBURNLOFT_GRACE_S=8 \
    AUBURNLOFT_MEMORY_MB=260 \
    AUBURNLOFT_MAX_DESCRIPTORS=4100 \
    AUBURNLOFT_METRICS_ADDRESS="$ip:9464" \
    "$gateway"
}
await_routers() { # await_routers COUNT
  local i
  for ((i = 1; i <= $1; i++)); do
    wait_for 10 get "$(readiness "$i")/readyz" || cannot_run "router $i is not ready"
  done
}
