//! CONFIG: a key that was taken away is in force again at a machine that starts while the store is back from an
//! older copy.

use std::time::Duration;

use cowslip_adapter_standins::StoreFault;
use tokio::time::{Instant, sleep};

use crate::CaseResult;
use crate::app_server::AppServer;
use crate::http::Call;
use crate::world::{KEY, OTHER_KEY, Record, World, ZONES, send_recorded};

/// The bound `revoke_ms`.
const REVOKE_MS: u64 = 5_000;

/// Time in ms from the key's revocation to the drill.
const DRILL_AFTER_MS: u64 = 6_500;

/// Time in ms for which the store is away.
const AWAY_MS: u64 = 1_000;

/// Time in ms after which the operator has written again what was lost.
const REWRITE_MS: u64 = 2_000;

fn call(name: &str, number: usize, key: &str) -> Call {
    Call {
        method: "POST",
        path: format!("/work-order/{number}"),
        id: format!("{name}-{number:03}"),
        key: key.to_owned(),
        deadline_ms: 1_500,
        headers: Vec::new(),
        body: format!("{name} {number}"),
    }
}

/// Plays the case.
pub async fn play(record: &Record, trouble: bool) -> CaseResult {
    let mut world = World::new(record.clone(), 8).await?;
    let mut servers = Vec::new();
    for (number, zone) in ZONES.into_iter().enumerate() {
        servers.push(AppServer::start(&format!("i-log-{number}"), zone, &world.store, record).await?);
    }
    world.put_config(1, &[KEY, OTHER_KEY]);
    if !world.start().await {
        return Err("the gateways did not become ready".into());
    }
    let first = &world.gateways[0];
    let before = send_recorded(record, &first.name, first.frontend, &call("before", 0, OTHER_KEY)).await;
    if before.status != 200 {
        return Err("the key did not work before it was taken away".into());
    }
    let copy = world.store.version();
    sleep(Duration::from_millis(500)).await;
    world.put_config(2, &[KEY]);
    let acknowledged_ms = record.now_ms();
    sleep(Duration::from_millis(DRILL_AFTER_MS)).await;
    let victim = world.leader().ok_or("no gateway holds the lease")?;
    if trouble {
        record.line("platform: the store is away");
        world.store.set_fault(StoreFault::Reset);
        world.gateways[victim].kill();
        record.line(&format!("platform: {} is killed", world.gateways[victim].name));
        sleep(Duration::from_millis(AWAY_MS)).await;
        world.store.restore_backup(copy);
        world.store.set_fault(StoreFault::None);
        record.line("platform: the store is back from an older copy");
        world.gateways[victim].start();
        record.line(&format!("platform: {} is started again", world.gateways[victim].name));
    }
    let back = Instant::now();
    let mut is_rewritten = !trouble;
    let mut number = 0;
    while back.elapsed() < Duration::from_millis(REWRITE_MS + 3_000) {
        if !is_rewritten && back.elapsed() >= Duration::from_millis(REWRITE_MS) {
            world.put_config(2, &[KEY]);
            is_rewritten = true;
        }
        // The balancer sends new connections to machines that are ready.
        for at in [victim, number % world.gateways.len()] {
            let gateway = &world.gateways[at];
            if gateway.is_ready().await {
                number += 1;
                let call = call("revoked", number, OTHER_KEY);
                send_recorded(record, &gateway.name, gateway.frontend, &call).await;
            }
        }
        sleep(Duration::from_millis(60)).await;
    }
    let runs: Vec<_> = servers.iter().flat_map(|server| server.runs()).collect();
    let broken: Vec<_> = runs
        .iter()
        .filter(|run| run.id.starts_with("revoked-") && run.at_ms > acknowledged_ms + REVOKE_MS)
        .collect();
    for run in &broken {
        record.line(&format!(
            "broken: {} ran {} ms after the acknowledgement that took its key away",
            run.id,
            run.at_ms - acknowledged_ms
        ));
    }
    record.line(&format!("{number} requests with the key that was taken away, {} ran", broken.len()));
    Ok(broken.is_empty())
}
