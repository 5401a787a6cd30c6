//! Settings of the checker: how long changes may take to become effective.

use serde::Deserialize;
use serde::Serialize;

/// Longest delays that the invariants allow, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Longest delay from the withdrawal of a key until every reachable VM rejects it.
    pub key_ms: u64,
    /// Longest delay from the acceptance of a document until it is in force on every reachable VM.
    pub document_ms: u64,
    /// Longest time for which a target that has begun to leave may still receive new work.
    pub leave_ms: u64,
    /// Longest time for which a VM without contact to the quorum may accept keys.
    pub isolation_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            key_ms: 2_000,
            document_ms: 2_000,
            leave_ms: 2_000,
            isolation_ms: 600_000,
        }
    }
}
