//! Invalid input of every kind is rejected with its own error kind, and none of it reaches an upstream.

#![allow(clippy::unwrap_used, reason = "a failed set-up fails the test")]

mod common;

use std::time::Duration;

use common::{FARM_KEY, KEY, OLD_KEY, TestFleet, chat_body};
use rstest::rstest;
use serde_json::Value;

const CHAT: &str = "/v1/chat/completions";

/// Converts bytes to text at compile time.
const fn long<const N: usize>(bytes: &[u8; N]) -> &str {
    match std::str::from_utf8(bytes) {
        Ok(text) => text,
        Err(_) => "",
    }
}

const LONG_KEY: &str = long(&[b'x'; 300]);
const LONG_HEADER: &str = long(&[b'x'; 5_000]);
const LONG_BODY: &str = long(&[b'x'; 70_000]);

/// Guards against rejections of the wrong kind or form, and against invalid requests that are run.
#[rstest]
#[case::malformed_json(Some(KEY), "POST", CHAT, &[], "{\"model\":", "bad_request", 400)]
#[case::not_an_object(Some(KEY), "POST", CHAT, &[], "[]", "bad_request", 400)]
#[case::wrong_type(Some(KEY), "POST", CHAT, &[], "{\"model\":\"warm\",\"messages\":\"hi\"}", "bad_request", 400)]
#[case::no_messages(Some(KEY), "POST", CHAT, &[], "{\"model\":\"warm\"}", "bad_request", 400)]
#[case::no_prompt(Some(KEY), "POST", "/v1/completions", &[], "{\"model\":\"warm\"}", "bad_request", 400)]
#[case::negative_tokens(Some(KEY), "POST", "/v1/completions", &[],
    "{\"model\":\"warm\",\"prompt\":\"p\",\"max_tokens\":-1}", "bad_request", 400)]
#[case::no_tokens(Some(KEY), "POST", "/v1/completions", &[],
    "{\"model\":\"warm\",\"prompt\":\"p\",\"max_tokens\":0}", "bad_request", 400)]
#[case::bad_model_name(Some(KEY), "POST", CHAT, &[], &chat_body("a b", "p", 1, false), "bad_request", 400)]
#[case::unknown_model(Some(KEY), "POST", CHAT, &[], &chat_body("none", "p", 1, false), "model_not_found", 404)]
#[case::other_teams_model(Some(KEY), "POST", CHAT, &[], &chat_body("other", "p", 1, false), "route_forbidden", 403)]
#[case::no_key(None, "POST", CHAT, &[], &chat_body("warm", "p", 1, false), "key_missing", 401)]
#[case::no_key_service(None, "GET", "/lookups/1", &[], "", "key_missing", 401)]
#[case::basic_key(None, "POST", CHAT, &[("authorization", "Basic a2V5")], "{}", "key_missing", 401)]
#[case::unknown_key(Some("nobody"), "POST", CHAT, &[], &chat_body("warm", "p", 1, false), "key_unknown", 401)]
#[case::withdrawn_key(Some(OLD_KEY), "POST", CHAT, &[], &chat_body("warm", "p", 1, false), "key_withdrawn", 401)]
#[case::large_body(Some(KEY), "POST", CHAT, &[], LONG_BODY, "body_too_large", 413)]
#[case::long_header(Some(KEY), "GET", "/v1/models", &[("x-note", LONG_HEADER)], "", "header_too_large", 431)]
#[case::long_path(Some(KEY), "GET", &format!("/lookups/{}", LONG_HEADER), &[], "", "header_too_large", 431)]
#[case::no_idempotency_key(Some(KEY), "POST", "/work-orders", &[], "{}", "idempotency_key_missing", 400)]
#[case::empty_idempotency_key(Some(KEY), "POST", "/work-orders", &[("idempotency-key", "")], "{}",
    "idempotency_key_invalid", 400)]
#[case::long_idempotency_key(Some(KEY), "POST", "/work-orders", &[("idempotency-key", LONG_KEY)], "{}",
    "idempotency_key_invalid", 400)]
#[case::deadline_word(Some(KEY), "POST", CHAT, &[("x-deadline-ms", "soon")],
    &chat_body("warm", "p", 1, false), "deadline_invalid", 400)]
#[case::deadline_zero(Some(KEY), "POST", CHAT, &[("x-deadline-ms", "0")],
    &chat_body("warm", "p", 1, false), "deadline_invalid", 400)]
#[case::deadline_negative(Some(KEY), "POST", CHAT, &[("x-deadline-ms", "-5")],
    &chat_body("warm", "p", 1, false), "deadline_invalid", 400)]
#[case::deadline_far(Some(KEY), "POST", CHAT, &[("x-deadline-ms", "99999999999")],
    &chat_body("warm", "p", 1, false), "deadline_invalid", 400)]
