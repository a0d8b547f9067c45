#!/usr/bin/env bash
# Injects faults into real processes under load: kill -9 and pause of VMs, a long store outage, lost store responses.
# Usage: scripts/faults.sh [--deployment kusweg|jalarekha] [--seed N]
# Exits with 0 only if no response was wrong, no order ran twice, no accepted report was lost, every request was
# answered except on connections to the killed or paused VM, and no assertion failed. Takes about a minute after the
# build.
set -uo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
deployment=kusweg
seed=11
vms=5
while [ $# -gt 0 ]; do
    case $1 in
        --deployment) deployment=${2:-}; shift 2 ;;
        --seed) seed=${2:-}; shift 2 ;;
        *) echo "faults.sh: unknown option $1" >&2; exit 2 ;;
    esac
done
(cd "$root" && cargo build --release --locked --workspace --bins --quiet) || exit 1
run=$(mktemp -d)
. "$root/scripts/lib/fleet.sh"
trap 'end_fleet; rm -rf "$run"' EXIT
trap 'exit 130' INT TERM

platform_fault() { # service mode ms every
    curl -sf -o /dev/null -X PUT -H 'content-type: application/json' \
        -d "{\"service\":\"$1\",\"mode\":\"$2\",\"ms\":$3,\"every\":$4}" "http://$platform_addr/faults"
}
leader_vm() { ctl --json status | sed -n 's/.*"leader": *"vm-\([0-9]*\)".*/\1/p'; }
log() { printf '%5.1f s  %s\n' "$(awk -v a="$(date +%s%N)" -v b="$begin" 'BEGIN { print (a - b) / 1e9 }')" "$*"; }

start_fleet || { tail -n 5 "$run"/log/*.err; exit 1; }
begin=$(date +%s%N)
"$bin/cowslip-load" --urls "$(router_addresses)" --keys "$(team_keys)" --upstreams "$(upstream_addresses)" --sheet "$sheet" \
    --rate 25 --seconds 40 --seed "$seed" --models 4 --json >"$run/load.json" 2>"$run/load.err" &
load=$!
sleep 4
log "kill -9 of VM 2"
end_process router-2 KILL
end_process controller-2 KILL
sleep 4
log "restart of VM 2"
start_vm 2
sleep 3
paused=$(leader_vm)
paused=${paused:-1}
log "pause of the leader's VM $paused for 6 s"
kill -STOP "$(process_id "router-$paused")" "$(process_id "controller-$paused")"
sleep 6
kill -CONT "$(process_id "router-$paused")" "$(process_id "controller-$paused")"
log "VM $paused is resumed"
sleep 3
log "store outage of 8 s"
platform_fault table down 0 1
platform_fault objects down 0 1
sleep 8
platform_fault table none 0 1
platform_fault objects none 0 1
log "store available; the response to every third write is lost for 5 s"
platform_fault table lose_answers 0 3
sleep 5
platform_fault table none 0 1
log "all faults cleared"
wait "$load"
log "load ended"

number() { grep -o "\"$1\":[0-9]*" "$run/load.json" | head -1 | cut -d: -f2; }
list_is_empty() { grep -q "\"$1\":\[\]" "$run/load.json"; }
failed=0
expect() { # guarantee command...
    local guarantee=$1
    shift
    if "$@"; then echo "ok      $guarantee"; else echo "FAILED  $guarantee"; failed=$((failed + 1)); fi
}
violations=$(cat "$run"/log/*.log | grep -c 'assertion failed')
expect "no wrong response" list_is_empty wrong
expect "no order ran twice, no API key at an upstream" list_is_empty journal_faults
expect "no request timed out (late: $(number late))" [ "$(number late)" = 0 ]
elsewhere=$(grep -o '"lost_by_router":{[^}]*}' "$run/load.json" | grep -o '"127[^"]*"' | tr -d '"' |
    grep -vc -e "^$loopback:20002$" -e "^$loopback:$((20000 + paused))$")
expect "connections failed only at the killed and the paused VM (lost: $(number lost))" [ "$elsewhere" = 0 ]
expect "no assertion failed ($violations)" [ "$violations" = 0 ]
grep -o '"refusals":{[^}]*}' "$run/load.json"
grep -o '"cut_short":{[^}]*}' "$run/load.json"
[ "$failed" = 0 ] || { cp -r "$run" /tmp/cowslip-faults-last 2>/dev/null; echo "logs: /tmp/cowslip-faults-last"; }
[ "$failed" = 0 ]
