//! Options of a simulation.

use crate::Settings;

/// Options of a simulation: network faults, stalls and settings of the cell.
#[derive(Clone, Debug)]
pub struct SimOptions {
    /// Seed of the random number generators.
    pub seed: u64,
    /// Number of initial voters, and the target number for membership management.
    pub voters: u64,
    /// Percentage of lost messages.
    pub loss_percent: u32,
    /// Percentage of duplicated messages.
    pub duplicate_percent: u32,
    /// Maximum message delay in milliseconds. Random delays reorder messages.
    pub delay_ms: u64,
    /// Percentage of clock steps in which the I/O shell of a VM performs no actions.
    pub stall_percent: u32,
    /// Number of applied entries after which a VM compacts its log.
    pub compact_entries: u64,
    /// Whether members are added, promoted and removed as in the daemon.
    pub manage_members: bool,
    /// Settings of the nodes. The default limits are small, so that short runs reach them.
    pub settings: Settings,
}

impl Default for SimOptions {
    fn default() -> Self {
        Self {
            seed: 1,
            voters: 3,
            loss_percent: 0,
            duplicate_percent: 0,
            delay_ms: 20,
            stall_percent: 0,
            compact_entries: 20,
            manage_members: false,
            settings: Settings {
                retained_entries: 5,
                max_chunk_bytes: 7,
                max_entry_bytes: 300,
                max_message_bytes: 300,
                max_in_flight: 4,
                ..Settings::default()
            },
        }
    }
}
