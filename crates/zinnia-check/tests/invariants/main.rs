//! Each invariant accepts records that satisfy it and rejects records that violate it.

#![expect(clippy::unwrap_used, reason = "a test ends at the first error")]

mod calls;
mod config;
mod record;
mod work;
