//! Replication progress that a leader tracks for each peer.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::Serialize;
use zinnia_types::Time;
use zinnia_types::VmId;

use crate::Snapshot;

/// Replication status of a peer, for decisions about promotion and replacement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct PeerStatus {
    /// Id of the peer.
    pub id: VmId,
    /// Whether the peer is a voter.
    pub voter: bool,
    /// Index up to which its log is known to match and be synced.
    pub matched: u64,
    /// Number of committed entries that the peer lacks.
    pub lag: u64,
    /// Milliseconds since its last reply, or since the leader started tracking it or went on after a pause of
    /// its own.
    pub silent_ms: u64,
    /// Whether the peer is responsive and close enough to the commit index to be promoted.
    pub caught_up: bool,
}

/// Replication state of a peer.
#[derive(Debug)]
pub(crate) enum ProgressState {
    /// The leader searches for the matching index with one empty message at a time.
    Probe {
        /// Whether a probe is unanswered. The next heartbeat sends another one.
        awaiting_reply: bool,
    },
    /// The leader streams entries, limited by the number of messages in flight.
    Replicate {
        /// Last index of each unacknowledged message.
        in_flight: VecDeque<u64>,
    },
    /// The leader sends a snapshot in chunks.
    Snapshot {
        snapshot: Arc<Snapshot>,
        /// Offset of the next chunk in bytes.
        offset: u64,
        /// Send time of the unacknowledged chunk.
        sent_at: Option<Time>,
    },
}

/// Replication progress of one peer.
#[derive(Debug)]
pub(crate) struct Progress {
    pub(crate) match_index: u64,
    pub(crate) next_index: u64,
    pub(crate) state: ProgressState,
    /// Send time of the latest acknowledged message.
    pub(crate) last_acked: Option<Time>,
    /// Arrival time of the latest reply, or when the leader started tracking the peer.
    pub(crate) last_reply: Time,
    /// Send time of the latest append message.
    pub(crate) last_append: Time,
    /// Highest commit index sent to the peer.
    pub(crate) sent_commit: u64,
    /// Send time of the latest message with entries.
    pub(crate) last_batch: Option<Time>,
}

impl Progress {
    pub(crate) fn new(next_index: u64, now: Time) -> Self {
        Self {
            match_index: 0,
            next_index,
            state: ProgressState::Probe {
                awaiting_reply: false,
            },
            last_acked: None,
            last_reply: now,
            last_append: now,
            sent_commit: 0,
            last_batch: None,
        }
    }

    /// Records that the peer's log matches up to `index`.
    pub(crate) fn record_match(&mut self, index: u64) {
        self.match_index = self.match_index.max(index);
        self.next_index = self.next_index.max(self.match_index + 1);
        match &mut self.state {
            ProgressState::Probe { .. } => {
                self.next_index = self.match_index + 1;
                self.state = ProgressState::Replicate {
                    in_flight: VecDeque::new(),
                };
            }
            ProgressState::Replicate { in_flight } => {
                while in_flight.front().is_some_and(|last| *last <= index) {
                    in_flight.pop_front();
                }
            }
            ProgressState::Snapshot { snapshot, .. } => {
                if self.match_index >= snapshot.index {
                    self.state = ProgressState::Replicate {
                        in_flight: VecDeque::new(),
                    };
                }
            }
        }
    }

    /// Records that the peer's log does not match at `prev` and that it suggests `hint` as the next
    /// index.
    pub(crate) fn record_mismatch(&mut self, prev: u64, hint: u64) {
        let stale = match &self.state {
            ProgressState::Probe { .. } => prev + 1 != self.next_index,
            ProgressState::Replicate { .. } => prev <= self.match_index,
            ProgressState::Snapshot { .. } => true,
        };
        if stale {
            return;
        }
        self.next_index = hint.min(prev).max(self.match_index + 1);
        self.state = ProgressState::Probe {
            awaiting_reply: false,
        };
    }
}
