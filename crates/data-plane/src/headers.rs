//! Header names, and the removal of hop-by-hop headers.

use hyper::header::{CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderName};
use std::time::Duration;

/// The id of a request. Answers have to echo the id.
pub const ATTEMPT_ID: HeaderName = HeaderName::from_static("x-attempt-id");
/// The time until the client's deadline, in ms.
pub const DEADLINE_LEFT: HeaderName = HeaderName::from_static("x-deadline-left");
/// The id of the backend instance that answers.
pub const INSTANCE_ID: HeaderName = HeaderName::from_static("x-instance-id");
pub const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// Set by a backend to state that the request did not run.
pub const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-not-executed");
/// Set by a backend on its own successful answers. A success without the header is not accepted.
pub const SEAL: HeaderName = HeaderName::from_static("x-server-seal");
/// The id of the backend instance that the request is meant for.
pub const TARGET_INSTANCE: HeaderName = HeaderName::from_static("x-target-instance");
/// The label of the tenant, set by the gateway.
pub const TENANT: HeaderName = HeaderName::from_static("x-tenant");

/// Headers that apply to a single connection. `Content-Length` is included because the HTTP library sets the header
/// anew when the body is written.
const HOP_BY_HOP: [HeaderName; 9] = [
    CONNECTION,
    CONTENT_LENGTH,
    KEEP_ALIVE,
    HeaderName::from_static("proxy-connection"),
    HeaderName::from_static("te"),
    HeaderName::from_static("trailer"),
    HeaderName::from_static("transfer-encoding"),
    HeaderName::from_static("upgrade"),
    HeaderName::from_static("expect"),
];

/// Removes hop-by-hop headers: the well-known ones, those that `Connection` names, and `Proxy-*`.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    // `collect` allocates only if `Connection` names further headers, which is rare.
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(str::trim)
        .filter(|name| !name.eq_ignore_ascii_case("close") && !name.eq_ignore_ascii_case("keep-alive"))
        // A client must not remove `Host` or the attempt id by naming them in `Connection`.
        .filter(|name| !name.eq_ignore_ascii_case("host") && !name.eq_ignore_ascii_case(ATTEMPT_ID.as_str()))
        .filter_map(|name| name.parse().ok())
        .collect();
    for name in HOP_BY_HOP.iter().chain(&named) {
        headers.remove(name);
    }
    let proxy_headers: Vec<_> =
        headers.keys().filter(|name| name.as_str().starts_with("proxy-")).cloned().collect();
    for name in proxy_headers {
        headers.remove(name);
    }
}

/// The time for which the peer keeps an idle connection open, from the `Keep-Alive` header.
pub fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let seconds = value.split(',').find_map(|directive| directive.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(|seconds: u32| Duration::from_secs(seconds.into()))
}

#[cfg(test)]
mod tests {
    use super::*;
    use hyper::header::HeaderValue;

    #[test]
    fn hop_by_hop_headers_are_removed() {
        let mut headers = HeaderMap::new();
        for (name, value) in [
            ("connection", "close, X-Mine,host, x-attempt-id"),
            ("x-mine", "1"),
            ("host", "a"),
            ("x-attempt-id", "b"),
            ("te", "trailers"),
            ("proxy-authorization", "c"),
            ("content-length", "4"),
            ("x-other", "d"),
        ] {
            headers.insert(HeaderName::from_static(name), HeaderValue::from_static(value));
        }
        strip_hop_by_hop(&mut headers);
        let mut remaining: Vec<_> = headers.keys().map(HeaderName::as_str).collect();
        remaining.sort_unstable();
        assert_eq!(remaining, ["host", "x-attempt-id", "x-other"]);
    }

    #[yare::parameterized(
        alone = { "timeout=4", Some(4) },
        among_other_parameters = { "max=3, timeout=20", Some(20) },
        missing =  { "max=3", None },
        malformed = { "timeout=-1", None },
    )]
    fn the_keep_alive_timeout_is_parsed(value: &'static str, seconds: Option<u64>) {
        let headers = HeaderMap::from_iter([(KEEP_ALIVE, HeaderValue::from_static(value))]);
        assert_eq!(keep_alive_timeout(&headers), seconds.map(Duration::from_secs));
    }
}
