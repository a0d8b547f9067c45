//! Contract tests of the engines' orders and reports, with injected faults.

#![allow(clippy::unwrap_used, reason = "a failed set-up fails the test")]

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::{
    Failure, TIMEOUT_MS, closed_addr, eventually, failure, journal, pause_ms, put_fault, start_platform,
};
use cowslip_platform::{
    AdapterOrder, CheckpointTier, EngineClient, EngineOrders, EngineRole, LoadOrder, OrderReply, RoleOrder,
    UnloadOrder,
};
use cowslip_standins::{EngineServer, PlatformServer};
use cowslip_units::{FencingToken, MemorySize, ModelId, OrderId};
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use rstest::rstest;
use serde_json::json;

/// Delay of reports in the tests, in ms.
const LAG_MS: u64 = 1_000;

fn model(name: &str) -> ModelId {
    ModelId::new(name).unwrap()
}

fn engine() -> EngineServer {
    EngineServer::new("engine")
        .with_memory(MemorySize::new(1_000))
        .with_report_lag_ms(0)
        .with_token_interval_ms(1)
}

fn client() -> EngineClient {
    EngineClient::new().with_timeout_ms(TIMEOUT_MS).with_order_timeout_ms(2_000)
}

fn load(order: &str, fence: u64, name: &str, memory: u64, load_ms: u64) -> LoadOrder {
    let (order, fence) = (OrderId::new(order).unwrap(), FencingToken::new(fence));
    LoadOrder { order, fence, model: model(name), memory: MemorySize::new(memory), load_ms }
}

fn unload(order: &str, fence: u64, name: &str) -> UnloadOrder {
    UnloadOrder { order: OrderId::new(order).unwrap(), fence: FencingToken::new(fence), name: model(name) }
}

async fn loaded(client: &EngineClient, engine: SocketAddr) -> Vec<String> {
    let report = client.report(engine).await.unwrap();
    report.loaded.iter().map(|entry| entry.name.to_string()).collect()
}

fn is_refused(reply: &OrderReply) -> bool {
    matches!(reply, OrderReply::Refused { .. })
}

/// Guards against an order in doubt that is carried out twice, or that counts as not carried out.
#[rstest]
#[case::none(json!({"mode": "none"}), 50, None)]
#[case::answer_lost(json!({"mode": "cut"}), 50, Some(Failure::InDoubt))]
#[case::answer_late(json!({"mode": "late_answer", "ms": 2_500}), 50, Some(Failure::InDoubt))]
#[case::load_slower_than_timeout(json!({"mode": "none"}), 2_400, Some(Failure::InDoubt))]
#[tokio::test]
async fn load_in_doubt_is_sent_again(
    #[case] fault: serde_json::Value,
    #[case] load_ms: u64,
    #[case] expected: Option<Failure>,
) {
    let platform = start_platform();
    let engine = engine().with_platform(platform.addr).start().unwrap();
    let client = client();
    let order = load("o1", 1, "m/7b", 100, load_ms);
    put_fault(engine.addr, fault).await;
    let outcome = client.load(engine.addr, &order).await;
    assert_eq!(failure(&outcome), expected, "{outcome:?}");
    put_fault(engine.addr, json!({"mode": "none"})).await;
    let again = client.load(engine.addr, &order).await.unwrap();
    assert_eq!(again, OrderReply::Done { sequence: 1 });
    assert_eq!(loaded(&client, engine.addr).await, ["m/7b"]);
    assert_eq!(journal(platform.addr).await["weights"]["checkpoints"], json!({"m/7b": 1}));
}

/// Guards against an engine that checks fencing tokens but carries out an order of an old leader.
#[rstest]
#[case::checks(true, OrderReply::OldFence { highest: FencingToken::new(5) }, 1)]
#[case::ignores(false, OrderReply::Done { sequence: 2 }, 2)]
#[tokio::test]
async fn old_fencing_token(#[case] checks: bool, #[case] expected: OrderReply, #[case] models: usize) {
    let engine = engine().with_fencing(checks).start().unwrap();
    let client = client();
    client.load(engine.addr, &load("o1", 5, "a", 10, 1)).await.unwrap();
    assert_eq!(client.load(engine.addr, &load("o2", 4, "b", 10, 1)).await.unwrap(), expected);
    assert_eq!(loaded(&client, engine.addr).await.len(), models);
    // A retry of an order that was carried out is answered as such, even after the engine has seen a higher
    // token.
    client.load(engine.addr, &load("o3", 6, "a", 10, 1)).await.unwrap();
    let repeated = client.load(engine.addr, &load("o1", 5, "a", 10, 1)).await.unwrap();
    assert_eq!(repeated, OrderReply::Done { sequence: 1 });
}

