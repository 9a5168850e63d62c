//! The control plane of the system: configurations, backends, counts, and the news of them.

#![forbid(unsafe_code)]
#![warn(missing_docs)]
