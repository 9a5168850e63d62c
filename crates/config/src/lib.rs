//! Settings and configurations: declaration, parsing and validation.
//!
//! [`settings`] holds the settings of one process, read from its settings file. [`config`] holds the configuration
//! that the operator gives to the whole system. Both parsers continue after an issue, so that one run reports all
//! issues of a document.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod config;
pub mod differ;
mod json;
mod setting_type;
pub mod settings;

pub use config::{Config, ConfigError, Limits, Route, Service, Tenant, Version};
pub use differ::diff;
pub use setting_type::Detours;
pub use settings::{Bounds, SettingInfo, Settings, SettingsError, Tuning};