/// Guards against overcommitted memory, also by concurrent loads.
#[tokio::test]
async fn load_beyond_memory_is_refused() {
    let engine = engine().start().unwrap();
    let client = client();
    let (one, other) = (load("o1", 1, "a", 600, 300), load("o2", 1, "b", 600, 300));
    let (one, other) = tokio::join!(client.load(engine.addr, &one), client.load(engine.addr, &other));
    let replies = [one.unwrap(), other.unwrap()];
    assert_eq!(replies.iter().filter(|reply| is_refused(reply)).count(), 1, "{replies:?}");
    let report = client.report(engine.addr).await.unwrap();
    assert_eq!(report.memory_used, MemorySize::new(600));
    assert_eq!(journal(engine.addr).await["peak_memory_mib"], 600);
    assert!(is_refused(&client.load(engine.addr, &load("o3", 1, "c", 1_001, 1)).await.unwrap()));
}

/// Guards against a load whose memory stays reserved after the weight store failed.
#[rstest]
#[case::down("down")]
#[case::connection_dropped("drop_connection")]
#[tokio::test]
async fn failed_weight_store_refuses(#[case] mode: &str) {
    let platform = start_platform();
    let engine = engine().with_platform(platform.addr).start().unwrap();
    put_fault(platform.addr, json!({"service": "weights", "mode": mode})).await;
    let reply = client().load(engine.addr, &load("o1", 1, "a", 600, 1)).await.unwrap();
    assert!(is_refused(&reply), "{reply:?}");
    assert_eq!(client().report(engine.addr).await.unwrap().memory_used, MemorySize::ZERO);
}

/// Guards against loads that read the weight store although the checkpoint is in memory or on disk.
#[tokio::test]
async fn near_tiers_do_not_use_the_weight_store() {
    let platform = start_platform();
    let engine = engine()
        .with_platform(platform.addr)
        .with_disk(vec![model("on-disk")], 4)
        .with_host_memory(vec![model("in-memory")], 1)
        .start()
        .unwrap();
    let client = client();
    for (order, name) in [("o1", "on-disk"), ("o2", "in-memory"), ("o3", "remote")] {
        client.load(engine.addr, &load(order, 1, name, 10, 10)).await.unwrap();
    }
    assert_eq!(journal(platform.addr).await["weights"]["checkpoints"], json!({"remote": 1}));
    client.unload(engine.addr, &unload("o4", 1, "remote")).await.unwrap();
    let checkpoints = client.report(engine.addr).await.unwrap().checkpoints;
    assert!(checkpoints.contains(&(model("remote"), CheckpointTier::Memory)), "{checkpoints:?}");
}

/// Guards against adapters that are loaded without their model, and against an unload that leaves them
/// loaded.
#[tokio::test]
async fn adapter_needs_its_model() {
    let platform = start_platform();
    let engine = engine().with_platform(platform.addr).start().unwrap();
    let client = client();
    let adapter = |order: &str| AdapterOrder {
        order: OrderId::new(order).unwrap(),
        fence: FencingToken::new(1),
        adapter: model("a-lora"),
        model: model("a"),
        memory: MemorySize::new(5),
        load_ms: 5,
    };
    assert!(is_refused(&client.load_adapter(engine.addr, &adapter("o1")).await.unwrap()));
    client.load(engine.addr, &load("o2", 1, "a", 10, 1)).await.unwrap();
    client.load_adapter(engine.addr, &adapter("o3")).await.unwrap();
    assert_eq!(loaded(&client, engine.addr).await, ["a", "a-lora"]);
    assert_eq!(journal(platform.addr).await["weights"]["adapters"], json!({"a-lora": 1}));
    client.unload(engine.addr, &unload("o4", 1, "a")).await.unwrap();
    assert!(loaded(&client, engine.addr).await.is_empty());
    let absent = client.unload(engine.addr, &unload("o5", 1, "a")).await.unwrap();
    assert!(matches!(absent, OrderReply::Done { .. }), "{absent:?}");
}

/// Guards against a report that is treated as the present state; its sequence shows that it is older.
#[tokio::test]
async fn report_shows_earlier_state() {
    let engine = engine().with_report_lag_ms(LAG_MS).start().unwrap();
    let client = client();
    pause_ms(100).await;
    let reply = client.load(engine.addr, &load("o1", 1, "a", 10, 1)).await.unwrap();
    assert_eq!(reply, OrderReply::Done { sequence: 1 });
    let report = client.report(engine.addr).await.unwrap();
    assert!(report.sequence < 1 && report.loaded.is_empty(), "{report:?}");
    eventually("the report shows the load", || async {
        let report = client.report(engine.addr).await.unwrap();
        report.sequence == 1 && report.loaded.len() == 1 && report.age_ms == LAG_MS
    })
    .await;
}

