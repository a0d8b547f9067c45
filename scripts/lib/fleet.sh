# Functions to start and stop a fleet of stand-ins, routers and controllers on loopback. Sourced by the other scripts.
#
# Inputs: root (repository), deployment (kusweg or jalarekha), vms (number of entry VMs), run (a new directory).
# All processes are started here and stopped by process id; no process of the product starts another.

bin="$root/target/release"
# Set COWSLIP_LOOPBACK, for example to 127.0.7.1, to run two fleets on one machine.
loopback=${COWSLIP_LOOPBACK:-127.0.0.1}
example="$root/examples/$deployment/sheet.csv"
# Copies the example's sheet with the fleet's loopback address.
copy_sheet() {
    sheet="$run/sheet.csv"
    sed "s/127\.0\.0\.1:/$loopback:/" "$example" >"$sheet"
}
copy_sheet
operator_token="demo-operator-token"
platform_addr="$loopback:20900"

# Prints the named columns of all rows of a kind, one row per line, separated by |.
sheet_rows() { # kind column...
    local kind=$1
    shift
    awk -F, -v kind="$kind" -v wanted="$*" '
        { sub(/\r$/, "") }
        NR == 1 { sub(/^\xef\xbb\xbf/, ""); for (i = 1; i <= NF; i++) at[$i] = i; n = split(wanted, names, " "); next }
        $at["kind"] == kind {
            line = ""
            for (i = 1; i <= n; i++) line = line (i > 1 ? "|" : "") $at[names[i]]
            print line
        }' "$sheet"
}

router_url() { echo "http://$loopback:$((20000 + $1))"; }
controller_addr() { echo "$loopback:$((20200 + $1))"; }

start_process() { # name binary settings
    mkdir -p "$run/log" "$run/pid"
    "$bin/$2" --settings "$3" >>"$run/log/$1.log" 2>>"$run/log/$1.err" &
    echo $! >"$run/pid/$1"
}

process_id() { cat "$run/pid/$1" 2>/dev/null; }

# Stops a process by its id and waits for its end.
end_process() { # name [signal]
    local id
    id=$(process_id "$1") || return 0
    [ -n "$id" ] || return 0
    kill "-${2:-TERM}" "$id" 2>/dev/null || true
    wait "$id" 2>/dev/null || true
    rm -f "$run/pid/$1"
}

