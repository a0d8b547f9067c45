#!/usr/bin/env bash
# Starts the stand-ins and a fleet of entry VMs on loopback, applies an example sheet and checks each guarantee.
# Usage: scripts/demo.sh [--deployment kusweg|jalarekha] [--stay]
# Exits with 0 only if every line printed "ok".
set -uo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
deployment=kusweg
stay=false
vms=3
while [ $# -gt 0 ]; do
    case $1 in
        --deployment) deployment=${2:-}; shift 2 ;;
        --stay) stay=true; shift ;;
        -h | --help) sed -n '2,4s/^# //p' "$0"; exit 0 ;;
        *) echo "demo.sh: unknown option $1" >&2; exit 2 ;;
    esac
done
case $deployment in kusweg | jalarekha) ;; *) echo "demo.sh: unknown deployment \"$deployment\"" >&2; exit 2 ;; esac

(cd "$root" && cargo build --release --locked --workspace --bins --quiet) || exit 1
[ "$deployment" = jalarekha ] && vms=4
run=$(mktemp -d)
. "$root/scripts/lib/fleet.sh"
trap 'end_fleet; [ -n "${COWSLIP_KEEP:-}" ] && cp -r "$run" "$COWSLIP_KEEP"; rm -rf "$run"' EXIT
trap 'exit 130' INT TERM
failed=0


show() { # ok|FAILED guarantee observed
    printf '%-7s %-46s %s\n' "$1" "$2" "$3"
    [ "$1" = ok ] || failed=$((failed + 1))
}
check() { # guarantee observed command...
    local guarantee=$1 observed=$2
    shift 2
    if "$@"; then show ok "$guarantee" "$observed"; else show FAILED "$guarantee" "$observed"; fi
}
millis() { echo $((($(date +%s%N) - $1) / 1000000)); }

