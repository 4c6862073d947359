//! The HTTP replies of the admin API.
use bytes::Bytes;
use stairfront_codec::http_server::Response;

/// 200 with a constant text.
pub(super) fn ok(text: &'static str) -> Response {
    plain(200, "OK", Bytes::from_static(text.as_bytes()))
}

/// 200 with a JSON body.
pub(super) fn ok_json(value: &impl serde::Serialize) -> Response {
    json(200, "OK", value)
}

/// 400: the call cannot be read.
pub(super) fn bad_request(problem: &str) -> Response {
    error(400, "Bad Request", problem)
}

/// 404: what is named does not exist here.
pub(super) fn not_found(problem: &str) -> Response {
    error(404, "Not Found", problem)
}

/// 405, with the methods that are allowed.
pub(super) fn wrong_method(problem: &str, allowed: &str) -> Response {
    let mut reply = error(405, "Method Not Allowed", problem);
    reply.headers.push(("Allow", allowed.to_string()));
    reply
}

/// 409: the order is rejected.
pub(super) fn conflict(problem: &str) -> Response {
    error(409, "Conflict", problem)
}

/// 500: the order is carried out in part.
pub(super) fn internal_error(problem: &str) -> Response {
    error(500, "Internal Server Error", problem)
}

/// 503: not known to be done in time; the caller may repeat the call.
pub(super) fn unavailable(problem: &str) -> Response {
    error(503, "Service Unavailable", problem)
}

/// 503 with a JSON body.
pub(super) fn unavailable_json(value: &impl serde::Serialize) -> Response {
    json(503, "Service Unavailable", value)
}

fn error(status: u16, reason: &'static str, problem: &str) -> Response {
    plain(status, reason, Bytes::from(format!("{problem}\n")))
}

fn plain(status: u16, reason: &'static str, body: Bytes) -> Response {
    reply(status, reason, "text/plain", body)
}

fn json(status: u16, reason: &'static str, value: &impl serde::Serialize) -> Response {
    // Serializing fails only for maps with keys that are no strings, which these values do not contain.
    let body = Bytes::from(serde_json::to_vec(value).unwrap_or_default());
    reply(status, reason, "application/json", body)
}

fn reply(status: u16, reason: &'static str, content_type: &str, body: Bytes) -> Response {
    let headers = vec![
        ("Connection", "close".to_string()),
        ("Content-Type", content_type.to_string()),
    ];
    Response {
        status,
        reason,
        headers,
        body,
    }
}
