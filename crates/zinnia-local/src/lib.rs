//! A complete cell in one process on loopback addresses, for the demo, tests and the load tool.
//!
//! Daemons and workers run the production code, but share one process. [`DroppedLinks`] simulates
//! network partitions, also in one direction only, and [`FullDisks`] simulates full disks.

mod cell;
mod checker_events;
mod client;
mod dropped_links;
mod full_disks;
mod loopback;
mod settings;

pub use cell::Cell;
pub use checker_events::checker_events;
pub use client::Client;
pub use dropped_links::DroppedLinks;
pub use full_disks::FullDisks;
pub use loopback::unused_loopback_addrs;
pub use settings::Settings;
