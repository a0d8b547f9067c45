//! Messages and store operations at the target, from the design's rules and the crates' constants.

use cowslip_fleet::{
    CONFIRM_PERIOD_MS, LEASE_POLL_MS, LEASE_RENEW_MS, MAX_BUCKET_OWNERS, SHARE_HANDOFF_DELAY_MS,
    SNAPSHOT_PERIOD, VIEW_WINDOW_MS,
};

use crate::CountRow;

/// Entry VMs at the target.
pub(crate) const NODES: f64 = 350.0;
/// Upstreams at the target.
pub(crate) const UPSTREAMS: f64 = 6_300.0;
/// Slots of each upstream that are assumed.
const SLOTS: f64 = 16.0;
/// Requests a second at the target.
const REQUESTS: f64 = 3_800.0;
/// Changes a day at the target.
const CHANGES: f64 = 23_000.0;
/// Time between two exchanges with a peer in ms (section 11 of docs/design.md).
const EXCHANGE_MS: f64 = 500.0;
/// Time between two reads of an engine's report in ms (`cowslip_placement::upstream_slot`).
const REPORT_MS: f64 = 250.0;
/// Time between two reads of `head` by a controller in ms (`cowslip_controller::view_follower`).
const CONTROLLER_HEAD_MS: f64 = 500.0;
/// Time between two demand reports while a request waits in ms (section 6).
const DEMAND_MS: f64 = 100.0;
/// Time between two demand reports while no request waits in ms (`cowslip_router::leader_link`).
const DEMAND_QUIET_MS: f64 = 1_000.0;
/// Peers that a router calls in each exchange (`cowslip_router::peer_exchange`).
const PEERS_PER_ROUND: f64 = 8.0;
/// Time between two scans of open reports in ms (section 8).
const SCAN_MS: f64 = 5_000.0;
/// Seconds of a day.
const DAY: f64 = 86_400.0;

/// Every counted figure.
#[allow(clippy::cast_precision_loss)]
pub(crate) fn design_counts() -> Vec<CountRow> {
    let confirm_ms = CONFIRM_PERIOD_MS as f64;
    let poll_ms = LEASE_POLL_MS as f64;
    let per_second = "a second";
    let own_share = SLOTS / NODES;
    // A majority of 350 is 176, and the process itself counts.
    let majority = (NODES / 2.0).floor();
    // A team's tokens are at its home nodes: a request arrives at one of them with this chance.
    let at_home = MAX_BUCKET_OWNERS as f64 / NODES;
    vec![
        CountRow::new("store.head_reads", NODES * 1e3 / confirm_ms, per_second, "nodes / CONFIRM_PERIOD_MS"),
        CountRow::new(
            "store.controller_head_reads",
            NODES * 1e3 / CONTROLLER_HEAD_MS,
            per_second,
            "controllers / HEAD_PERIOD_MS (cowslip_controller::view_follower)",
        ),
        CountRow::new(
            "store.lease_reads",
            (NODES - 1.0) * 1e3 / poll_ms,
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
            NODES * 1e3 / SCAN_MS,
            per_second,
            "nodes / 5 s (section 8); each reads all report rows, 256 at a time",
        ),
        CountRow::new(
            "store.change_writes",
            CHANGES / DAY,
            per_second,
            "one transaction with 3 puts for each change",
        ),
        CountRow::new("store.change_reads", CHANGES / DAY, per_second, "one read of head for each change"),
        CountRow::new(
            "store.snapshot_writes",
            CHANGES / SNAPSHOT_PERIOD as f64,
            "a day",
            "changes / SNAPSHOT_PERIOD",
        ),
        CountRow::new(
            "store.order_writes",
            2.0,
            "for each non-idempotent request",
            "claim, then answer (section 8)",
        ),
        CountRow::new("store.report_writes", 4.0, "for each report", "body, row, result, row (section 8)"),
        CountRow::new(
            "vms.reads",
            2.0 * NODES * 1e3 / confirm_ms,
            per_second,
            "every router polls each second (section 7), and every controller (cowslip_controller::vm_watch)",
        ),
        CountRow::new(
            "peer.exchanges_sent",
            (NODES - 1.0) * 1e3 / EXCHANGE_MS,
            "a second and node",
            "every other router each 500 ms; as many arrive",
        ),
        CountRow::new(
            "peer.exchanges_by_router",
            PEERS_PER_ROUND * 1e3 / EXCHANGE_MS,
            "a second and node, sent",
            "PEERS_PER_ROUND each 500 ms (cowslip_router::peer_exchange); as many arrive",
        ),
        CountRow::new(
            "peer.round",
            (NODES - 1.0) / PEERS_PER_ROUND * EXCHANGE_MS / 1e3,
            "s",
            "until a router has called every other one, PEERS_PER_ROUND each 500 ms",
        ),
        CountRow::new(
            "permit.own_chance",
            own_share,
            "of dispatches",
            "16 slots over 350 members: the others need permit_borrow and permit_return",
        ),
        CountRow::new(
            "permit.calls",
            2.0 * (1.0 - own_share) * REQUESTS / NODES,
            "a second and node, sent",
            "a borrow and a return for each dispatch without an own permit",
        ),
        CountRow::new(
            "tokens.calls",
            (1.0 - at_home) * REQUESTS / NODES,
            "a second and node, sent",
            "one borrow for each request that does not arrive at a home node",
        ),
        CountRow::new(
            "degraded.calls",
            majority * 1e3 / confirm_ms,
            "a second and node, sent",
            "view_confirm to a majority without oneself each CONFIRM_PERIOD_MS",
        ),
        CountRow::new(
            "degraded.calls_by_router",
            (NODES - 1.0) * 1e3 / confirm_ms,
            "a second and node, sent",
            "every peer when the first four cannot confirm (cowslip_router::store_poll); as many arrive",
        ),
        CountRow::new(
            "degraded.calls_at_least",
            majority * 1e3 / (VIEW_WINDOW_MS as f64),
            "a second and node, sent",
            "one majority for each view window, without any margin",
        ),
        CountRow::new(
            "leader.status_calls",
            NODES,
            per_second,
            "router_status of every entry VM each second (cowslip_controller::member_keeper)",
        ),
        CountRow::new(
            "engine.reports",
            UPSTREAMS * 1e3 / REPORT_MS,
            per_second,
            "upstreams / 250 ms, at the leader",
        ),
        CountRow::new(
            "demand.reports_at_most",
            NODES * 1e3 / DEMAND_MS,
            per_second,
            "every router has a waiting request; each reports each 100 ms, at the leader",
        ),
        CountRow::new(
            "demand.reports_at_least",
            NODES * 1e3 / DEMAND_QUIET_MS,
            per_second,
            "each router each second while nothing waits (cowslip_router::leader_link), at the leader",
        ),
        CountRow::new(
            "restart.member_changes",
            2.0 * NODES,
            "changes",
            "every entry VM restarts: one removal and one addition each (next_members)",
        ),
        CountRow::new(
            "restart.gain_wait",
            SHARE_HANDOFF_DELAY_MS as f64,
            "ms",
            "SHARE_GAIN_WAIT_MS after a majority has a change",
        ),
    ]
}
