//! Differences between two configurations, as lines for an operator.

use std::collections::BTreeMap;
use std::fmt::Debug;
use std::sync::Arc;

use crate::config::{Config, Limits, Route, Service, Tenant};

/// A type whose fields are compared one by one.
trait Fields {
    /// Name and displayed value of each field.
    fn fields(&self) -> Vec<(&'static str, String)>;
}

/// Destructures the type, so that the compiler rejects a field of the type that is missing here.
macro_rules! fields {
    ($type:ident { $($field:ident),+ $(; $($hidden:ident),+)? }) => {
        impl Fields for $type {
            fn fields(&self) -> Vec<(&'static str, String)> {
                let Self { $($field,)+ $($($hidden: _,)+)? } = self;
                vec![$((stringify!($field), show($field))),+]
            }
        }
    };
}

fields!(Route { authority, path_prefix, pure, deadline, goal, rank, targets, max_tries, public; label });
fields!(Service { health_path, max_conns, protocol, tls_mode; label });
fields!(Limits { max_header_bytes, max_body_bytes, header_wait, idle_timeout });
fields!(Tenant { rank, rate_per_s, burst_size; label, api_keys });

fn show(value: &impl Debug) -> String {
    format!("{value:?}")
}

/// The changes from `before` to `after`, one per line; empty if both are equal.
pub fn diff(before: &Config, after: &Config) -> Vec<String> {
    let mut lines = Vec::new();
    if before.version != after.version {
        lines.push(format!("version: {} -> {}", before.version, after.version));
    }
    let routes = |config: &Config| -> BTreeMap<Arc<str>, Route> {
        config.routes.iter().map(|route| (route.label.clone(), route.clone())).collect()
    };
    diff_tables("route", &routes(before), &routes(after), &mut lines, |_, _, _| None);
    diff_tables("service", &before.services, &after.services, &mut lines, |_, _, _| None);
    diff_fields("limits", &before.limits, &after.limits, &mut lines);
    match (before.requires_keys(), after.requires_keys()) {
        (false, true) => lines.push("requests need keys now".to_owned()),
        (true, false) => lines.push("requests need no keys any more".to_owned()),
        _ => {}
    }
    let tenants = |config: &Config| config.tenants.clone().unwrap_or_default();
    diff_tables("tenant", &tenants(before), &tenants(after), &mut lines, |name, before, after| {
        // Keys are secrets, so only the number of changed keys is shown.
        let missing = |of: &Tenant, than: &Tenant| {
            of.api_keys.iter().filter(|key| !than.api_keys.contains(key)).count()
        };
        let (added, removed) = (missing(after, before), missing(before, after));
        (added + removed > 0).then(|| format!("{name} changed: api_keys {added} added, {removed} removed"))
    });
    lines
}

fn diff_tables<T: Fields>(
    what: &str, before: &BTreeMap<Arc<str>, T>, after: &BTreeMap<Arc<str>, T>, lines: &mut Vec<String>,
    extra: impl Fn(&str, &T, &T) -> Option<String>,
) {
    for label in before.keys().filter(|label| !after.contains_key(*label)) {
        lines.push(format!("{what} {label} removed"));
    }
    for (label, new) in after {
        let Some(old) = before.get(label) else {
            lines.push(format!("{what} {label} added"));
            continue;
        };
        let name = format!("{what} {label}");
        diff_fields(&name, old, new, lines);
        lines.extend(extra(&name, old, new));
    }
}

fn diff_fields(name: &str, old: &impl Fields, new: &impl Fields, lines: &mut Vec<String>) {
    for ((field, old), (_, new)) in old.fields().into_iter().zip(new.fields()) {
        if old != new {
            lines.push(format!("{name} changed: {field} {old} -> {new}"));
        }
    }
}
