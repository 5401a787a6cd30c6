//! What a leader knows of each peer.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::Serialize;
use zinnia_types::Time;
use zinnia_types::VmId;

use crate::Snapshot;

/// A peer as the leader sees it, for decisions on promotion and replacement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct PeerStatus {
    /// The peer.
    pub id: VmId,
    /// Whether it counts toward the quorum.
    pub voter: bool,
    /// Index up to which its log is known to match and to be synced.
    pub matched: u64,
    /// Entries that it lacks, counted to the leader's commit index.
    pub lag: u64,
    /// Milliseconds since its last answer, or since the leader began to wait for one.
    pub silent_ms: u64,
    /// Whether a promotion would be accepted as far as the peer is concerned.
    pub caught_up: bool,
}

/// How the leader sends to a peer.
#[derive(Debug)]
pub(crate) enum ProgressState {
    /// Look for the matching index with one empty message at a time.
    Probe {
        /// Whether an answer is awaited; the next heartbeat asks again.
        awaiting_reply: bool,
    },
    /// Stream entries within the window.
    Replicate {
        /// Last index of each message on the way.
        in_flight: VecDeque<u64>,
    },
    /// Send a snapshot part by part.
    Snapshot {
        snapshot: Arc<Snapshot>,
        /// Byte from which the next part begins.
        offset: u64,
        /// When the part on the way was sent.
        sent_at: Option<Time>,
    },
}

/// Progress of one peer.
#[derive(Debug)]
pub(crate) struct Progress {
    pub(crate) match_index: u64,
    pub(crate) next_index: u64,
    pub(crate) state: ProgressState,
    /// Leader's clock when it sent the latest message that was answered.
    pub(crate) last_acked: Option<Time>,
    /// When the latest answer arrived, or when the leader began to wait for one.
    pub(crate) last_reply: Time,
    /// When the latest append went out.
    pub(crate) last_append: Time,
    /// Commit index that it carried.
    pub(crate) sent_commit: u64,
    /// When the latest message with entries went out.
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

    /// Takes over that the peer's log matches up to `index`.
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

    /// Takes over that the peer refused `prev` and suggests to go on at `hint`.
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
