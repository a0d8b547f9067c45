//! Tests of the engine stand-in's responses and streams, with and without faults.

#![allow(clippy::unwrap_used, reason = "a failed set-up fails the test")]

mod common;

use std::time::{Duration, Instant};

use common::{TestCaller, engine, read_stream};
use rstest::rstest;
use serde_json::{Value, json};

/// First digits of SHA-256 of "m\np", computed with another tool (sha256sum).
const DIGEST: &str = "de175578";

/// The text must follow from model, prompt and offset alone; otherwise clients could not verify it.
#[tokio::test]
async fn stream_is_contiguous_and_ends_with_marker() {
    let server = engine().start().unwrap();
    let read = TestCaller::new(server.addr).stream("r1", 4).await;
    assert!(read.done && read.ended_cleanly);
    assert_eq!(read.offsets(), [0, 1, 2, 3]);
    for (offset, event) in read.events.iter().flatten().enumerate() {
        assert_eq!(event["id"], "r1");
        assert_eq!(event["choices"][0]["text"], format!("word{offset}-{DIGEST} "));
        assert_eq!(event["choices"][0]["finish_reason"].is_null(), offset < 3);
    }
    assert_eq!(read.events[3].as_ref().unwrap()["usage"]["completion_tokens"], 4);
}

/// Guards against chat responses that differ from the completion of the concatenated messages.
#[rstest]
#[case::texts(json!([{"role": "system", "content": "p"}]))]
#[case::parts(json!([{"role": "user", "content": [{"type": "text", "text": "p"}]}]))]
#[case::several(json!([{"role": "system", "content": ""}, {"role": "user", "content": "p"}]))]
#[tokio::test]
async fn chat_text_follows_from_messages(#[case] messages: Value) {
    let server = engine().start().unwrap();
    let caller = TestCaller::new(server.addr);
    let body = json!({"model": "m", "messages": messages, "max_tokens": 2}).to_string();
    let response =
        caller.send("POST", "/v1/chat/completions", &[("x-request-id", "r1")], body).await.unwrap();
    assert_eq!(response.headers()["x-request-id"], "r1");
    let body = http_body_util::BodyExt::collect(response.into_body()).await.unwrap().to_bytes();
    let answer: Value = serde_json::from_slice(&body).unwrap();
    let text = format!("word0-{DIGEST} word1-{DIGEST} ");
    assert_eq!(answer["choices"][0]["message"]["content"], text);
}

/// Guards against stream faults that differ from their description, so that checks of clients would go
/// untested.
#[rstest]
#[case::none(json!({"mode": "none"}), &[0, 1, 2, 3], true, true)]
#[case::garbage(json!({"mode": "garbage"}), &[0, 1, 3], true, true)]
#[case::cut(json!({"mode": "cut"}), &[0, 1], false, false)]
#[case::gap(json!({"mode": "gap"}), &[0, 1, 3], true, true)]
#[case::truncate(json!({"mode": "truncate"}), &[0, 1], false, true)]
#[case::stall(json!({"mode": "stall", "ms": 100}), &[0, 1, 2, 3], true, true)]
#[case::slow(json!({"mode": "slow", "ms": 100}), &[0, 1, 2, 3], true, true)]
#[case::late_answer(json!({"mode": "late_answer", "ms": 100}), &[0, 1, 2, 3], true, true)]
#[case::other_model(json!({"mode": "cut", "model": "n"}), &[0, 1, 2, 3], true, true)]
#[case::every_second(json!({"mode": "cut", "every": 2}), &[0, 1, 2, 3], true, true)]
#[tokio::test]
async fn stream_under_fault(
    #[case] fault: Value,
    #[case] offsets: &[u64],
    #[case] done: bool,
    #[case] ended_cleanly: bool,
) {
    let server = engine().start().unwrap();
    let caller = TestCaller::new(server.addr);
    caller.put_fault(fault.clone()).await;
    let read = caller.stream("r1", 4).await;
    assert_eq!((read.offsets().as_slice(), read.done, read.ended_cleanly), (offsets, done, ended_cleanly));
    assert_eq!(
        read.events.iter().filter(|event| event.is_none()).count(),
        usize::from(fault["mode"] == "garbage")
    );
}