end_fleet() {
    local file id
    for file in "$run"/pid/*; do
        [ -e "$file" ] || continue
        disown "$(cat "$file")" 2>/dev/null || true
        kill -CONT "$(cat "$file")" 2>/dev/null || true
        kill -KILL "$(cat "$file")" 2>/dev/null || true
    done
    for file in "$run"/pid/*; do
        [ -e "$file" ] || continue
        id=$(cat "$file")
        while kill -0 "$id" 2>/dev/null; do sleep 0.01; done
        rm -f "$file"
    done
}

domain_of_vm() { # number
    local domains
    mapfile -t domains < <(sheet_rows domain name)
    echo "${domains[$((($1 - 1) % ${#domains[@]}))]}"
}

# Prints the time between tokens of an engine in ms. Scripts may override it after sourcing this file.
token_interval_of() { echo "${token_interval_ms:-10}"; }

write_settings() {
    mkdir -p "$run/settings"
    copy_sheet
    local name address fencing memory slots fresh ramp checks vm domain limits
    limits=$(sheet_rows limit name value | tr '\n' ' ')
    value_of() { echo "$limits" | tr ' ' '\n' | awk -F'|' -v name="$1" '$1 == name { print $2 }'; }
    cat >"$run/settings/platform.ini" <<INI
[platform]
addr = $platform_addr
loads_per_10s = $(value_of loads_per_10s)
loads_at_once = $(value_of loads_at_once)
adapters_in_transit = $(value_of adapters_in_transit)
vm_list_lag_ms = 500
INI
    while IFS='|' read -r name domain address engine fencing memory slots fresh ramp; do
        if [ "$engine" = service ]; then
            printf '[service]\nname = %s\naddr = %s\nlatency_ms = %s\n' "$name" "$address" "${service_latency_ms:-5}" >"$run/settings/$name.ini"
            continue
        fi
        checks=false
        [ "$fencing" = checks ] && checks=true
        cat >"$run/settings/$name.ini" <<INI
[engine]
name = $name
addr = $address
platform = $platform_addr
memory_mib = $memory
slots = $slots
fresh_slots = $fresh
ramp_ms = $ramp
checks_fencing = $checks
token_interval_ms = $(token_interval_of "$name")
report_lag_ms = 200
INI
    done < <(sheet_rows upstream name domain address engine fencing memory_mib slots fresh_slots ramp_ms)
    for vm in $(seq 1 "$vms"); do
        write_vm_settings "$vm"
    done
    local controllers
    controllers=$(for vm in $(seq 1 "$vms"); do controller_addr "$vm"; done | paste -sd, -)
    cat >"$run/settings/operator.ini" <<INI
[operator]
controllers = $controllers
token = $operator_token
author = demo
INI
}

write_vm_settings() { # number
    local domain
    domain=$(domain_of_vm "$1")
    cat >"$run/settings/router-$1.ini" <<INI
[router]
vm = vm-$1
domain = $domain
callers_addr = $loopback:$((20000 + $1))
rpc_addr = $loopback:$((20100 + $1))
platform = $platform_addr
drain_notice_ms = 500
log_level = info
policy = ${router_policy:-shared}
INI
    cat >"$run/settings/controller-$1.ini" <<INI
[controller]
vm = vm-$1
domain = $domain
rpc_addr = $(controller_addr "$1")
platform = $platform_addr
operator_token = $operator_token
log_level = info
policy = ${controller_policy:-keep_warm}
INI
}

# Adds or replaces a VM in the VM list of the platform stand-in.
list_vm() { # json
    curl -sf -o /dev/null -X PUT -H 'content-type: application/json' -d "$1" "http://$platform_addr/vms"
}

list_entry_vm() { # number [state]
    list_vm "{\"vm\":\"vm-$1\",\"domain\":\"$(domain_of_vm "$1")\",\"role\":\"entry\",\"state\":\"${2:-live}\",\"address\":\"$loopback:$((20100 + $1))\",\"controller\":\"$(controller_addr "$1")\"}"
}

wait_for() { # seconds what command...
    local limit=$1 what=$2 end
    shift 2
    end=$(($(date +%s%N) + limit * 1000000000))
    until "$@" >/dev/null 2>&1; do
        if [ "$(date +%s%N)" -ge "$end" ]; then
            echo "timed out after $limit s: $what" >&2
            return 1
        fi
        sleep 0.05
    done
}

start_vm() { # number
    start_process "controller-$1" cowslip-controller "$run/settings/controller-$1.ini"
    start_process "router-$1" cowslip-router "$run/settings/router-$1.ini"
}

ctl() { "$bin/cowslipctl" --settings "$run/settings/operator.ini" "$@"; }

router_ready() { curl -sf -o /dev/null --max-time 1 "$(router_url "$1")/readyz"; }

serves_open_route() { # number
    local path
    path=$(sheet_rows route path open | awk -F'|' '$2 == "yes" { print $1; exit }')
    curl -sf -o /dev/null --max-time 5 "$(router_url "$1")$path/1"
}

members_are() { [ "$(ctl --json status | tr ',' '\n' | grep -c '"incarnation"')" -ge "$1" ]; }

# Starts all processes, applies the sheet and gives each team a key.
start_fleet() {
    local name domain address vm team
    write_settings
    if curl -s -o /dev/null --max-time 1 "http://$platform_addr/vms"; then
        echo "another fleet is running on $loopback; set COWSLIP_LOOPBACK to another loopback address" >&2
        return 1
    fi
    start_process platform standin-platform "$run/settings/platform.ini"
    wait_for 10 "platform" curl -sf -o /dev/null "http://$platform_addr/vms"
    while IFS='|' read -r name domain address engine; do
        start_process "$name" "standin-$([ "$engine" = service ] && echo service || echo engine)" "$run/settings/$name.ini"
        list_vm "{\"vm\":\"$name\",\"domain\":\"$domain\",\"role\":\"upstream\",\"state\":\"live\",\"address\":\"$address\",\"controller\":null}"
    done < <(sheet_rows upstream name domain address engine)
    for vm in $(seq 1 "$vms"); do
        list_entry_vm "$vm"
        start_vm "$vm"
    done
    wait_for 20 "sheet applied" ctl apply "$sheet"
    for vm in $(seq 1 "$vms"); do
        wait_for 20 "router $vm" router_ready "$vm"
    done
    wait_for 20 "members" members_are "$vms"
    # A router uses its shares after the handoff delay, about 3 s after it has become a member.
    for vm in $(seq 1 "$vms"); do
        wait_for 20 "shares of router $vm" serves_open_route "$vm"
    done
    while read -r team; do
        wait_for 10 "key of $team" ctl key give --team "$team" --key "$(key_of "$team")"
    done < <(sheet_rows team name)
}

key_of() { echo "demo-key-$1-3f9a6c"; }

upstream_addresses() { sheet_rows upstream address | paste -sd, -; }
team_keys() { while read -r team; do echo "$team=$(key_of "$team")"; done < <(sheet_rows team name) | paste -sd, -; }
router_addresses() { for vm in $(seq 1 "$vms"); do echo "$loopback:$((20000 + vm))"; done | paste -sd, -; }
