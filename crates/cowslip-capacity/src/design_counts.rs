//! Messages and store operations at the target size, computed from the rules of the design and the crates'
//! constants.

use cowslip_fleet::{
    CONFIRM_PERIOD_MS, LEASE_POLL_MS, LEASE_RENEW_MS, MAX_BUCKET_OWNERS, SHARE_HANDOFF_DELAY_MS,
    SNAPSHOT_PERIOD, VIEW_WINDOW_MS,
};

use crate::CountRow;

/// Number of entry VMs at the target.
pub(crate) const ENTRY_VMS: f64 = 350.0;
/// Number of upstreams at the target.
pub(crate) const UPSTREAMS: f64 = 6_300.0;
/// Assumed number of slots per upstream.
const SLOTS: f64 = 16.0;
/// Requests per second at the target.
const REQUESTS_PER_SECOND: f64 = 3_800.0;
/// Configuration changes per day at the target.
const CHANGES_PER_DAY: f64 = 23_000.0;
/// Interval of exchanges with a peer in ms (section 11 of docs/design.md).
const EXCHANGE_INTERVAL_MS: f64 = 500.0;
/// Interval of reads of an engine's report in ms (`cowslip_placement::engine_state`).
const REPORT_MS: f64 = 250.0;
/// Interval of reads of `head` by a controller in ms (`cowslip_controller::view_follower`).
const CONTROLLER_HEAD_INTERVAL_MS: f64 = 500.0;
/// Interval of demand reports in ms while a request waits (section 6).
const DEMAND_INTERVAL_MS: f64 = 100.0;
/// Interval of demand reports in ms while no request waits (`cowslip_router::leader_link`).
const DEMAND_IDLE_INTERVAL_MS: f64 = 1_000.0;
/// Peers called by a router in each exchange (`cowslip_router::peer_exchange`).
const PEERS_PER_ROUND: f64 = 8.0;
/// Interval of scans of open reports in ms (section 8).
const SCAN_INTERVAL_MS: f64 = 5_000.0;
/// Seconds per day.
const SECONDS_PER_DAY: f64 = 86_400.0;

