# Shell functions that start a fleet with its stand-ins; sourced by ./demo and the scripts here.
# Needs: bin (folder of the programs), work (a temporary folder).

declare -A daemon=()
standins=()

fail() { echo "$(basename "$0"): $1" >&2; exit 1; }

# field FILE NAME [LINE]: a field of a JSON line that a program printed.
field() { sed -n "${3:-1}p" "$1" | sed -n "s/.*\"$2\":\"\{0,1\}\([^\",}]*\).*/\1/p"; }

# await FILE NAME [LINE]: waits for a program to print its addresses.
await() {
  for _ in $(seq 100); do
    [ -n "$(field "$@")" ] && { field "$@"; return; }
    sleep 0.1
  done
  fail "$1 never named its $2"
}

ctl() { "$bin/shallotctl" "$@"; }

region_of() { case $1 in n*) echo north ;; c*) echo central ;; *) echo south ;; esac; }

stop_all() {
  local pid
  for pid in "${daemon[@]}" "${standins[@]}"; do
    kill -KILL "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
  done
}

start_store() {
  "$bin/shallot-standin" store >"$work/store" & standins+=($!); disown
  store=$(await "$work/store" addr)
}

# start_targets SERVICE SLOTS WORK_MS ZONE...: one target for each zone named.
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

list_targets() {
  printf '{"entries":[],"targets":[%s]}' "$(paste -sd, "$work/vms")" |
    "$bin/shallot-standin" set "$(field "$work/store" faults)" /vms
}

# target_ports SERVICE COUNT: the options that name the targets' fault ports.
target_ports() {
  local line
  for line in $(seq "$2"); do echo "--target $(field "$work/$1.targets" faults "$line")"; done
}

make_secrets() {
  head -c 32 /dev/urandom | base64 >"$work/secret"
  head -c 32 /dev/urandom | base64 >"$work/token"
  export SHALLOT_TOKEN_FILE=$work/token
}

# start_vms VM...: entry VMs named ZONE-LETTER; waits until they own their parts.
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

# issue_keys CUSTOMER...: writes the keys file of the load generator.
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
