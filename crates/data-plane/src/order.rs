//! Parsing of a request head against the configuration: route, tenant, deadline and the headers to forward.

use crate::headers::{ATTEMPT_ID, DEADLINE_LEFT, TARGET_INSTANCE, strip};
use crate::speech::{Asking, name_tenant};
use config::{Config, Route, Tenant};
use hyper::header::{AUTHORIZATION, HOST, HeaderMap, HeaderValue};
use hyper::http::request;
use hyper::{Method, Version};
use std::rc::Rc;
use std::time::Duration;

/// The largest accepted `X-Deadline-Left`, in ms. Larger values are ignored and the route's deadline applies.
const LONGEST_PATIENCE: u64 = 600_000;

/// The reason why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// No configuration has been received yet.
    NotYet,
    /// The request is malformed. The text is the body of the 400 answer.
    Bad(&'static str),
    /// No route matches the host and path.
    NoRoute,
    /// The API key is missing or unknown.
    NoKey,
    /// The body exceeds `max_body_bytes`.
    TooLarge,
    /// The body was not received in time.
    TooSlow,
    /// The tenant's quota is used up. Holds the time until more quota is expected.
    Quota(Duration),
    /// No backend has capacity; the request never ran. Holds the suggested delay before a retry.
    NoRoom(Duration),
}

/// A valid request with its route and tenant.
pub struct Order<'a> {
    pub ask: Rc<Asking>,
    pub route: &'a Route,
    pub tenant: Option<&'a Tenant>,
    /// The time that the client waits, limited by the route's deadline.
    pub patience: Duration,
}

impl<'a> Order<'a> {
    /// Parses a request head.
    pub fn read(conf: &'a Config, head: request::Parts) -> Result<Self, Fault> {
        let request::Parts { method, uri, version, mut headers, .. } = head;
        // The HTTP library rejects requests with differing `Content-Length` values or folded header lines. If a request
        // has both chunked transfer coding and `Content-Length`, the library ignores the length and closes the
        // connection after the answer, so that bytes after the body are never parsed as another request.
        if method == Method::CONNECT {
            return Err(Fault::Bad("method"));
        }
        let own = single(&headers, &HOST)?;
        if own.is_none() && version >= Version::HTTP_11 {
            return Err(Fault::Bad("no Host"));
        }
        let host = own.and_then(|host| host.to_str().ok()).unwrap_or_default();
        // A backend that goes by the other host would serve a different route.
        if uri.authority().is_some_and(|authority| !authority.as_str().eq_ignore_ascii_case(host)) {
            return Err(Fault::Bad("two hosts"));
        }
        let route = conf.route(host, uri.path()).ok_or(Fault::NoRoute)?;
        let tenant = if conf.asks_for_keys() {
            let tenant = single(&headers, &AUTHORIZATION)?.and_then(key).and_then(|key| conf.tenant(key));
            if tenant.is_none() && !route.public {
                return Err(Fault::NoKey);
            }
            tenant
        } else {
            None
        };
        let patience = single(&headers, &DEADLINE_LEFT)?.and_then(|value| value.to_str().ok());
        let patience = patience
            .and_then(|text| text.parse::<u64>().ok())
            .filter(|ms| (1..=LONGEST_PATIENCE).contains(ms))
            .map_or(route.deadline, |ms| Duration::from_millis(ms).min(route.deadline));
        let id = single(&headers, &ATTEMPT_ID)?.cloned();
        strip(&mut headers);
        // The header is removed even if no key is required: clients may still send a key from an older configuration.
        headers.remove(AUTHORIZATION);
        headers.remove(TARGET_INSTANCE);
        name_tenant(&mut headers, tenant.map(|tenant| &*tenant.label));
        let target = uri.path_and_query().ok_or(Fault::NoRoute)?.clone();
        Ok(Self {
            ask: Rc::new(Asking {
                method,
                target,
                headers,
                id,
                route: route.label.clone(),
                tenant: tenant.map(|tenant| tenant.label.clone()),
                tries: Default::default(),
            }),
            route,
            tenant,
            patience,
        })
    }

    /// The priority rank of the request. A rank of the tenant overrides the rank of the route.
    pub fn rank(&self) -> u32 {
        self.tenant.and_then(|tenant| tenant.rank).unwrap_or(self.route.rank)
    }
}

/// The value of a header that may occur only once. Other parties may pick a different value of a repeated header.
fn single<'h>(
    headers: &'h HeaderMap, name: &hyper::header::HeaderName,
) -> Result<Option<&'h HeaderValue>, Fault> {
    let mut values = headers.get_all(name).iter();
    let value = values.next();
    if values.next().is_some() { Err(Fault::Bad("a header twice")) } else { Ok(value) }
}

fn key(value: &HeaderValue) -> Option<&str> {
    let (scheme, key) = value.to_str().ok()?.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
}
