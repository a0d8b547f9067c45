#!/usr/bin/env bash
# Measures the overhead of the request path: one VM (one router, one controller) and stand-ins. Each load is sent
# through the router and directly to the stand-ins in the same run.
# Usage: scripts/bench.sh [--seed N] [--label TEXT] [--keep DIRECTORY] [--only cpu|short|all] [--router FILE]
# --router FILE measures that router instead of the one built here, to compare two of them in one session.
# Prints the target, the measured value and ok or missed for each figure. Exits with 0 regardless of the figures, and
# with 1 when a measurement failed.
# Per-core rates are requests or tokens divided by the router's CPU time (user and system, all threads, from
# /proc/PID/stat) over a load of known size, minus the idle rate measured beforehand.
set -uo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
seed=1
label=now
keep=
only=all
router_file=
while [ $# -gt 0 ]; do
    case $1 in
        --seed) seed=${2:-}; shift 2 ;;
        --label) label=${2:-}; shift 2 ;;
        --keep) keep=${2:-}; shift 2 ;;
        --only) only=${2:-}; shift 2 ;;
        --router) router_file=${2:-}; shift 2 ;;
        *) echo "bench.sh: unknown option $1" >&2; exit 2 ;;
    esac
done
(cd "$root" && cargo build --release --locked --workspace --bins --quiet) || exit 1
deployment=kusweg
vms=1
token_interval_ms=1
service_latency_ms=0
run=$(mktemp -d)
. "$root/scripts/lib/fleet.sh"
if [ -n "$router_file" ]; then
    mkdir "$run/bin"
    ln -s "$bin"/cowslip-controller "$bin"/cowslip-bench "$bin"/cowslipctl "$bin"/standin-* "$run/bin"
    ln -s "$(realpath "$router_file")" "$run/bin/cowslip-router"
    bin="$run/bin"
fi
trap '[ -z "$keep" ] || cp -r "$run" "$keep"; end_fleet; rm -rf "$run"' EXIT
trap 'exit 130' INT TERM

# Engine bench-slow generates slowly, so that streams stay open while memory is measured.
token_interval_of() { if [ "$1" = bench-slow ]; then echo 200; else echo 1; fi; }

# One team with an ample rate, four engines for one warm model, one engine for open streams, and a model that takes
# 60 s to load, for which requests wait.
write_bench_sheet() {
    head -1 "$root/examples/kusweg/sheet.csv"
    row domain name=bench-a
    local i
    for i in 1 2 3 4; do
        row upstream name=bench-engine-$i domain=bench-a address=127.0.0.1:2100$i engine=model fencing=checks memory_mib=20000 slots=64 fresh_slots=64 ramp_ms=1000
    done
    row upstream name=bench-slow domain=bench-a address=127.0.0.1:21005 engine=model fencing=checks memory_mib=80000 slots=1024 fresh_slots=1024 ramp_ms=1000
    for i in 1 2; do
        row upstream name=bench-service-$i domain=bench-a address=127.0.0.1:2110$i engine=service slots=64 fresh_slots=64 ramp_ms=1000
    done
    row model name=bench-warm memory_mib=10000 kv_mib_per_slot=100 kv_slots=8 max_replicas=4 load_ms=300
    row model name=bench-large memory_mib=30000 kv_mib_per_slot=100 kv_slots=8 max_replicas=1 load_ms=300
    row model name=bench-cold memory_mib=1000 kv_mib_per_slot=10 kv_slots=8 max_replicas=1 load_ms=60000
    row team name=bench rate=1000000000 burst=1000000000
    row route name=models path=/v1/ teams=bench open=no "models=bench-warm;bench-large;bench-cold" idempotent=yes deadline_ms=600000
    row route name=lookups path=/lookups methods=GET teams=bench open=no "services=bench-service-1;bench-service-2" idempotent=yes deadline_ms=20000 call_tokens=10
    row route name=orders path=/work-orders methods=POST teams=bench open=no "services=bench-service-1;bench-service-2" idempotent=no deadline_ms=20000 call_tokens=10
    row route name=notices path=/tide-notices methods=GET open=yes "services=bench-service-1;bench-service-2" idempotent=yes deadline_ms=20000
    row limit name=loads_per_10s value=1000
    row limit name=loads_at_once value=8
    row limit name=adapters_in_transit value=32
}
row() { # kind column=value...
    local kind=$1
    shift
    awk -v kind="$kind" -v pairs="$(printf '%s\n' "$@")" -v header="$(head -1 "$root/examples/kusweg/sheet.csv")" 'BEGIN {
        sub(/\r$/, "", header)
        n = split(header, names, ",")
        m = split(pairs, list, "\n")
        for (i = 1; i <= m; i++) { at = index(list[i], "="); value[substr(list[i], 1, at - 1)] = substr(list[i], at + 1) }
        value["kind"] = kind
        for (i = 1; i <= n; i++) printf "%s%s", value[names[i]], (i < n ? "," : "\n")
    }'
}