/// Guards against responses to other requests that cannot be recognised by id and text.
#[rstest]
#[case::wrong_id("wrong_id", &["unknown-r2"; 4], 4)]
#[case::cross("cross", &["r2", "r2", "r1", "r1"], 2)]
#[tokio::test]
async fn stream_with_other_id(#[case] mode: &str, #[case] ids: &[&str], #[case] own_text: usize) {
    let server = engine().start().unwrap();
    let caller = TestCaller::new(server.addr);
    caller.complete("r1", &json!({"model": "m", "prompt": "other"})).await.unwrap();
    caller.put_fault(json!({"mode": mode})).await;
    let read = caller.stream("r2", 4).await;
    let events: Vec<&Value> = read.events.iter().flatten().collect();
    assert_eq!(events.iter().map(|event| event["id"].as_str().unwrap()).collect::<Vec<_>>(), ids);
    let is_own = |event: &&&Value| event["choices"][0]["text"].as_str().unwrap().contains(DIGEST);
    assert_eq!(events.iter().filter(is_own).count(), own_text);
}

/// Guards against faults of complete responses that differ from their description.
#[rstest]
#[case::none("none", Ok((200, true)))]
#[case::garbage("garbage", Ok((200, false)))]
#[case::truncate("truncate", Ok((200, false)))]
#[case::cut("cut", Ok((200, false)))]
#[case::refuse("refuse", Ok((429, true)))]
#[tokio::test]
async fn response_under_fault(#[case] mode: &str, #[case] expected: Result<(u16, bool), String>) {
    let server = engine().start().unwrap();
    let caller = TestCaller::new(server.addr);
    caller.put_fault(json!({"mode": mode})).await;
    let answer = caller.complete("r1", &json!({"model": "m", "prompt": "p", "max_tokens": 4})).await;
    assert_eq!(answer.map(|(status, body)| (status, body.is_some())), expected);
    caller.wait_outcome("r1", if mode == "refuse" { "refused" } else { "ran" }).await;
}

/// Guards against a resume that repeats or skips events, or that is hit by the fault again.
#[tokio::test]
async fn cut_stream_resumes_from_offset() {
    let server = engine().start().unwrap();
    let caller = TestCaller::new(server.addr);
    caller.put_fault(json!({"mode": "cut"})).await;
    assert_eq!(caller.stream("r1", 20).await.offsets(), (0..10).collect::<Vec<_>>());
    let rest = caller.resume("r1", 10).await;
    assert_eq!(rest.offsets(), (10..20).collect::<Vec<_>>());
    assert!(rest.done && rest.ended_cleanly);
    assert_eq!(caller.resume("r1", 18).await.offsets(), [18, 19], "a finished stream can be read again");
    assert_eq!(caller.resume("r2", 0).await.status, 404);
}

/// Guards against streams that keep running without a reader, and that can still be resumed after their
/// cancellation.
#[tokio::test]
async fn interrupted_stream_is_cancelled_after_resume_time() {
    let server = engine().with_resume_ms(200).start().unwrap();
    let caller = TestCaller::new(server.addr);
    caller.put_fault(json!({"mode": "cut"})).await;
    assert!(!caller.stream("r1", 1_000).await.done);
    caller.wait_outcome("r1", "cancelled").await;
    assert_eq!(caller.resume("r1", 0).await.status, 404);
}

/// Guards against a cancelled request that keeps its slot, or whose stream looks complete.
#[tokio::test]
async fn cancel_ends_stream_and_frees_slot() {
    let server = engine().with_slots(1).start().unwrap();
    let caller = TestCaller::new(server.addr);
    let request = json!({"model": "m", "prompt": "p", "max_tokens": 100_000, "stream": true});
    let running = caller.start("r1", "urgent", &request).await.unwrap();
    assert_eq!(caller.cancel("r1").await, 204);
    let read = read_stream(running).await;
    assert!(!read.done && !read.ended_cleanly);
    caller.wait_outcome("r1", "cancelled").await;
    assert!(caller.stream("r2", 2).await.done);
    assert_eq!(caller.resume("r1", 0).await.status, 404);
    assert_eq!(caller.cancel("r1").await, 204, "cancelling twice is not an error");
}

