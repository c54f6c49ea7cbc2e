# Functions shared by the other scripts: package installation, the build, and a fleet of real processes on loopback.
# Source this file; do not run it.

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
build=${AUBURNLOFT_BUILD:-$root/build/release}
platform=127.0.0.1:17000
declare -A pid_of=()

packages=(g++ cmake ninja-build pkg-config git curl jq
  libwebsockets-dev libzmq3-dev cppzmq-dev libprotobuf-dev protobuf-compiler
  libboost-dev libtclap-dev liblog4cplus-dev libcpputest-dev
  nlohmann-json3-dev libxxhash-dev libssl-dev)

# Installs the missing packages with apt: those named as arguments, or all of `packages` if there are none.
install_packages() {
  local missing=() package
  for package in "${@:-${packages[@]}}"; do
    dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
  done
  [ ${#missing[@]} -eq 0 ] && return 0
  echo "installing: ${missing[*]}"
  local sudo=""
  [ "$(id -u)" -eq 0 ] || sudo=sudo
  $sudo apt-get update -qq
  DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -qq "${missing[@]}" >/dev/null
}

# Configures and builds the preset `release`; prints the build log only on failure. An existing configuration is kept, because
# configuring again changes the order of the include flags and so rebuilds everything.
build_all() {
  mkdir -p "$root/build"
  if ! { { [ -f "$build/build.ninja" ] || cmake --preset release -S "$root"; } && cmake --build "$build"; } >"$root/build/build.log" 2>&1; then
    cat "$root/build/build.log"
    return 1
  fi
}

# start NAME COMMAND...: starts a process in the background and appends its output to $work/NAME.log.
start() {
  local name=$1
  shift
  "$@" >>"$work/$name.log" 2>&1 &
  pid_of[$name]=$!
}

# stop NAME [SIGNAL]: signals a process started by start(), TERM by default, and waits until it exits.
stop() {
  local pid=${pid_of[$1]:-}
  [ -n "$pid" ] || return 0
  kill "-${2:-TERM}" "$pid" 2>/dev/null
  wait "$pid" 2>/dev/null
  unset "pid_of[$1]"
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

# wait_for SECONDS COMMAND...: repeats a command every 0.1 s until it succeeds; fails after 10 * SECONDS tries.
wait_for() {
  local tries=$(($1 * 10))
  shift
  until "$@" >/dev/null 2>&1; do
    tries=$((tries - 1))
    [ $tries -gt 0 ] || return 1
    sleep 0.1
  done
}

get() { curl -sf --max-time 5 "http://$1"; }
put() { curl -sf --max-time 5 -X "$1" "http://$2" -d "$3"; }
fault() { put POST "$1/faults" "$2" >/dev/null; }
ctl() { "$build/auburnloft-ctl" --platform-address "$platform" --operator "${operator:-demo}" "$@"; }

router_http() { echo "127.0.0.1:$((17300 + $1))"; }
router_peer() { echo "127.0.0.1:$((17500 + $1))"; }
router_domain() { case $(($1 % 3)) in 0) echo domain-a ;; 1) echo domain-b ;; *) echo domain-c ;; esac }

# routers FIRST LAST: prints the HTTP addresses of routers FIRST to LAST, comma-separated.
routers() {
  local i list=""
  for ((i = $1; i <= $2; i++)); do list="$list,$(router_http "$i")"; done
  echo "${list#,}"
}

list_vm() { # list_vm NUMBER [STATE]
  put PUT "$platform/vms/router-$1" \
    "{\"role\":\"router\",\"domain\":\"$(router_domain "$1")\",\"http_address\":\"$(router_http "$1")\",\"peer_address\":\"$(router_peer "$1")\",\"state\":\"${2:-live}\"}" >/dev/null
}

start_router() { # start_router NUMBER [FLAGS...]
  local number=$1
  shift
  list_vm "$number"
  start "router-$number" "$build/auburnloft-router" --name "router-$number" \
    --domain "$(router_domain "$number")" --http-address "$(router_http "$number")" \
    --peer-address "$(router_peer "$number")" --platform-address "$platform" \
    --admin-key drain-key "$@"
}

# Prints a configuration file with each placeholder @SHA256:KEY replaced by the SHA-256 digest of KEY.
with_digests() {
  local text mark key
  text=$(cat "$1")
  while [[ $text =~ @SHA256:([a-z0-9-]+) ]]; do
    mark=${BASH_REMATCH[0]}
    key=${BASH_REMATCH[1]}
    text=${text//"$mark\""/"$(printf %s "$key" | sha256sum | cut -d' ' -f1)\""}
  done
  printf '%s' "$text"
}

# start_platform [FLAGS...]; start_upstreams [ENGINE FLAGS...]
start_platform() {
  start platform "$build/standin-platform" --address "$platform" "$@"
  wait_for 5 get "$platform/stats"
}
start_upstreams() {
  local i
  for i in 1 2 3 4; do
    local fencing=()
    [ $((i % 2)) -eq 1 ] && fencing=(--check-fencing)
    start "engine-$i" "$build/standin-engine" --address "127.0.0.1:1710$i" "${fencing[@]}" "$@"
  done
  start service-1 "$build/standin-service" --address 127.0.0.1:17201
}

# start_fleet COUNT: starts the platform and the upstreams, publishes the example configuration, and starts routers 1 to COUNT.
# The variables platform_flags, engine_flags and config_file override the defaults.
start_fleet() {
  local i count=$1
  start_platform ${platform_flags:-}
  start_upstreams ${engine_flags:-}
  with_digests "${config_file:-$root/examples/fleet.json}" >"$work/fleet.json"
  ctl config publish "$work/fleet.json" --reason "set-up" >>"$work/ctl.log" 2>&1 || return 1
  for ((i = 1; i <= count; i++)); do start_router "$i"; done
  for ((i = 1; i <= count; i++)); do
    wait_for 10 get "$(router_http "$i")/healthz" || { echo "router-$i did not become healthy"; return 1; }
  done
}
