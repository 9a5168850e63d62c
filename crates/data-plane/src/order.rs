//! What a request asks for, by the configuration: its route, its tenant, its time.

use crate::headers::{ATTEMPT_ID, DEADLINE_LEFT, TARGET_INSTANCE, strip};
use crate::speech::{Asking, name_tenant};
use config::{Config, Route, Tenant};
use hyper::header::{AUTHORIZATION, HOST, HeaderMap, HeaderValue};
use hyper::http::request;
use hyper::{Method, Version};
use std::rc::Rc;
use std::time::Duration;

/// No client waits longer than this; who claims so is not believed.
const LONGEST_PATIENCE: u64 = 600_000;

/// Why a request is not taken.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// There is no configuration yet.
    NotYet,
    /// Something in it is malformed.
    Bad(&'static str),
    /// There is no such route.
    NoRoute,
    /// Its key is missing or unknown.
    NoKey,
    /// Its body is too large.
    TooLarge,
    /// Its body did not come in time.
    TooSlow,
    /// Its tenant has nothing left for so long.
    Quota(Duration),
    /// There is no backend for it now; it never ran.
    NoRoom(Duration),
}

/// A request that may go on.
pub struct Order<'a> {
    pub ask: Rc<Asking>,
    pub route: &'a Route,
    pub tenant: Option<&'a Tenant>,
    /// How long its client waits and the operator lets it.
    pub patience: Duration,
}

impl<'a> Order<'a> {
    /// Reads a request's head.
    pub fn read(conf: &'a Config, head: request::Parts) -> Result<Self, Fault> {
        let request::Parts { method, uri, version, mut headers, .. } = head;
        // Two different lengths and folded lines don't come this far. Beside chunks the HTTP library takes no length and
        // closes after the answer, so that nothing behind such a body is read as a request.
        if method == Method::CONNECT {
            return Err(Fault::Bad("method"));
        }
        let own = single(&headers, &HOST)?;
        if own.is_none() && version >= Version::HTTP_11 {
            return Err(Fault::Bad("no Host"));
        }
        let host = own.and_then(|host| host.to_str().ok()).unwrap_or_default();
        // Whoever is asked by the other one would serve another route.
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
        // Also where no key is asked for: the client may still send one of an older configuration.
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

    /// The rank that counts: the tenant's goes before the route's.
    pub fn rank(&self) -> u32 {
        self.tenant.and_then(|tenant| tenant.rank).unwrap_or(self.route.rank)
    }
}

/// The only value of a header; a header given twice may be read differently by others.
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
