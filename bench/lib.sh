# Shell functions that start and stop a fleet with its stand-ins; sourced by ./demo and bench/*.
# Expects two variables: bin, the directory of the programs, and work, a temporary directory.

declare -A daemon=()
standins=()

# fail MESSAGE: prints the message and exits.
fail() { echo "$(basename "$0"): $1" >&2; exit 1; }

# field FILE NAME [LINE]: prints a field of a JSON line that a program printed.
field() { sed -n "${3:-1}p" "$1" | sed -n "s/.*\"$2\":\"\{0,1\}\([^\",}]*\).*/\1/p"; }

# await FILE NAME [LINE]: like field, but waits up to 10 s for the program to print the line.
await() {
  for _ in $(seq 100); do
    [ -n "$(field "$@")" ] && { field "$@"; return; }
    sleep 0.1
  done
  fail "no $2 in $1 after 10 s"
}

# ctl ARG...: runs shallotctl.
ctl() { "$bin/shallotctl" "$@"; }

# region_of ZONE: prints the region of a zone, or of an entry VM named after it.
region_of() { case $1 in n*) echo north ;; c*) echo central ;; *) echo south ;; esac; }

# stop_all: kills every daemon and stand-in.
stop_all() {
  local pid
  for pid in "${daemon[@]}" "${standins[@]}"; do
    kill -KILL "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
  done
}

# start_store: starts the store stand-in; sets store to its address.
start_store() {
  "$bin/shallot-standin" store >"$work/store" & standins+=($!); disown
  store=$(await "$work/store" addr)
}

# start_targets SERVICE SLOTS WORK_MS ZONE...: starts one target for each zone argument.
start_targets() {
  local service=$1 slots=$2 work_ms=$3
  shift 3
  "$bin/shallot-standin" target --count $# --slots "$slots" --work-ms "$work_ms" \
    >"$work/$service.targets" & standins+=($!); disown
  await "$work/$service.targets" addr $# >/dev/null
  local line=0 zone
  for zone in "$@"; do
    line=$((line + 1))
    printf '{"id":"%s-%d","service":"%s","place":{"region":"%s","zone":"%s"},"addr":"%s","slots":%d}\n' \
      "$service" "$line" "$service" "$(region_of "$zone")" "$zone" \
      "$(field "$work/$service.targets" addr "$line")" "$slots" >>"$work/vms"
  done
}

# list_targets: publishes the started targets in the store's list of VMs.
list_targets() {
  printf '{"entries":[],"targets":[%s]}' "$(paste -sd, "$work/vms")" |
    "$bin/shallot-standin" set "$(field "$work/store" faults)" /vms
}

# target_ports SERVICE COUNT: prints the options of `load` that name the targets' fault ports.
target_ports() {
  local line
  for line in $(seq "$2"); do echo "--target $(field "$work/$1.targets" faults "$line")"; done
}

# make_secrets: writes the peers' secret and the operators' token.
make_secrets() {
  head -c 32 /dev/urandom | base64 >"$work/secret"
  head -c 32 /dev/urandom | base64 >"$work/token"
  export SHALLOT_TOKEN_FILE=$work/token
}

# start_vms VM...: starts entry VMs, each named ZONE-SUFFIX. Waits until all of them listen and, for
# up to 10 s, until the first one has sessions with all others.
start_vms() {
  local vm
  for vm in "$@"; do
    cat >"$work/$vm.toml" <<SETTINGS
vm = "$vm"
region = "$(region_of "$vm")"
zone = "${vm%-*}"
[callers]
listen = "127.0.0.1:0"
plaintext = true
ttl_ms = 1000
[operators]
listen = "127.0.0.1:0"
token_file = "$work/token"
[peers]
listen = "127.0.0.1:0"
secret_file = "$work/secret"
[store]
addr = "$store"
[log]
file = "$work/$vm.log"
SETTINGS
    "$bin/shallotstalld" --check --config "$work/$vm.toml" >/dev/null
    "$bin/shallotstalld" --config "$work/$vm.toml" >"$work/$vm" & daemon[$vm]=$!
  done
  export SHALLOT_OPERATOR
  SHALLOT_OPERATOR=$(await "$work/$1" operators)
  for vm in "$@"; do await "$work/$vm" callers >/dev/null; done
  for _ in $(seq 100); do
    [ "$(ctl status 2>/dev/null | grep -c ' answers$')" -eq $(($# - 1)) ] && break
    sleep 0.1
  done
}

# issue_keys CUSTOMER...: issues a key for each customer and writes the keys file for `load`.
issue_keys() {
  local customer
  for customer in "$@"; do
    printf '%s = "%s"\n' "$customer" "$(ctl key issue "$customer" | sed -n 's/^key: //p')"
  done >"$work/keys"
}

# stop_vms: stops every entry VM gracefully.
stop_vms() {
  local vm
  for vm in "${!daemon[@]}"; do kill -TERM "${daemon[$vm]}"; done
  for vm in "${!daemon[@]}"; do
    wait "${daemon[$vm]}" || fail "$vm ended with code $?"
    unset "daemon[$vm]"
  done
}