#[case::chat_by_get(Some(KEY), "GET", CHAT, &[], "", "method_not_allowed", 405)]
#[case::service_by_put(Some(KEY), "PUT", "/lookups/1", &[], "", "method_not_allowed", 405)]
#[case::unknown_path(Some(KEY), "GET", "/nothing", &[], "", "route_not_found", 404)]
#[case::dots(Some(KEY), "GET", "/lookups/../work-orders", &[], "", "bad_request", 400)]
#[case::encoded_dots(Some(KEY), "GET", "/lookups/%2E./work-orders", &[], "", "bad_request", 400)]
#[case::encoded_slash(Some(KEY), "GET", "/lookups/..%2Fwork-orders", &[], "", "bad_request", 400)]
#[case::path_beside_prefix(Some(KEY), "GET", "/lookups2", &[], "", "route_not_found", 404)]
#[case::other_teams_service(Some(FARM_KEY), "GET", "/lookups/1", &[], "", "route_forbidden", 403)]
#[case::streamed_report(Some(KEY), "POST", "/v1/reports", &[], &chat_body("warm", "p", 1, true), "bad_request", 400)]
#[case::unknown_report(Some(KEY), "GET", "/v1/reports/none", &[], "", "report_not_found", 404)]
#[case::report_wait(Some(KEY), "GET", "/v1/reports/none?wait_ms=x", &[], "", "bad_request", 400)]
#[case::too_many_tokens(Some(KEY), "POST", CHAT, &[], &chat_body("warm", "p", 300_000, false),
    "request_too_large", 400)]
#[tokio::test]
async fn invalid_input_is_rejected(
    #[case] key: Option<&str>,
    #[case] method: &str,
    #[case] path: &str,
    #[case] headers: &[(&str, &str)],
    #[case] body: &str,
    #[case] kind: &str,
    #[case] status: u16,
) {
    let fleet = TestFleet::start(1).await;
    let caller = fleet.caller(0).with_key(key);
    let (answered, head, answer) = caller.send(method, path, headers, body).await;
    assert_eq!((answer["error"]["kind"].as_str(), answered.as_u16()), (Some(kind), status), "{answer}");
    assert_eq!(answer["error"]["ran"], "not_run");
    assert_eq!(answer["error"]["retry_after_ms"], Value::Null, "the same request would be rejected again");
    assert!(answer["error"]["message"].as_str().is_some_and(|message| !message.is_empty()));
    assert!(head.contains_key("x-request-id"));
    assert!(fleet.journal().await.is_empty(), "nothing may reach an upstream");
    fleet.assert_no_violations();
}

/// Guards against slow or truncated requests that hold a connection indefinitely or get no response.
#[rstest]
#[case::cut_body(
    "POST /v1/chat/completions HTTP/1.1\r\nhost: r\r\ncontent-length: 50\r\n\r\n{\"model\"",
    1,
    true,
    "body_incomplete",
    "400"
)]
#[case::slow_header("GET /v1/models HTTP/1.1\r\n|h|o|s|t|:", 250, false, "read_timeout", "408")]
#[case::slow_body(
    "POST /v1/chat/completions HTTP/1.1\r\nhost: r\r\ncontent-length: 50\r\n\r\n|{|\"|m|o|d",
    250,
    false,
    "read_timeout",
    "408"
)]
#[case::not_utf8_id(
    "GET /v1/models HTTP/1.1\r\nhost: r\r\nX-Request-Id: ~\r\nconnection: close\r\n\r\n",
    1,
    false,
    "key_missing",
    "401"
)]
#[tokio::test]
async fn an_incomplete_request_is_rejected(
    #[case] text: &str,
    #[case] pause_ms: u64,
    #[case] shut: bool,
    #[case] kind: &str,
    #[case] status: &str,
) {
    let fleet = TestFleet::start(1).await;
    // Parts are sent with pauses in between; a tilde stands for a byte that is not valid UTF-8.
    let bytes = |part: &str| part.bytes().map(|byte| if byte == b'~' { 0xff } else { byte }).collect();
    let parts: Vec<Vec<u8>> = text.split('|').map(bytes).collect();
    let parts: Vec<&[u8]> = parts.iter().map(Vec::as_slice).collect();
    let text = fleet.caller(0).raw(&parts, Duration::from_millis(pause_ms), shut).await;
    assert!(text.starts_with(&format!("HTTP/1.1 {status} ")), "{text}");
    assert!(text.contains(&format!("\"kind\":\"{kind}\"")), "{text}");
    fleet.assert_no_violations();
}

/// Guards against connections that stay open without ever sending a request.
#[tokio::test]
async fn an_idle_connection_is_closed() {
    let fleet = TestFleet::start(1).await;
    assert_eq!(fleet.caller(0).raw(&[], Duration::ZERO, false).await, "");
}

/// Guards against an unbounded number of connections. Those above the limit get a rejection as a response.
#[tokio::test]
async fn connections_above_the_limit_are_rejected() {
    let fleet = TestFleet::start(1).await;
    let caller = fleet.caller(0);
    let mut open = Vec::new();
    for _ in 0..40 {
        open.push(tokio::net::TcpStream::connect(caller.addr).await.unwrap());
    }
    fleet.wait_until(|core| core.connections.len() == 40).await;
    let (status, head, answer) = caller.send("GET", "/v1/models", &[], "").await;
    assert_eq!((status.as_u16(), &answer["error"]["kind"]), (503, &"too_many_connections".into()));
    assert_eq!(
        (&head["retry-after"], &head["connection"]),
        (&"1".parse().unwrap(), &"close".parse().unwrap())
    );
    drop(open);
    fleet.wait_until(|core| core.connections.len() < 5).await;
    assert_eq!(caller.send("GET", "/v1/models", &[], "").await.0, 200);
}
