//! Settings of a node.

use zinnia_types::VmId;

/// Settings of a node; durations in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Own identity.
    pub id: VmId,
    /// Seed of the random election timeouts; the own id is mixed in.
    pub seed: u64,
    /// Interval between heartbeats of the leader.
    pub heartbeat_ms: u64,
    /// Shortest election timeout. A leader without quorum contact for this long steps down, and a
    /// voter that heard from a leader within it grants no vote.
    pub election_min_ms: u64,
    /// Longest election timeout.
    pub election_max_ms: u64,
    /// Leader lease; below `election_min_ms` by the clock drift that is allowed for.
    pub lease_ms: u64,
    /// Least time between messages that only tell a peer the commit index.
    pub commit_interval_ms: u64,
    /// Least time between messages with entries to a member without a vote, which nothing waits for.
    pub learner_interval_ms: u64,
    /// Whether entries are handed out only once the commit index that covers them is on disk, so that
    /// a VM that restarts without reaching a leader does not fall back behind what it has shown. It
    /// costs a sync for each commit; a cell whose leader alone shows anything does without.
    pub durable_commit: bool,
    /// Most bytes of entry data in one message, and so in one command.
    pub max_message_bytes: usize,
    /// Most bytes of snapshot data in one message.
    pub max_chunk_bytes: usize,
    /// Most messages with entries on the way to one peer.
    pub max_in_flight: usize,
    /// Most entries proposed and not yet committed.
    pub max_uncommitted: u64,
    /// Entries kept before a snapshot, so that a peer slightly behind needs no snapshot.
    pub retained_entries: u64,
    /// Most entries that a learner may lack at its promotion.
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
            durable_commit: true,
            max_message_bytes: 512 * 1_024,
            max_chunk_bytes: 128 * 1_024,
            max_in_flight: 16,
            max_uncommitted: 10_000,
            retained_entries: 256,
            promote_lag: 64,
        }
    }
}
