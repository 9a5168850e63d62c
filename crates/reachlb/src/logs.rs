//! Logging as JSON lines on standard error.

use spdlog::formatter::JsonFormatter;
use spdlog::sink::StdStreamSink;
use spdlog::{Level, LevelFilter, Logger};
use std::sync::Arc;

/// Installs the default logger, which writes lines of the given level and above. An unknown level means `info`.
///
/// # Errors
/// Returns an error when the logger cannot be created.
pub fn start(level: &str) -> Result<(), spdlog::Error> {
    let filter = match level {
        "off" => LevelFilter::Off,
        "error" => LevelFilter::MoreSevereEqual(Level::Error),
        "warn" => LevelFilter::MoreSevereEqual(Level::Warn),
        "debug" => LevelFilter::MoreSevereEqual(Level::Debug),
        "trace" => LevelFilter::MoreSevereEqual(Level::Trace),
        _ => LevelFilter::MoreSevereEqual(Level::Info),
    };
    let sink = StdStreamSink::builder().stderr().formatter(JsonFormatter::new()).build()?;
    let logger = Logger::builder().sink(Arc::new(sink)).level_filter(filter).build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}
