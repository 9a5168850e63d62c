//! Logs a panic with its call stack before the panic ends the process.

use std::backtrace::Backtrace;
use std::panic;

/// Installs a panic hook that logs the message, the location and the call stack of a panic, and then runs the hook that
/// was installed before.
pub fn install() {
    let previous_hook = panic::take_hook();
    panic::set_hook(Box::new(move |panic_info| {
        let backtrace = Backtrace::force_capture().to_string();
        let backtrace = backtrace.as_str();
        spdlog::critical!("{}", panic_info, kv: { step = "panic", backtrace });
        spdlog::default_logger().flush();
        previous_hook(panic_info);
    }));
}