/// Guards against an eviction that no report shows, or that a report shows with an old sequence.
#[tokio::test]
async fn eviction_shows_in_later_report() {
    let engine = engine().start().unwrap();
    let client = client();
    for (order, name) in [("o1", "a"), ("o2", "b")] {
        client.load(engine.addr, &load(order, 1, name, 10, 1)).await.unwrap();
    }
    put_fault(engine.addr, json!({"mode": "evict", "model": "a"})).await;
    let report = client.report(engine.addr).await.unwrap();
    assert_eq!(report.loaded.iter().map(|entry| entry.name.as_str()).collect::<Vec<_>>(), ["b"]);
    assert_eq!((report.sequence, report.memory_used), (3, MemorySize::new(10)));
}

/// Guards against a restart that is not visible in reports, and against an answer from an engine that has
/// died.
#[tokio::test]
async fn death_during_load_leaves_doubt_and_new_boot() {
    let engine = engine().with_boot("boot").start().unwrap();
    let client = client();
    client.load(engine.addr, &load("o1", 3, "a", 10, 1)).await.unwrap();
    let slow = load("o2", 3, "b", 10, 1_500);
    let dies = async {
        pause_ms(200).await;
        put_fault(engine.addr, json!({"mode": "die", "ms": 1_000})).await;
        assert_eq!(failure(&client.report(engine.addr).await), Some(Failure::InDoubt));
    };
    let (outcome, ()) = tokio::join!(client.load(engine.addr, &slow), dies);
    assert_eq!(failure(&outcome), Some(Failure::InDoubt), "{outcome:?}");
    eventually("it answers again", || async { client.report(engine.addr).await.is_ok() }).await;
    let report = client.report(engine.addr).await.unwrap();
    assert_eq!((report.boot.as_str(), report.sequence, report.loaded.len()), ("boot-1", 0, 0));
    assert_eq!(report.loading, [], "the load ended with the process");
}

/// Guards against readers that rely on complete and timely cache events.
#[tokio::test]
async fn cache_events_are_late_and_have_gaps() {
    let engine = engine()
        .with_loaded(model("a"), MemorySize::new(10))
        .with_ramp(16, 0)
        .with_cache_events(LAG_MS, 3)
        .with_prefix_cache_tokens(1_000)
        .start()
        .unwrap();
    let client = client();
    let http = Client::builder(TokioExecutor::new()).build_http();
    for number in 1..=5 {
        let request = http::Request::post(format!("http://{}/v1/completions", engine.addr))
            .header("x-request-id", format!("r{number}"))
            .header("x-fleet-prefix", format!("prefix-{number}"))
            .body(Full::new(bytes::Bytes::from(
                json!({"model": "a", "prompt": "hello", "max_tokens": 1}).to_string(),
            )))
            .unwrap();
        let answer =
            tokio::time::timeout(Duration::from_secs(5), http.request(request)).await.unwrap().unwrap();
        assert!(answer.status().is_success());
    }
    assert!(client.cache_events(engine.addr, 0).await.unwrap().len() < 4, "the events are late");
    eventually("the events show with a gap", || async {
        let events = client.cache_events(engine.addr, 0).await.unwrap();
        events.iter().map(|event| event.sequence).eq([1, 2, 4, 5])
    })
    .await;
    let later = client.cache_events(engine.addr, 4).await.unwrap();
    assert_eq!(later.iter().map(|event| event.prefix.as_str()).collect::<Vec<_>>(), ["prefix-5"]);
    assert!(later.iter().all(|event| event.present));
}

/// Guards against a wrong classification of failures of the other calls.
#[tokio::test]
async fn role_order_and_missing_engine() {
    let engine = engine().start().unwrap();
    let client = client();
    let order = RoleOrder {
        order: OrderId::new("o1").unwrap(),
        fence: FencingToken::new(1),
        role: EngineRole::Prefill,
    };
    assert_eq!(client.change_role(engine.addr, &order).await.unwrap(), OrderReply::Done { sequence: 1 });
    let closed = closed_addr();
    assert_eq!(failure(&client.change_role(closed, &order).await), Some(Failure::NotConnected));
    assert_eq!(failure(&client.report(closed).await), Some(Failure::NotConnected));
    let platform = PlatformServer::new().start().unwrap();
    let outcome = client.change_role(platform.addr, &order).await;
    assert_eq!(failure(&outcome), Some(Failure::Refused(404)), "another service took no order");
}
