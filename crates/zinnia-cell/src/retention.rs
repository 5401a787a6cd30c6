//! Retention bounds on the replicated state.

use serde::Deserialize;
use serde::Serialize;

const HOUR_MS: i64 = 3_600_000;

/// Bounds on retained records. All VMs of a cell must use the same values.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Retention {
    /// Number of document versions whose content is retained.
    pub documents: usize,
    /// Number of document versions whose version stamp is retained.
    pub stamps: usize,
    /// Maximum number of ended jobs; beyond it the oldest are removed.
    pub jobs: usize,
    /// Age in milliseconds at which an ended job is removed.
    pub jobs_ms: i64,
    /// Maximum number of recorded calls; beyond it new calls are refused, since a call whose record
    /// is removed early could run twice. One team gets at most half of what the others leave free.
    pub calls: usize,
    /// Age in milliseconds at which a recorded call is removed.
    pub calls_ms: i64,
    /// Maximum total size of response bodies in bytes; beyond it the oldest bodies are dropped.
    pub call_bytes: usize,
    /// Maximum step in milliseconds by which one command moves the cell clock, so that a VM with a
    /// wrong clock cannot expire all records at once.
    pub step_ms: i64,
}

impl Default for Retention {
    fn default() -> Self {
        Self {
            documents: 32,
            // Two days at 530 edits per day.
            stamps: 1_060,
            // One day at 32,000 jobs per day. Two days would take half of the 32 MB of a daemon.
            jobs: 32_000,
            jobs_ms: 24 * HOUR_MS,
            calls: 32_000,
            calls_ms: 24 * HOUR_MS,
            call_bytes: 4 << 20,
            step_ms: 60_000,
        }
    }
}
