//! Log of workers on which room became free.

/// Entries kept. A queue that was last tried before these is tried in full.
const MAX_ENTRIES: usize = 64;

/// Lets a queue whose first job fitted nowhere look only at the workers that changed since.
#[derive(Debug, Default)]
pub(crate) struct ChangeLog {
    workers: std::collections::VecDeque<usize>,
    /// Position after the newest entry.
    end: u64,
}

impl ChangeLog {
    /// Room became free on the worker in `slot`.
    pub(crate) fn push(&mut self, slot: usize) {
        if self.workers.len() == MAX_ENTRIES {
            self.workers.pop_front();
        }
        self.workers.push_back(slot);
        self.end += 1;
    }

    /// Everything may have changed.
    pub(crate) fn reset(&mut self) {
        self.workers.clear();
        self.end += 1;
    }

    /// Position after the newest entry.
    pub(crate) fn end(&self) -> u64 {
        self.end
    }

    /// Workers that changed after position `from`, or `None` when too much has changed.
    pub(crate) fn since(&self, from: u64) -> Option<impl Iterator<Item = usize> + '_> {
        let count = usize::try_from(self.end.saturating_sub(from)).ok()?;
        let skip = self.workers.len().checked_sub(count)?;
        Some(self.workers.iter().skip(skip).copied())
    }
}
