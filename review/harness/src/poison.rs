//! BUDGET: requests with a part that crashes servers go on reaching servers after the fifth crash.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use crate::CaseResult;
use crate::engine::{Engine, EngineLog};
use crate::http::Call;
use crate::world::{KEY, Record, World, ZONES, lock, send_recorded};

/// Models of the deployment.
const MODELS: [&str; 2] = ["daka510000", "daka510001"];

/// Time in s for which requests come.
const SPAN_S: u64 = 40;

/// Pause in ms between two requests: about 13 drafts come in a second.
const PAUSE_MS: u64 = 75;

/// One of so many requests has the poison part.
const POISON_EACH: usize = 20;

/// The bound `contact_ms`.
const CONTACT_MS: u64 = 3_000;

/// Servers that end before the rule counts, and requests that it allows later.
const MAX_ENDS: usize = 5;
const MAX_LATER: usize = 3;

/// Plays the case.
pub async fn play(record: &Record, trouble: bool) -> CaseResult {
    let mut world = World::new(record.clone(), 8).await?;
    let log = Arc::new(EngineLog {
        arrivals: Mutex::default(),
        ends: Mutex::default(),
        poison: "dead01ff".to_owned(),
        trouble,
    });
    let mut engines = Vec::new();
    for number in 0..9 {
        let zone = ZONES[number % ZONES.len()];
        let name = format!("llm-{number}");
        engines.push(Engine::start(&name, zone, &MODELS, &world.store, record, &log).await?);
    }
    world.put_config(1, &[KEY]);
    if !world.start().await {
        return Err("the gateways did not become ready".into());
    }
    let begun = Instant::now();
    let mut clients = JoinSet::new();
    let mut number = 0;
    while begun.elapsed() < Duration::from_secs(SPAN_S) {
        let gateway = &world.gateways[number % world.gateways.len()];
        let (machine, address, record) = (gateway.name.clone(), gateway.frontend, record.clone());
        let is_poison = number % POISON_EACH == POISON_EACH - 1;
        let middle = if is_poison { log.poison.clone() } else { format!("91bd3f{:02x}", number % 81) };
        let call = Call {
            method: "POST",
            path: format!("/field-draft/{number}"),
            id: format!("draft-{number:04}{}", if is_poison { "-poison" } else { "" }),
            key: KEY.to_owned(),
            deadline_ms: 12_000,
            headers: vec![
                ("Cowslippier-Model", MODELS[number % 2].to_owned()),
                ("Cowslippier-Token-Count", "1460,48".to_owned()),
                ("Cowslippier-Prompt-Prefix", format!("5c1e07a2:350,{middle}:410,e4{number:06x}:700")),
            ],
            body: "inspection notes".to_owned(),
        };
        clients.spawn(async move { (is_poison, send_recorded(&record, &machine, address, &call).await) });
        number += 1;
        sleep(Duration::from_millis(PAUSE_MS)).await;
    }
    let answers = clients.join_all().await;
    let sound = answers.iter().filter(|(is_poison, _)| !is_poison);
    let (sound, served) = sound.fold((0, 0), |(all, served), (_, seen)| {
        (all + 1, served + usize::from(seen.status == 200 && seen.complete))
    });
    let ends = lock(&log.ends).clone();
    let arrivals = lock(&log.arrivals).clone();
    let poison = arrivals.iter().filter(|arrival| arrival.poison).count();
    let from = ends.get(MAX_ENDS - 1).map(|at| at + CONTACT_MS);
    let later: Vec<_> = arrivals
        .iter()
        .filter(|arrival| arrival.poison && from.is_some_and(|from| arrival.at_ms > from))
        .collect();
    for arrival in later.iter().take(12) {
        record.line(&format!("counted: {} reached a server at {} ms", arrival.id, arrival.at_ms));
    }
    record.line(&format!(
        "{} ends of servers, {poison} arrivals with the part, {} of them later than {CONTACT_MS} ms after end {MAX_ENDS} \
         ({MAX_LATER} are allowed); {served} of {sound} sound requests served",
        ends.len(),
        later.len()
    ));
    if served * 2 < sound && !trouble {
        return Err("less than half of the sound requests were served".into());
    }
    // Without trouble the part crashes nothing, so that the rule cannot count.
    Ok(later.len() <= MAX_LATER)
}
