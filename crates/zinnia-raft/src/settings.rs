//! Configuration of a node.

use zinnia_types::VmId;

/// Configuration of a node. All durations are in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Id of this node.
    pub id: VmId,
    /// Seed for the randomized election timeouts, combined with `id`.
    pub seed: u64,
    /// Interval between leader heartbeats.
    pub heartbeat_ms: u64,
    /// Minimum election timeout. A leader without quorum contact for this long steps down, and a
    /// voter that heard from a leader within this time grants no vote.
    pub election_min_ms: u64,
    /// Maximum election timeout.
    pub election_max_ms: u64,
    /// Leader lease. Shorter than `election_min_ms` by the tolerated clock drift.
    pub lease_ms: u64,
    /// Minimum interval between messages to a peer that only carry the commit index.
    pub commit_interval_ms: u64,
    /// Minimum interval between messages with entries to a learner. No commit waits for learners, so
    /// their entries can be batched.
    pub learner_interval_ms: u64,
    /// Longest time for which a leader holds back entries while an earlier write is being synced, so
    /// that they share the next sync. A quorum can commit them without the leader's own disk, so a
    /// slow one must not delay them for longer.
    pub max_batch_delay_ms: u64,
    /// Whether entries are applied only after the commit index that covers them is on disk. A VM that
    /// restarts without reaching a leader then never exposes an older state than before. This costs
    /// one sync per commit and is unnecessary where only the leader serves reads.
    pub durable_commit: bool,
    /// Maximum bytes of a command.
    pub max_entry_bytes: usize,
    /// Maximum bytes of entry data in one message. A larger entry is sent alone.
    pub max_message_bytes: usize,
    /// Maximum bytes of snapshot data in one message.
    pub max_chunk_bytes: usize,
    /// Maximum number of unacknowledged messages with entries per peer.
    pub max_in_flight: usize,
    /// Maximum number of uncommitted entries; further proposals are rejected as busy.
    pub max_uncommitted: u64,
    /// Number of entries retained before a snapshot, so that a slightly lagging peer needs no snapshot.
    pub retained_entries: u64,
    /// Maximum bytes of these entries. With large entries, a lagging peer is sent the snapshot instead.
    pub retained_bytes: usize,
    /// Maximum number of committed entries that a learner may lack when it is promoted.
    pub promote_lag: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            id: VmId::default(),
            seed: 0,
            heartbeat_ms: 500,
            election_min_ms: 2_000,
            election_max_ms: 4_000,
            lease_ms: 1_800,
            commit_interval_ms: 25,
            learner_interval_ms: 0,
            max_batch_delay_ms: 10,
            durable_commit: true,
            max_entry_bytes: 512 * 1_024,
            max_message_bytes: 512 * 1_024,
            max_chunk_bytes: 128 * 1_024,
            max_in_flight: 16,
            max_uncommitted: 10_000,
            retained_entries: 256,
            retained_bytes: 8 << 20,
            promote_lag: 64,
        }
    }
}