/// Guards against generating complete responses for callers that have disconnected.
#[tokio::test]
async fn closed_connection_cancels_request() {
    let server = engine().start().unwrap();
    let caller = TestCaller::new(server.addr);
    let request = json!({"model": "m", "prompt": "p", "max_tokens": 100_000});
    let call = caller.start("r1", "urgent", &request);
    assert!(tokio::time::timeout(Duration::from_millis(200), call).await.is_err());
    caller.wait_outcome("r1", "cancelled").await;
}

/// Guards against batch requests that delay urgent ones, and against an unbounded queue.
#[tokio::test]
async fn urgent_requests_leave_queue_first() {
    let server = engine().with_slots(1).with_token_interval_ms(10).start().unwrap();
    let caller = TestCaller::new(server.addr);
    let request = json!({"model": "m", "prompt": "p", "max_tokens": 30});
    let mut calls = Vec::new();
    for (id, priority) in [("running", "urgent"), ("batch", "batch"), ("urgent", "urgent")] {
        let (caller, request) = (caller.clone(), request.clone());
        calls.push(tokio::spawn(async move { caller.start(id, priority, &request).await.unwrap().status() }));
        TestCaller::new(server.addr).wait_outcome(id, "running").await;
    }
    let (status, body) = caller.complete("refused", &request).await.unwrap();
    assert_eq!((status, &body.unwrap()["error"]["ran"]), (429, &json!(false)));
    caller.wait_outcome("urgent", "ran").await;
    let journal = caller.journal().await;
    let outcome = |id: &str| {
        journal["requests"].as_array().unwrap().iter().find(|request| request["request_id"] == id).unwrap()
            ["outcome"].clone()
    };
    assert_eq!((outcome("running"), outcome("batch")), (json!("ran"), json!("running")));
    assert_eq!(journal["peak_running"], 1);
    for call in calls {
        assert_eq!(tokio::time::timeout(Duration::from_secs(10), call).await.unwrap().unwrap(), 200);
    }
}

/// Guards against rejections that do not state that the request has not run.
#[rstest]
#[case::not_loaded(json!({"model": "n", "prompt": "p"}), 409, "not_loaded")]
#[case::not_a_name(json!({"model": "a b", "prompt": "p"}), 409, "not_loaded")]
#[case::no_model(json!({"prompt": "p"}), 400, "bad_request")]
#[tokio::test]
async fn rejection_states_not_run(#[case] request: Value, #[case] status: u16, #[case] kind: &str) {
    let server = engine().start().unwrap();
    let caller = TestCaller::new(server.addr);
    let (answered, body) = caller.complete("r1", &request).await.unwrap();
    let error = &body.unwrap()["error"];
    assert_eq!((answered, &error["kind"], &error["ran"]), (status, &json!(kind), &json!(false)));
    caller.wait_outcome("r1", "refused").await;
}

/// Guards against an engine that handles full load during its warm-up, or keeps its models after a crash.
#[rstest]
#[case::within_bound(2, false)]
#[case::beyond_bound(3, true)]
#[tokio::test]
async fn engine_crashes_on_overload_during_warmup(#[case] requests: usize, #[case] falls: bool) {
    let server = engine().with_slots(16).with_ramp(2, 60_000).with_boot("boot").start().unwrap();
    let caller = TestCaller::new(server.addr);
    let request = json!({"model": "m", "prompt": "p", "max_tokens": 60});
    let call = |number: usize| {
        let (caller, request) = (caller.clone(), request.clone());
        async move { caller.complete(&format!("r{number}"), &request).await.unwrap().0 }
    };
    let calls: Vec<_> = (0..requests).map(|number| tokio::spawn(call(number))).collect();
    for call in calls {
        let status = tokio::time::timeout(Duration::from_secs(10), call).await.unwrap().unwrap();
        assert_eq!(status, if falls { 500 } else { 200 });
    }
    let journal = caller.journal().await;
    assert_eq!(
        (&journal["fell_over"], &journal["loaded"]),
        (&json!(u64::from(falls)), &if falls { json!([]) } else { json!(["m"]) })
    );
    assert_eq!(journal["peak_running_fresh"], requests);
}

