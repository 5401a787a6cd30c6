//! Log of workers on which resources became free.

/// Entries that the log keeps. A job that was last tried before the oldest one is tried on all
/// workers.
const MAX_ENTRIES: usize = 64;

/// Bounded log of workers with newly free resources, so that a job that fitted no worker is
/// compared only with workers that changed since.
#[derive(Debug, Default)]
pub(crate) struct ChangeLog {
    /// Slots of the changed workers, the newest last.
    workers: std::collections::VecDeque<usize>,
    /// Position after the newest entry.
    end: u64,
}

impl ChangeLog {
    /// Adds a worker on which resources became free.
    pub(crate) fn push(&mut self, slot: usize) {
        if self.workers.len() == MAX_ENTRIES {
            self.workers.pop_front();
        }
        self.workers.push_back(slot);
        self.end += 1;
    }

    /// Discards all entries, because any worker may have changed.
    pub(crate) fn reset(&mut self) {
        self.workers.clear();
        self.end += 1;
    }

    /// Position after the newest entry.
    pub(crate) fn end(&self) -> u64 {
        self.end
    }

    /// Workers that changed after position `from`, or `None` if the log no longer holds them all.
    pub(crate) fn since(&self, from: u64) -> Option<impl Iterator<Item = usize> + '_> {
        let count = usize::try_from(self.end.saturating_sub(from)).ok()?;
        let skip = self.workers.len().checked_sub(count)?;
        Some(self.workers.iter().skip(skip).copied())
    }
}
