//! Changes of attempts that the owner has not acknowledged.

use std::collections::BTreeMap;

use zinnia_types::AttemptId;

/// Attempts with unacknowledged changes, each with the sequence number of the first message that
/// carried its latest change, or `None` if none has.
///
/// The announcement has sequence number 0 in its epoch.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReportQueue {
    seq: u64,
    unacknowledged: BTreeMap<AttemptId, Option<u64>>,
}

impl ReportQueue {
    /// Queues `attempt` because its state has changed since the last report.
    pub(crate) fn mark_changed(&mut self, attempt: AttemptId) {
        self.unacknowledged.insert(attempt, None);
    }

    /// Removes `attempt` from the queue.
    pub(crate) fn remove(&mut self, attempt: AttemptId) {
        self.unacknowledged.remove(&attempt);
    }

    /// Restarts the sequence with an announcement, which carries every change.
    pub(crate) fn mark_announced(&mut self) {
        self.seq = 0;
        for seq in self.unacknowledged.values_mut() {
            *seq = Some(0);
        }
    }

    /// Returns the sequence number of the next heartbeat and assigns it to unsent changes. The
    /// heartbeat carries all of [`ReportQueue::unacknowledged`].
    pub(crate) fn assign_seq(&mut self) -> u64 {
        if self.unacknowledged.values().any(Option::is_none) {
            self.seq += 1;
        }
        for seq in self.unacknowledged.values_mut() {
            seq.get_or_insert(self.seq);
        }
        self.seq
    }

    /// Removes the changes that a message up to `seq` carried, and returns their attempts.
    pub(crate) fn acknowledge(&mut self, seq: u64) -> Vec<AttemptId> {
        let covered = |carried: &Option<u64>| carried.is_some_and(|c| c <= seq);
        let removed = self
            .unacknowledged
            .iter()
            .filter(|(_, carried)| covered(carried));
        let removed = removed.map(|(attempt, _)| *attempt).collect();
        self.unacknowledged.retain(|_, carried| !covered(carried));
        removed
    }

    /// Whether `attempt` has an unacknowledged change.
    pub(crate) fn is_unacknowledged(&self, attempt: AttemptId) -> bool {
        self.unacknowledged.contains_key(&attempt)
    }

    /// Attempts with an unacknowledged change.
    pub(crate) fn unacknowledged(&self) -> impl Iterator<Item = AttemptId> {
        self.unacknowledged.keys().copied()
    }

    /// Attempts whose latest change no message has carried.
    pub(crate) fn unsent(&self) -> impl Iterator<Item = AttemptId> {
        self.unacknowledged
            .iter()
            .filter(|(_, carried)| carried.is_none())
            .map(|(attempt, _)| *attempt)
    }
}
