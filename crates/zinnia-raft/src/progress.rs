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
pub(crate) enum Flow {
    /// Look for the matching index with one empty message at a time.
    Probe {
        /// Whether an answer is awaited; the next heartbeat asks again.
        waiting: bool,
    },
    /// Stream entries within the window.
    Stream {
        /// Last index of each message on the way.
        sent: VecDeque<u64>,
    },
    /// Send a snapshot part by part.
    Transfer {
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
    pub(crate) matched: u64,
    pub(crate) next: u64,
    pub(crate) flow: Flow,
    /// Leader's clock when it sent the latest message that was answered.
    pub(crate) acked: Option<Time>,
    /// When the latest answer arrived, or when the leader began to wait for one.
    pub(crate) heard: Time,
    /// When the latest append went out.
    pub(crate) sent_at: Time,
    /// Commit index that it carried.
    pub(crate) commit_sent: u64,
    /// When the latest message with entries went out.
    pub(crate) batch_at: Option<Time>,
}

impl Progress {
    pub(crate) fn new(next: u64, now: Time) -> Self {
        Self {
            matched: 0,
            next,
            flow: Flow::Probe { waiting: false },
            acked: None,
            heard: now,
            sent_at: now,
            commit_sent: 0,
            batch_at: None,
        }
    }

    /// Takes over that the peer's log matches up to `index`.
    pub(crate) fn accept(&mut self, index: u64) {
        self.matched = self.matched.max(index);
        self.next = self.next.max(self.matched + 1);
        match &mut self.flow {
            Flow::Probe { .. } => {
                self.next = self.matched + 1;
                self.flow = Flow::Stream {
                    sent: VecDeque::new(),
                };
            }
            Flow::Stream { sent } => {
                while sent.front().is_some_and(|last| *last <= index) {
                    sent.pop_front();
                }
            }
            Flow::Transfer { snapshot, .. } => {
                if self.matched >= snapshot.index {
                    self.flow = Flow::Stream {
                        sent: VecDeque::new(),
                    };
                }
            }
        }
    }

    /// Takes over that the peer refused `prev` and suggests to go on at `hint`.
    pub(crate) fn refuse(&mut self, prev: u64, hint: u64) {
        let stale = match &self.flow {
            Flow::Probe { .. } => prev + 1 != self.next,
            Flow::Stream { .. } => prev <= self.matched,
            Flow::Transfer { .. } => true,
        };
        if stale {
            return;
        }
        self.next = hint.min(prev).max(self.matched + 1);
        self.flow = Flow::Probe { waiting: false };
    }
}
