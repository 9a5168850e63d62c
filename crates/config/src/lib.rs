//! Settings and configurations: declared, read and checked.
//!
//! [`settings`] is what one process is told by its file, [`config`] what the operator tells the whole system. Both
//! readers go on after a fault, so that whoever wrote the document sees everything that is wrong with it at once.

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
