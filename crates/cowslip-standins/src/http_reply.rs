//! Builds HTTP responses and reads requests.

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use http::request::Parts;
use http::{Response, StatusCode, Uri};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use percent_encoding::percent_decode_str;
use serde::Serialize;
use serde_json::json;

use crate::ConnectionAborted;
use crate::reply_body::ReplyBody;

/// Largest accepted request body in bytes.
const MAX_REQUEST_BYTES: usize = 64 * 1024 * 1024;

/// What a handler returns.
pub(crate) type Reply = Result<Response<ReplyBody>, ConnectionAborted>;

pub(crate) fn body_reply(status: StatusCode, content_type: &'static str, body: Bytes) -> Response<ReplyBody> {
    let mut response = Response::new(ReplyBody::Full(Some(body)));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

pub(crate) fn empty_reply(status: StatusCode) -> Response<ReplyBody> {
    let mut response = Response::new(ReplyBody::Full(None));
    *response.status_mut() = status;
    response
}

/// A JSON response; a value that cannot be serialised gives status 500 with the error as text.
pub(crate) fn json_reply<T: Serialize>(status: StatusCode, value: &T) -> Response<ReplyBody> {
    match serde_json::to_vec(value) {
        Ok(body) => body_reply(status, "application/json", Bytes::from(body)),
        Err(error) => {
            let message = Bytes::from(error.to_string());
            body_reply(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", message)
        }
    }
}

/// An error response in JSON. `ran` is omitted when it is unknown whether the request ran.
pub(crate) fn error_reply(
    status: StatusCode,
    kind: &str,
    message: &str,
    ran: Option<bool>,
) -> Response<ReplyBody> {
    let mut error = json!({"kind": kind, "message": message});
    if let Some(ran) = ran {
        error["ran"] = json!(ran);
    }
    json_reply(status, &json!({"error": error}))
}

/// Status 400 for a request that cannot be parsed; such a request has not run.
pub(crate) fn bad_request(message: &str) -> Response<ReplyBody> {
    error_reply(StatusCode::BAD_REQUEST, "bad_request", message, Some(false))
}

/// Sets a header; an invalid value is skipped.
pub(crate) fn set_header(response: &mut Response<ReplyBody>, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        response.headers_mut().insert(HeaderName::from_static(name), value);
    }
}

/// Reads the whole body; an error when it is incomplete or larger than `MAX_REQUEST_BYTES`.
pub(crate) async fn read_body(body: Incoming) -> Result<Bytes, ConnectionAborted> {
    match Limited::new(body, MAX_REQUEST_BYTES).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(_) => Err(ConnectionAborted),
    }
}

/// Returns the percent-decoded value of a query key.
pub(crate) fn query_value(uri: &Uri, key: &str) -> Option<String> {
    let query = uri.query()?;
    let value = query.split('&').find_map(|pair| pair.strip_prefix(key)?.strip_prefix('='))?;
    Some(decode_part(value))
}

/// Returns the value of a query key as a number; `None` when it is absent or not a number.
pub(crate) fn query_number(uri: &Uri, key: &str) -> Option<u64> {
    query_value(uri, key)?.parse().ok()
}

/// Percent-decodes a path segment or query value.
pub(crate) fn decode_part(text: &str) -> String {
    percent_decode_str(text).decode_utf8_lossy().into_owned()
}

/// Returns all headers in the order received.
pub(crate) fn header_pairs(parts: &Parts) -> Vec<(String, String)> {
    let pair = |(name, value): (&HeaderName, &HeaderValue)| {
        (name.to_string(), String::from_utf8_lossy(value.as_bytes()).into_owned())
    };
    parts.headers.iter().map(pair).collect()
}

/// Returns a header's value as text, invalid UTF-8 replaced.
pub(crate) fn header_text(parts: &Parts, name: &str) -> Option<String> {
    parts.headers.get(name).map(|value| String::from_utf8_lossy(value.as_bytes()).into_owned())
}
