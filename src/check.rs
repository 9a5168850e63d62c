//! Validation of settings.

use crate::interface::{Settings, SettingsError};

/// Returns the first error of the settings, if any.
pub(crate) fn check(settings: &Settings) -> Result<(), SettingsError> {
    if settings.classes.is_empty() {
        return Err(SettingsError::NoClasses);
    }
    if settings.gateway_index >= settings.gateways {
        return Err(SettingsError::GatewayIndexTooHigh);
    }
    let non_negative = |value: f64, what| {
        if value.is_finite() && value >= 0.0 { Ok(()) } else { Err(SettingsError::InvalidValue(what)) }
    };
    for class in &settings.classes {
        non_negative(class.latency_target, "a class's latency target")?;
        non_negative(class.dedup_window, "a class's deduplication window")?;
        non_negative(class.worth, "a class's worth")?;
        non_negative(class.late_worth, "a class's late worth")?;
    }
    for plan in &settings.plans {
        non_negative(plan.rate, "a plan's rate")?;
        non_negative(plan.burst, "a plan's burst")?;
        non_negative(plan.ceiling_rate, "a plan's ceiling rate")?;
        non_negative(plan.ceiling_burst, "a plan's ceiling burst")?;
        non_negative(plan.ceiling_slack, "a plan's ceiling slack")?;
        non_negative(plan.price, "a plan's price")?;
        if plan.rate > 0.0 && plan.burst <= 0.0 {
            return Err(SettingsError::InvalidValue("a plan's burst"));
        }
    }
    non_negative(settings.tick, "tick")?;
    non_negative(settings.counter_timeout, "counter timeout")?;
    non_negative(settings.max_units, "maximum units")?;
    non_negative(settings.max_retry_after, "maximum retry-after")?;
    non_negative(settings.cold_capacity, "cold capacity")?;
    non_negative(settings.warmup_time, "warm-up time")?;
    non_negative(settings.overload_factor, "overload factor")?;
    non_negative(settings.overload_window, "overload window")?;
    non_negative(settings.price_cross_zone, "cross-zone price")
}
