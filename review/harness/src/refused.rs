//! REFUSED: a work order that a server has run is answered 503.

use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::CaseResult;
use crate::app_server::AppServer;
use crate::http::Call;
use crate::world::{KEY, Record, World, ZONES, send_recorded};

/// Requests of each kind.
const REQUESTS: usize = 120;

/// Pause in ms between two work orders: 5.71 come in a second.
const PAUSE_MS: u64 = 175;

/// Of 100 requests, so many fail at the one server in trouble, for so long in ms.
const FAILS_PERCENT: u64 = 40;
const FAILS_MS: u64 = 6_500;

/// Request before which the trouble begins.
const TROUBLE_FROM: usize = 20;

/// Plays the case.
pub async fn play(record: &Record, trouble: bool) -> CaseResult {
    let mut world = World::new(record.clone(), 8).await?;
    let mut servers = Vec::new();
    for (number, zone) in ZONES.into_iter().enumerate() {
        servers.push(AppServer::start(&format!("i-log-{number}"), zone, &world.store, record).await?);
    }
    world.put_config(1, &[KEY]);
    if !world.start().await {
        return Err("the gateways did not become ready".into());
    }
    let mut clients = JoinSet::new();
    for number in 0..REQUESTS {
        if trouble && number == TROUBLE_FROM {
            record.line("trouble: i-log-0 fails part of its requests");
            servers[0].fail_percent(FAILS_PERCENT);
            let server = Arc::clone(&servers[0]);
            tokio::spawn(async move {
                sleep(Duration::from_millis(FAILS_MS)).await;
                server.fail_percent(0);
            });
        }
        let gateway = &world.gateways[number % world.gateways.len()];
        let other = &world.gateways[(number + 3) % world.gateways.len()];
        let (first, second) =
            ((gateway.name.clone(), gateway.frontend), (other.name.clone(), other.frontend));
        let record = record.clone();
        clients.spawn(async move {
            let call = |attempt: usize| Call {
                method: "POST",
                path: format!("/work-order/{number}"),
                id: format!("order-{number:03}-attempt-{attempt}"),
                key: KEY.to_owned(),
                deadline_ms: 1_500,
                headers: Vec::new(),
                body: format!("repair order {number}"),
            };
            let mut seen =
                vec![(call(1).id, send_recorded(&record, &first.0, first.1, &call(1)).await.status)];
            if matches!(seen[0].1, 408 | 421 | 429 | 503) {
                // The promise allows the client to send its order once more.
                sleep(Duration::from_millis(100)).await;
                let status = send_recorded(&record, &second.0, second.1, &call(2)).await.status;
                seen.push((call(2).id, status));
            }
            seen
        });
        sleep(Duration::from_millis(PAUSE_MS)).await;
    }
    let answers: Vec<(String, u16)> = clients.join_all().await.into_iter().flatten().collect();
    let runs: Vec<_> = servers.iter().flat_map(|server| server.runs()).collect();
    let untrue: Vec<&(String, u16)> = answers
        .iter()
        .filter(|(id, status)| {
            matches!(status, 408 | 421 | 429 | 503) && runs.iter().any(|run| run.id == *id)
        })
        .collect();
    for (id, status) in &untrue {
        record.line(&format!("broken: {id} has run and was answered {status}, which says that it has not"));
    }
    let mut orders: Vec<&str> = runs.iter().map(|run| run.body.as_str()).collect();
    orders.sort_unstable();
    let twice = orders.chunk_by(|left, right| left == right).filter(|chunk| chunk.len() > 1).count();
    let served = answers.iter().filter(|(_, status)| *status == 200).count();
    record.line(&format!(
        "{} answers, {served} with success; {} runs; {} refusals of orders that have run; {twice} orders carried out twice",
        answers.len(),
        runs.len(),
        untrue.len()
    ));
    if served * 2 < REQUESTS {
        return Err("less than half of the orders were served".into());
    }
    Ok(untrue.is_empty())
}
