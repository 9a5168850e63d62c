//! A group of processes that decides in common. Some of them are voters and run consensus; all hold a session, and
//! through it duties that only one of them has at a time. It knows nothing of what the duties are for.
//!
//! The promises, and why they hold, stand where they are kept: one holder by fences in [`machine`], one holder by
//! time in [`lease`], what a disk must not forget in [`store`].

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod clock;
pub mod lease;
pub mod member;
pub mod run;
pub mod state_machine;
pub mod store;
pub mod voter;
pub mod wire;
