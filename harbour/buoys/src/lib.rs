//! Who is there: backends by their beats, gateways by those that watch them.

#![forbid(unsafe_code)]
#![warn(missing_docs)]