/// Guards against a dead engine that responds, and against models that survive its restart.
#[tokio::test]
async fn dead_engine_closes_connections_and_comes_back_empty() {
    let server = engine().start().unwrap();
    let caller = TestCaller::new(server.addr);
    let request = json!({"model": "m", "prompt": "p", "max_tokens": 100_000, "stream": true});
    let running = caller.start("r1", "urgent", &request).await.unwrap();
    caller.put_fault(json!({"mode": "die", "ms": 500})).await;
    let read = read_stream(running).await;
    assert!(!read.done && !read.ended_cleanly);
    assert!(caller.complete("r2", &request).await.is_err());
    tokio::time::sleep(Duration::from_millis(700)).await;
    assert_eq!(caller.complete("r3", &request).await.unwrap().0, 409);
    caller.wait_outcome("r1", "failed").await;
}

/// Guards against importing KV data under a prefix it was not exported for, or for a model that is not
/// loaded.
#[tokio::test]
async fn kv_transfers_between_engines() {
    let servers = [engine().start().unwrap(), engine().start().unwrap()];
    let [from, to] = [TestCaller::new(servers[0].addr), TestCaller::new(servers[1].addr)];
    let headers = [("x-request-id", "r1"), ("x-fleet-prefix", "t:1")];
    let body = json!({"model": "m", "prompt": "p", "max_tokens": 1}).to_string();
    assert_eq!(from.send("POST", "/v1/completions", &headers, body).await.unwrap().status(), 200);
    let request = json!({"model": "m", "prefix": "t:1"}).to_string();
    assert_eq!(to.send("POST", "/kv/export", &[], request.clone()).await.unwrap().status(), 404);
    let exported = from.send("POST", "/kv/export", &[], request.clone()).await.unwrap();
    let exported = http_body_util::BodyExt::collect(exported.into_body()).await.unwrap().to_bytes();
    let exported = String::from_utf8(exported.to_vec()).unwrap();
    for (path, status) in [
        ("/kv/import?model=m&prefix=t%3A1", 204),
        ("/kv/import?model=m&prefix=t%3A2", 400),
        ("/kv/import?model=n&prefix=t%3A1", 400),
    ] {
        assert_eq!(to.send("POST", path, &[], exported.clone()).await.unwrap().status(), status, "{path}");
    }
    assert_eq!(to.send("POST", "/kv/export", &[], request).await.unwrap().status(), 200);
}

/// Guards against an engine whose speed does not depend on load: with all slots in use, tokens take twice as
/// long.
#[tokio::test]
async fn token_interval_grows_with_load() {
    let server = engine().with_slots(16).start().unwrap();
    let caller = TestCaller::new(server.addr);
    let started = Instant::now();
    let calls: Vec<_> = (0..16)
        .map(|number| {
            let caller = caller.clone();
            tokio::spawn(async move { caller.stream(&format!("r{number}"), 40).await.done })
        })
        .collect();
    for call in calls {
        assert!(tokio::time::timeout(Duration::from_secs(10), call).await.unwrap().unwrap());
    }
    // 40 tokens at 10 ms each take 400 ms; 100 ms are allowed for the time until all streams have started.
    assert!(started.elapsed() >= Duration::from_millis(300), "{:?}", started.elapsed());
}

/// Guards against a prefix cache without savings, on which prefix-aware routing would show no effect.
#[tokio::test]
async fn cached_prefix_saves_prefill() {
    let server = engine().with_prefill_us_per_token(1_000).start().unwrap();
    let caller = TestCaller::new(server.addr);
    let body = json!({"model": "m", "prompt": "p".repeat(4_000), "max_tokens": 1}).to_string();
    let mut took = Vec::new();
    for (id, prefix) in [("r1", "t:1"), ("r2", "t:1"), ("r3", "t:2")] {
        let started = Instant::now();
        let headers = [("x-request-id", id), ("x-fleet-prefix", prefix)];
        caller.send("POST", "/v1/completions", &headers, body.clone()).await.unwrap();
        took.push(started.elapsed());
    }
    // Prefill of 1,000 prompt tokens takes 1 s; with a cached prefix, 0.1 s.
    let full = Duration::from_millis(995);
    assert!(took[0] >= full && took[1] < full / 2 && took[2] >= full, "{took:?}");
}