mapfile -t teams < <(sheet_rows team name)
team=${teams[0]}
mapfile -t models < <(sheet_rows route teams models | awk -F'|' -v team="$team" '
    { n = split($1, list, ";"); for (i = 1; i <= n; i++) if (list[i] == team) { m = split($2, names, ";"); for (j = 1; j <= m; j++) if (names[j] != "") print names[j] } }')
order_path=$(sheet_rows route path idempotent methods | awk -F'|' '$2 == "no" { print $1; exit }')

post() { # vm path key body [curl options...]
    local vm=$1 path=$2 key=$3 body=$4
    shift 4
    curl -s --max-time 20 -X POST -H "authorization: Bearer $key" -H 'content-type: application/json' -d "$body" "$@" "$(router_url "$vm")$path"
}
draft() { echo "{\"model\":\"$1\",\"max_tokens\":${2:-16},\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"defect at groyne ${3:-4}\"}]}"; }
stream_is_complete() { [ "$(grep -c '^data: \[DONE\]' "$1")" = 1 ] && [ "$(grep -o 'word[0-9]*-' "$1" | wc -l)" = "$2" ]; }
journal_of() { curl -s --max-time 3 "http://$1/journal"; }
journals() { for address in $(upstream_addresses | tr , ' '); do journal_of "$address"; echo; done; }
kind_of() { sed -n 's/.*"kind":"\([a-z_]*\)".*/\1/p' "$1" | head -1; }

started=$(date +%s%N)
start_fleet || { tail -n 5 "$run"/log/*.err; exit 1; }
key=$(key_of "$team")
model=${models[0]}
echo "fleet of $vms VMs and $(sheet_rows upstream name | wc -l) upstreams is up after $(millis "$started") ms ($deployment)"

begin=$(date +%s%N)
post 1 /v1/chat/completions "$key" "$(draft "$model")" -H 'x-deadline-ms: 15000' >"$run/cold"
check "cold start: a draft for a model not loaded" "16 tokens after $(millis "$begin") ms" stream_is_complete "$run/cold" 16
begin=$(date +%s%N)
post 2 /v1/chat/completions "$key" "$(draft "$model")" -H 'x-deadline-ms: 5000' >"$run/warm"
check "a draft for a warm model" "16 tokens after $(millis "$begin") ms" stream_is_complete "$run/warm" 16

curl -s --max-time 0.4 -X POST -H "authorization: Bearer $key" -d "$(draft "$model" 400 7)" "$(router_url 1)/v1/chat/completions" >"$run/left"
# Not grep -q, which closes the pipe early; pipefail would report that as a failure.
cancelled() { [ "$(journals | grep -c '"outcome":"cancelled"')" -gt 0 ]; }
check "a disconnected caller frees the upstream" "$(grep -c '^data: {' "$run/left") of 400 tokens received" wait_for 13 "cancel" cancelled

report=$(post 1 /v1/reports "$key" "${model:+{\"model\":\"$model\",\"max_tokens\":200,\"messages\":[{\"role\":\"user\",\"content\":\"season report\"\}]\}}")
report_id=$(echo "$report" | sed -n 's/.*"id":"\([^"]*\)".*/\1/p')
report_done() { curl -s --max-time 6 -H "authorization: Bearer $key" "$(router_url 2)/v1/reports/$report_id?wait_ms=3000" >"$run/report"; grep -q '"state":"done"' "$run/report"; }
wait_for 15 "report" report_done
check "a long report, fetched through another VM" "$(grep -o 'word[0-9]*-' "$run/report" | wc -l) of 200 tokens" [ "$(grep -o 'word[0-9]*-' "$run/report" | wc -l)" = 200 ]

order_body='{"note":"rock for groyne 4"}'
post 1 "$order_path" "$key" "$order_body" -H 'idempotency-key: demo-order-1' >"$run/order1" &
first=$!
post 2 "$order_path" "$key" "$order_body" -H 'idempotency-key: demo-order-1' >"$run/order2"
wait "$first"
runs=$(journals | grep -o "\"path\":\"$order_path\"" | wc -l)
ran_once() { [ "$runs" = 1 ] && [ -s "$run/order1" ] && cmp -s "$run/order1" "$run/order2"; }
check "a non-idempotent call sent twice through two VMs" "$runs run, equal responses" ran_once

seen=$(journals | grep -ci -e authorization -e "$key")
check "no upstream receives an API key" "$seen journal lines with a key or its header" [ "$seen" = 0 ]

other=${teams[1]}
ctl key give --team "$other" --key "demo-key-to-withdraw" >/dev/null
post 1 /v1/chat/completions "demo-key-to-withdraw" '{"model":"no-such-model","messages":[]}' >"$run/before"
begin=$(date +%s%N)
ctl key withdraw "demo-key-to-withdraw" >/dev/null
withdrawn() { post 3 /v1/chat/completions "demo-key-to-withdraw" "$(draft "$model")" >"$run/withdrawn"; [ "$(kind_of "$run/withdrawn")" = key_withdrawn ]; }
wait_for 5 "withdrawal" withdrawn
check "a withdrawn key is rejected within seconds" "$(kind_of "$run/before") before, $(kind_of "$run/withdrawn") $(millis "$begin") ms after" [ "$(kind_of "$run/withdrawn")" = key_withdrawn ]

IFS='|' read -r hot rate burst < <(sheet_rows team name rate burst | sort -t'|' -k3n | head -1)
hot_key=$(key_of "$hot")
tokens=$((burst / 6))
hot_model=$(sheet_rows route teams models | awk -F'|' -v team="$hot" '{ n = split($1, list, ";"); for (i = 1; i <= n; i++) if (list[i] == team && $2 != "") { split($2, names, ";"); print names[1]; exit } }')
hot_ids=()
for index in $(seq 1 18); do
    post $((index % vms + 1)) /v1/chat/completions "$hot_key" "$(draft "$hot_model" "$tokens" "$index")" -H 'x-deadline-ms: 1500' --max-time 2 >"$run/hot-$index" &
    hot_ids+=($!)
done
wait "${hot_ids[@]}"
limited=$(grep -l '"kind":"rate_limited"' "$run"/hot-* | wc -l)
with_time=$(grep -l '"retry_after_ms":[0-9]' "$run"/hot-* | wc -l)
is_rate_limited() { [ "$limited" -ge 5 ] && [ "$with_time" -ge "$limited" ]; }
check "a team above its rate is rejected with a retry time" "$limited of 18 rejected at 3 times the burst ($burst tokens)" is_rate_limited

domain=$(domain_of_vm 2)
in_domain=$(sheet_rows upstream domain address | awk -F'|' -v d="$domain" '$1 == d { print $2 }')
work_in_domain() { for address in $in_domain; do journal_of "$address" | grep -o '"request_id"' ; done | wc -l; }
ctl domain out "$domain" >"$run/domain"
sleep 3
before=$(work_in_domain)
served=0
for index in $(seq 1 12); do
    post $((index % vms + 1)) /v1/chat/completions "$key" "$(draft "${models[$((index % 3))]}" 8 "$index")" -H 'x-deadline-ms: 8000' >"$run/out-$index"
    stream_is_complete "$run/out-$index" 8 && served=$((served + 1))
done
after=$(work_in_domain)
domain_out() { [ "$before" = "$after" ] && [ "$served" = 12 ]; }
check "a failure domain taken out gets no requests" "$served of 12 served elsewhere, $((after - before)) in $domain" domain_out
ctl domain in "$domain" >/dev/null
is_served_again() { post 1 /v1/chat/completions "$key" "$(draft "$model" 8)" -H 'x-deadline-ms: 8000' >"$run/back"; stream_is_complete "$run/back" 8; }
check "a failure domain put back is used again" "served after its return" is_served_again

"$bin/cowslip-load" --urls "$(router_addresses)" --keys "$(team_keys)" --upstreams "$(upstream_addresses)" --sheet "$sheet" \
    --rate 20 --seconds 6 --seed 7 --models 3 --deadline-ms 10000 --json >"$run/load.json" 2>/dev/null &
load=$!
sleep 2
list_entry_vm 3 leaving
kill -TERM "$(process_id router-3)" "$(process_id controller-3)"
wait "$(process_id router-3)"
router_exit=$?
wait "$load"
load_exit=$?
rm -f "$run/pid/router-3" "$run/pid/controller-3"
stopped_cleanly() { [ "$router_exit" = 0 ] && [ "$load_exit" = 0 ]; }
check "a planned stop under load fails no request" "exit $router_exit; load: $(grep -o '"lost":[0-9]*,' "$run/load.json") $(grep -o '"cut_short":{[^}]*}' "$run/load.json")" stopped_cleanly
violations=$(cat "$run"/log/*.log | grep -c 'assertion failed')
check "no internal assertion failed" "$violations in the logs" [ "$violations" = 0 ]
echo "$failed failed; $(millis "$started") ms in total"

if $stay; then
    list_entry_vm 3
    start_vm 3
    wait_for 20 "router 3" router_ready 3
    echo "COWSLIP_URLS=$(for vm in $(seq 1 "$vms"); do router_url "$vm"; done | paste -sd, -)"
    echo "COWSLIP_KEYS=$(team_keys)"
    echo "COWSLIP_UPSTREAMS=$(upstream_addresses)"
    echo "COWSLIP_OPERATOR=$run/settings/operator.ini"
    echo "The fleet keeps running until Ctrl-C."
    while :; do sleep 1; done
fi
[ "$failed" = 0 ]