/// Computes all figures.
#[allow(clippy::cast_precision_loss)]
pub(crate) fn design_counts() -> Vec<CountRow> {
    let confirm_ms = CONFIRM_PERIOD_MS as f64;
    let poll_ms = LEASE_POLL_MS as f64;
    let per_second = "per second";
    let own_share = SLOTS / ENTRY_VMS;
    // A majority of 350 is 176, one of which is the VM itself.
    let majority = (ENTRY_VMS / 2.0).floor();
    // A team's tokens are held by its bucket owners; a request arrives at one of them with this probability.
    let owner_probability = MAX_BUCKET_OWNERS as f64 / ENTRY_VMS;
    vec![
        CountRow::new(
            "store.head_reads",
            ENTRY_VMS * 1e3 / confirm_ms,
            per_second,
            "VMs / CONFIRM_PERIOD_MS",
        ),
        CountRow::new(
            "store.controller_head_reads",
            ENTRY_VMS * 1e3 / CONTROLLER_HEAD_INTERVAL_MS,
            per_second,
            "controllers / HEAD_PERIOD_MS (cowslip_controller::view_follower)",
        ),
        CountRow::new(
            "store.lease_reads",
            (ENTRY_VMS - 1.0) * 1e3 / poll_ms,
            per_second,
            "candidates / LEASE_POLL_MS",
        ),
        CountRow::new(
            "store.lease_writes",
            1e3 / LEASE_RENEW_MS as f64,
            per_second,
            "one holder / LEASE_RENEW_MS",
        ),
        CountRow::new(
            "store.report_scans",
            ENTRY_VMS * 1e3 / SCAN_INTERVAL_MS,
            per_second,
            "VMs / 5 s (section 8); each scan reads all report rows, 256 at a time",
        ),
        CountRow::new(
            "store.change_writes",
            CHANGES_PER_DAY / SECONDS_PER_DAY,
            per_second,
            "one transaction with 3 puts per change",
        ),
        CountRow::new(
            "store.change_reads",
            CHANGES_PER_DAY / SECONDS_PER_DAY,
            per_second,
            "one read of head per change",
        ),
        CountRow::new(
            "store.snapshot_writes",
            CHANGES_PER_DAY / SNAPSHOT_PERIOD as f64,
            "per day",
            "changes / SNAPSHOT_PERIOD",
        ),
        CountRow::new(
            "store.order_writes",
            2.0,
            "per non-idempotent request",
            "claim, then response (section 8)",
        ),
        CountRow::new("store.report_writes", 4.0, "per report", "body, row, result, row (section 8)"),
        CountRow::new(
            "vms.reads",
            2.0 * ENTRY_VMS * 1e3 / confirm_ms,
            per_second,
            "every router polls each second (section 7), as does every controller (cowslip_controller::vm_watch)",
        ),
        CountRow::new(
            "peer.exchanges_sent",
            (ENTRY_VMS - 1.0) * 1e3 / EXCHANGE_INTERVAL_MS,
            "per second and VM",
            "every other router each 500 ms; as many are received",
        ),
        CountRow::new(
            "peer.exchanges_by_router",
            PEERS_PER_ROUND * 1e3 / EXCHANGE_INTERVAL_MS,
            "per second and VM, sent",
            "PEERS_PER_ROUND each 500 ms (cowslip_router::peer_exchange); as many are received",
        ),
        CountRow::new(
            "peer.round",
            (ENTRY_VMS - 1.0) / PEERS_PER_ROUND * EXCHANGE_INTERVAL_MS / 1e3,
            "s",
            "until a router has called every other router, PEERS_PER_ROUND each 500 ms",
        ),
        CountRow::new(
            "permit.own_chance",
            own_share,
            "of dispatches",
            "16 slots over 350 members: the others need permit_borrow and permit_return",
        ),
        CountRow::new(
            "permit.calls",
            2.0 * (1.0 - own_share) * REQUESTS_PER_SECOND / ENTRY_VMS,
            "per second and VM, sent",
            "a borrow and a return per dispatch without an own permit",
        ),
        CountRow::new(
            "tokens.calls",
            (1.0 - owner_probability) * REQUESTS_PER_SECOND / ENTRY_VMS,
            "per second and VM, sent",
            "one borrow per request that does not arrive at a bucket owner",
        ),
        CountRow::new(
            "degraded.calls",
            majority * 1e3 / confirm_ms,
            "per second and VM, sent",
            "view_confirm to a majority, without the VM itself, each CONFIRM_PERIOD_MS",
        ),
        CountRow::new(
            "degraded.calls_by_router",
            (ENTRY_VMS - 1.0) * 1e3 / confirm_ms,
            "per second and VM, sent",
            "every peer if the first four cannot confirm (cowslip_router::store_poll); as many are received",
        ),
        CountRow::new(
            "degraded.calls_at_least",
            majority * 1e3 / (VIEW_WINDOW_MS as f64),
            "per second and VM, sent",
            "one majority per view window, without any margin",
        ),
        CountRow::new(
            "leader.status_calls",
            ENTRY_VMS,
            per_second,
            "router_status of every entry VM each second (cowslip_controller::member_loop)",
        ),
        CountRow::new(
            "engine.reports",
            UPSTREAMS * 1e3 / REPORT_MS,
            per_second,
            "upstreams / 250 ms, at the leader",
        ),
        CountRow::new(
            "demand.reports_at_most",
            ENTRY_VMS * 1e3 / DEMAND_INTERVAL_MS,
            per_second,
            "every router has a waiting request and reports each 100 ms, at the leader",
        ),
        CountRow::new(
            "demand.reports_at_least",
            ENTRY_VMS * 1e3 / DEMAND_IDLE_INTERVAL_MS,
            per_second,
            "each router each second while no request waits (cowslip_router::leader_link), at the leader",
        ),
        CountRow::new(
            "restart.member_changes",
            2.0 * ENTRY_VMS,
            "changes",
            "every entry VM restarts: one removal and one addition each (next_member_change)",
        ),
        CountRow::new(
            "restart.gain_wait",
            SHARE_HANDOFF_DELAY_MS as f64,
            "ms",
            "SHARE_HANDOFF_DELAY_MS after a majority has a change",
        ),
    ]
}
