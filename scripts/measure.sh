#!/usr/bin/env bash
# Compares the shipped policy with a simple baseline policy by five measures, on a fleet of 9 VMs on loopback, which is
# the present fleet size.
# Usage: scripts/measure.sh [--deployment kusweg|jalarekha] [--seed N] [--vms N] [--seconds N]
# Baseline: first upstream with enough memory, load on first use, keep for a fixed time, first come first served, a
# fixed share of the rate on each VM. Drafts only: under the baseline, a report can permanently exceed a VM's share.
# Prints one table; takes about 5 minutes after the build.
set -uo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
deployment=kusweg
seed=1
vms=9
seconds=30
while [ $# -gt 0 ]; do
    case $1 in
        --deployment) deployment=${2:-}; shift 2 ;;
        --seed) seed=${2:-}; shift 2 ;;
        --vms) vms=${2:-}; shift 2 ;;
        --seconds) seconds=${2:-}; shift 2 ;;
        *) echo "measure.sh: unknown option $1" >&2; exit 2 ;;
    esac
done
(cd "$root" && cargo build --release --locked --workspace --bins --quiet) || exit 1
results=$(mktemp -d)
run=$(mktemp -d)
. "$root/scripts/lib/fleet.sh"
trap 'end_fleet; rm -rf "$run" "$results"' EXIT
trap 'exit 130' INT TERM

mapfile -t teams < <(sheet_rows team name)
hot=${teams[0]}

load() { # name arguments...
    local name=$1
    shift
    "$bin/cowslip-load" --urls "$(router_addresses)" --keys "$(team_keys)" --upstreams "$(upstream_addresses)" --sheet "$sheet" \
        --seed "$seed" --json "$@" >"$results/$policy-$name.json" 2>>"$results/$policy-$name.err"
}

measure_policy() {
    end_fleet
    rm -rf "$run"
    run=$(mktemp -d)
    router_policy=shared
    controller_policy=keep_warm
    if [ "$policy" = baseline ]; then
        router_policy=fixed
        controller_policy=first_fit
    fi
    start_fleet || { tail -n 3 "$run"/log/*.err; exit 1; }
    load steady --drafts-only --rate 12 --seconds "$seconds" --models 10 --deadline-ms 15000
    load burst --rate 6 --seconds "$seconds" --models 10 --bursts 5 --burst-size 27 --deadline-ms 15000 --drafts-only
    load hot --rate 30 --seconds "$seconds" --models 4 --hot-team "$hot" --hot-factor 5 --deadline-ms 10000 --drafts-only
    local domain
    domain=$(domain_of_vm 2)
    load domain --drafts-only --rate 15 --seconds "$seconds" --models 4 --deadline-ms 10000 &
    local id=$!
    sleep "$((seconds / 3))"
    ctl domain out "$domain" >/dev/null
    sleep "$((seconds / 3))"
    ctl domain in "$domain" >/dev/null
    wait "$id"
    cat "$run"/log/*.log | grep -c 'assertion failed' >"$results/$policy-violations"
}

# Prints a number inside an object of a report: pick FILE OBJECT FIELD
pick() { grep -o "\"$2\":{[^}]*}" "$results/$1.json" | head -1 | grep -o "\"$3\":[0-9.]*" | cut -d: -f2; }
top() { grep -o "\"$2\":[0-9.e-]*" "$results/$1.json" | head -1 | cut -d: -f2; }
# Prints the sum of a field over all teams.
sum() { grep -o '"teams":{.*' "$results/$1.json" | grep -o "\"$2\":[0-9]*" | cut -d: -f2 | awk '{ s += $1 } END { print s + 0 }'; }
# Prints worst and median p99 and the lowest served share over all teams except the hot one.
by_team() { # file
    grep -o '"teams":{.*}},"w' "$results/$1.json" | sed 's/"teams":{//; s/},"/}\n"/g' | grep -v "^\"$hot\"" |
        sed -n 's/.*"first_token_p99_ms":\([0-9]*\).*"served_share":\([0-9.]*\).*/\1 \2/p' | sort -n |
        awk '{ p[NR] = $1; if (NR == 1 || $2 < low) low = $2 } END { if (NR) printf "%s %s %.3f", p[NR], p[int((NR + 1) / 2)], low }'
}
row() { printf '%-58s %14s %14s\n' "$1" "$2" "$3"; }
served_in_domain() { grep -o '"seconds":\[[^]]*' "$results/$1.json" | tr '{' '\n' | sed -n 's/.*"failed":\([0-9]*\),"refused":\([0-9]*\).*"s":\([0-9]*\),"served":\([0-9]*\).*/\3 \4 \2 \1/p'; }

for policy in baseline shipped; do
    measure_policy
done
echo "deployment $deployment, seed $seed, $vms VMs, $seconds s per load; times in ms"
row "measure" baseline shipped
for phase in steady burst; do
    for q in p50 p99 p999; do
        row "cold start, $phase, $q" "$(pick baseline-$phase cold_first_token_ms $q)" "$(pick shipped-$phase cold_first_token_ms $q)"
    done
    row "cold start / nominal load time, $phase, p99 (1/1000)" "$(pick baseline-$phase cold_to_bare_load_permille p99)" "$(pick shipped-$phase cold_to_bare_load_permille p99)"
    row "cold starts, $phase" "$(pick baseline-$phase cold_first_token_ms n)" "$(pick shipped-$phase cold_first_token_ms n)"
    row "warm first token, $phase, p99" "$(pick baseline-$phase warm_first_token_ms p99)" "$(pick shipped-$phase warm_first_token_ms p99)"
    row "served, $phase" "$(sum baseline-$phase served)" "$(sum shipped-$phase served)"
    row "rejected, $phase" "$(sum baseline-$phase refused)" "$(sum shipped-$phase refused)"
    row "idle accelerator hours, $phase" "$(top baseline-$phase idle_accelerator_hours)" "$(top shipped-$phase idle_accelerator_hours)"
done
row "rejected for the rate while within it, steady" "$(sum baseline-steady wrongful_rate_refusals)" "$(sum shipped-steady wrongful_rate_refusals)"
row "rejected for the rate while within it, hot team" "$(sum baseline-hot wrongful_rate_refusals)" "$(sum shipped-hot wrongful_rate_refusals)"
row "teams other than the hot one: worst p99, median p99, share" "$(by_team baseline-hot)" "$(by_team shipped-hot)"
for policy in baseline shipped; do
    echo "domain out from $((seconds / 3)) s to $((seconds * 2 / 3)) s, $policy: second served rejected failed"
    served_in_domain "$policy-domain" | awk '{ printf "%s:%s/%s/%s ", $1, $2, $3, $4 } END { print "" }'
done
for policy in baseline shipped; do
    for phase in steady burst hot domain; do
        faults=$(grep -o '"journal_faults":\[[^]]*\]' "$results/$policy-$phase.json")
        echo "$policy $phase: $faults late $(top $policy-$phase late) lost $(top $policy-$phase lost) wrong $(grep -o '"wrong":\[[^]]*' "$results/$policy-$phase.json" | grep -o '"call' | wc -l) $(grep -o '"refusals":{[^}]*}' "$results/$policy-$phase.json")"
    done
    echo "$policy: failed assertions $(cat "$results/$policy-violations")"
done
[ -z "${COWSLIP_KEEP:-}" ] || cp -r "$results" "$run" "$COWSLIP_KEEP"