fail() { echo "bench.sh: measurement failed: $1" >&2; tail -n 3 "$run"/log/*.err "$run"/bench.err >&2 2>/dev/null; exit 1; }

example="$run/example.csv"
write_bench_sheet >"$example"
copy_sheet
"$bin/cowslipctl" check-sheet "$sheet" >"$run/bench.err" 2>&1 || fail "invalid sheet: $(cat "$run/bench.err")"
start_fleet || fail "the fleet did not start"
router=$(process_id router-1)
key=$(key_of bench)
caller="$loopback:20001"
services="$loopback:21101,$loopback:21102"
engines="$loopback:21001,$loopback:21002,$loopback:21003,$loopback:21004"

bench() { "$bin/cowslip-bench" --seed "$seed" "$@" 2>>"$run/bench.err"; }
through() { bench --targets "$caller" --key "$key" "$@"; }
get() { tr ' ' '\n' <<<"$2" | sed -n "s/^$1=//p"; }
calc() { awk "BEGIN { printf \"%.${2:-0}f\", $1 }"; }
# CPU time of the router in clock ticks: fields 14 and 15 of stat, counted after the name in parentheses.
ticks() { sed 's/.*) //' "/proc/$router/stat" | awk '{ print $12 + $13 }'; }
rss_kb() { awk '$1 == "VmRSS:" { print $2 }' "/proc/$router/status"; }
hertz=$(getconf CLK_TCK)
now_ms() { echo $(($(date +%s%N) / 1000000)); }
store_ops() { curl -sf "http://$platform_addr/journal" | sed 's/.*"operations":{"reads":\([0-9]*\),"writes":\([0-9]*\)}.*/\1 \2/'; }

show() { printf '%-58s %12s %14s  %s\n' "$1" "$2" "$3" "${4:-}"; }
compare() { # name target value relation
    show "$1" "$2" "$3" "$(awk -v a="$2" -v v="$3" -v r="$4" 'BEGIN { print ((r == "max" ? v + 0 <= a + 0 : v + 0 >= a + 0) ? "ok" : "missed") }')"
}

# Warm up: load every replica before measuring.
through --kind draft --model bench-warm --tokens 1 --requests 400 --connections 128 >/dev/null || fail "the warm model was not loaded"
sleep 3
through --kind draft --model bench-warm --tokens 1 --requests 200 --connections 16 >/dev/null || fail "the warm model does not answer"
through --kind lookup --requests 500 >/dev/null || fail "lookups failed"

# Engines that have loaded the warm model; the leader may load it on only some of them.
engines=$(for addr in ${engines//,/ }; do
    curl -sf "http://$addr/journal" | grep -q '"loaded":\[[^]]*bench-warm' && echo "$addr"
done | paste -sd, -)
[ -n "$engines" ] || fail "no engine has loaded the warm model"

# CPU time and store operations while idle.
t=$(ticks); s=($(store_ops)); m=$(now_ms)
sleep 3
idle_ms=$(($(now_ms) - m))
idle_ticks=$(($(ticks) - t))
e=($(store_ops))
idle_reads=$((e[0] - s[0])); idle_writes=$((e[1] - s[1]))

# Runs a load through the router. Sets line (the result), cpu_s (minus the idle share) and ms (wall time).
run_load() {
    local before start
    before=$(ticks); start=$(now_ms)
    line=$(through "$@") || fail "load $*: $line"
    ms=$(($(now_ms) - start))
    cpu_s=$(calc "($(ticks) - $before - $idle_ticks * $ms / $idle_ms) / $hertz" 3)
}

echo "bench $label: seed $seed, $(nproc) cores, load average $(cut -d' ' -f1-3 /proc/loadavg), commit $(git -C "$root" rev-parse --short HEAD)"
show "figure" target measured

# Added latency at half of the target load: three alternating rounds with and without the router, median of each.
median() { printf '%s\n' "$@" | sort -n | sed -n "$((($# + 1) / 2))p"; }
[ "$only" = cpu ] && kinds= || kinds="lookup draft"
for kind in $kinds; do
    targets=$services; rate=1000; count=3000
    [ "$kind" = draft ] && targets=$engines
    r50=(); r99=(); d50=(); d99=()
    for round in 1 2 3; do
        line=$(bench --targets "$targets" --kind $kind --model bench-warm --rate $rate --requests $count) || fail "direct $kind: $line"
        d50+=("$(get p50_us "$line")"); d99+=("$(get p99_us "$line")")
        line=$(through --kind $kind --model bench-warm --rate $rate --requests $count) || fail "routed $kind: $line"
        r50+=("$(get p50_us "$line")"); r99+=("$(get p99_us "$line")")
    done
    show "$kind at $rate/s, direct, p50 / p99 us" "" "$(median "${d50[@]}") / $(median "${d99[@]}")"
    show "$kind at $rate/s, through the router, p50 / p99 us" "" "$(median "${r50[@]}") / $(median "${r99[@]}")"
    show "$kind at $rate/s, added p50 us" "" "$(calc "$(median "${r50[@]}") - $(median "${d50[@]}")")"
    compare "$kind at $rate/s, added p99 us" 2000 "$(calc "$(median "${r99[@]}") - $(median "${d99[@]}")")" max
done

run_load --kind lookup --requests 12000 --connections 16
compare "lookups/s per core of the router" 2000 "$(calc "12000 / $cpu_s")" min
show "lookups/s by wall time, 16 connections" "" "$(calc "12000 / $(get seconds "$line")")"
run_load --kind draft --model bench-warm --requests 6000 --connections 16
compare "1-token drafts/s per core of the router" 2000 "$(calc "6000 / $cpu_s")" min
run_load --kind stream --model bench-warm --tokens 500 --requests 256 --connections 64
compare "streamed tokens/s per core of the router, 64 streams" 100000 "$(calc "$(get tokens "$line") / $cpu_s")" min
show "streamed tokens/s by wall time" "" "$(calc "$(get tokens "$line") / $(get seconds "$line")")"
[ "$only" = all ] || exit 0

# Store operations per request of each kind, minus the idle rate.
measure_store_ops() { # label target count arguments...
    local name=$1 target=$2 count=$3 before after reads writes
    shift 3
    before=($(store_ops))
    run_load --requests "$count" --connections 8 "$@"
    after=($(store_ops))
    reads=$(calc "(${after[0]} - ${before[0]} - $idle_reads * $ms / $idle_ms) / $count" 2)
    writes=$(calc "(${after[1]} - ${before[1]} - $idle_writes * $ms / $idle_ms) / $count" 2)
    if [ -n "$target" ]; then
        # The number of background polls during a load varies by one, so small deviations are expected.
        compare "store operations for a $name" "$target" "$(calc "$reads + $writes" 2)" max
    else
        show "store reads / writes for a $name" "" "$reads / $writes"
    fi
}
measure_store_ops "warm draft" 0.01 3000 --kind draft --model bench-warm
measure_store_ops "lookup" 0.01 6000 --kind lookup
measure_store_ops "order" "" 300 --kind order --path /work-orders
measure_store_ops "report (accepted, run, fetched once)" "" 100 --kind report --model bench-warm --tokens 4

# Resident memory per request in flight, including its connection.
measure_memory() { # label count seconds arguments...
    local name=$1 count=$2 seconds=$3 before id grown
    shift 3
    before=$(rss_kb)
    through --requests "$count" --connections "$count" --deadline-ms 300000 "$@" >/dev/null &
    id=$!
    sleep "$seconds"
    kill -0 "$id" 2>/dev/null || fail "$name: the requests ended early"
    grown=$(($(rss_kb) - before))
    kill "$id" 2>/dev/null
    wait "$id" 2>/dev/null
    show "memory of $name, KiB (over $count)" "" "$(calc "$grown / $count" 1)"
}
through --kind stream --model bench-large --tokens 1 --requests 1 >/dev/null || fail "the model for streams was not loaded"
sleep 2
measure_memory "an open stream" 800 6 --kind stream --model bench-large --tokens 2000
sleep 1
measure_memory "a waiting request" 800 5 --kind draft --model bench-cold
failed=$(cat "$run"/log/router-1.log | grep -c 'assertion failed')
show "failed assertions" 0 "$failed"
exit 0
