//! Recovery of a data folder after restarts, torn writes, data corruption and lost files.

#![expect(clippy::expect_used, reason = "a failed fixture must stop the test")]

mod common;
mod corruption;
mod durability;
mod folder;
mod recovery;
