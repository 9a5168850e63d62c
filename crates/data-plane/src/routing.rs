//! Parsing of a request head against the configuration: route, tenant, deadline and the headers to forward.

use crate::backend_protocol::{ClientRequest, set_tenant_header};
use crate::headers::{ATTEMPT_ID, DEADLINE_LEFT, TARGET_INSTANCE, strip_hop_by_hop};
use config::{Config, Route, Tenant};
use hyper::header::{AUTHORIZATION, HOST, HeaderMap, HeaderValue};
use hyper::http::request;
use hyper::{Method, Version};
use std::rc::Rc;
use std::time::Duration;

/// The largest accepted `X-Deadline-Left`, in ms. Larger values are ignored and the route's deadline applies.
const MAX_DEADLINE_MS: u64 = 600_000;

/// The reason why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Rejection {
    /// No configuration has been received yet.
    NotConfigured,
    /// The request is malformed. The text is the body of the 400 answer.
    Malformed(&'static str),
    /// No route matches the host and path.
    NoRoute,
    /// The API key is missing or unknown.
    Unauthenticated,
    /// The body exceeds `max_body_bytes`.
    BodyTooLarge,
    /// The body was not received in time.
    BodyTimeout,
    /// The tenant's quota is used up. Holds the time until more quota is expected.
    QuotaExhausted(Duration),
    /// No backend has capacity; the request never ran. Holds the suggested delay before a retry.
    NoCapacity(Duration),
}

/// A valid request with its route and tenant.
pub struct RoutedRequest<'a> {
    pub request: Rc<ClientRequest>,
    pub route: &'a Route,
    /// The tenant of the API key. `None` without a valid key on a public route, or if the configuration has no keys.
    pub tenant: Option<&'a Tenant>,
    /// The time that the client waits, limited by the route's deadline.
    pub timeout: Duration,
}

impl<'a> RoutedRequest<'a> {
    /// Parses a request head.
    pub fn from_head(config: &'a Config, head: request::Parts) -> Result<Self, Rejection> {
        let request::Parts { method, uri, version, mut headers, .. } = head;
        // The HTTP library rejects requests with differing `Content-Length` values or folded header lines. If a request
        // has both chunked transfer coding and `Content-Length`, the library ignores the length and closes the
        // connection after the answer, so that bytes after the body are never parsed as another request.
        if method == Method::CONNECT {
            return Err(Rejection::Malformed("method"));
        }
        let host_header = single_value(&headers, &HOST)?;
        if host_header.is_none() && version >= Version::HTTP_11 {
            return Err(Rejection::Malformed("no Host"));
        }
        let host = host_header.and_then(|host| host.to_str().ok()).unwrap_or_default();
        // The request target and the `Host` header disagree: a backend could route by the one of the two
        // that the gateway ignores.
        if uri.authority().is_some_and(|authority| !authority.as_str().eq_ignore_ascii_case(host)) {
            return Err(Rejection::Malformed("two hosts"));
        }
        let route = config.route(host, uri.path()).ok_or(Rejection::NoRoute)?;
        let tenant = if config.requires_keys() {
            let tenant = single_value(&headers, &AUTHORIZATION)?
                .and_then(bearer_key)
                .and_then(|key| config.tenant(key));
            if tenant.is_none() && !route.public {
                return Err(Rejection::Unauthenticated);
            }
            tenant
        } else {
            None
        };
        let timeout = single_value(&headers, &DEADLINE_LEFT)?.and_then(|value| value.to_str().ok());
        let timeout = timeout
            .and_then(|text| text.parse::<u64>().ok())
            .filter(|ms| (1..=MAX_DEADLINE_MS).contains(ms))
            .map_or(route.deadline, |ms| Duration::from_millis(ms).min(route.deadline));
        let id = single_value(&headers, &ATTEMPT_ID)?.cloned();
        strip_hop_by_hop(&mut headers);
        // The header is removed even if no key is required: clients may still send a key from an older configuration.
        headers.remove(AUTHORIZATION);
        headers.remove(TARGET_INSTANCE);
        set_tenant_header(&mut headers, tenant.map(|tenant| &*tenant.label));
        let target = uri.path_and_query().ok_or(Rejection::NoRoute)?.clone();
        Ok(Self {
            request: Rc::new(ClientRequest {
                method,
                target,
                headers,
                id,
                route: route.label.clone(),
                tenant: tenant.map(|tenant| tenant.label.clone()),
                attempts: Default::default(),
            }),
            route,
            tenant,
            timeout,
        })
    }

    /// The priority rank of the request. A rank of the tenant overrides the rank of the route.
    pub fn rank(&self) -> u32 {
        self.tenant.and_then(|tenant| tenant.rank).unwrap_or(self.route.rank)
    }
}

/// The value of a header that may occur only once. Other parties may pick a different value of a repeated header.
fn single_value<'h>(
    headers: &'h HeaderMap, name: &hyper::header::HeaderName,
) -> Result<Option<&'h HeaderValue>, Rejection> {
    let mut values = headers.get_all(name).iter();
    let value = values.next();
    if values.next().is_some() { Err(Rejection::Malformed("a header twice")) } else { Ok(value) }
}

/// The API key of an `Authorization: Bearer` header.
fn bearer_key(value: &HeaderValue) -> Option<&str> {
    let (scheme, key) = value.to_str().ok()?.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
}
