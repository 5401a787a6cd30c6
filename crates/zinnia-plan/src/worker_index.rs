//! Numbers for worker names.

use std::collections::BTreeMap;

/// Number of a worker within one leader term.
///
/// A planning pass looks up and compares workers for each waiting task. With numbers this costs an
/// array access instead of several string comparisons.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct WorkerIndex(u32);

impl WorkerIndex {
    /// Position in an array with one entry per worker.
    pub(crate) fn position(self) -> usize {
        self.0 as usize
    }
}

/// The numbers of all workers that a leader has seen. A worker keeps its number when it restarts.
#[derive(Debug, Default)]
pub(crate) struct WorkerIndices {
    by_name: BTreeMap<String, WorkerIndex>,
}

impl WorkerIndices {
    /// Returns the number of a worker, and assigns one to a new worker.
    pub(crate) fn assign(&mut self, name: &str) -> WorkerIndex {
        if let Some(&index) = self.by_name.get(name) {
            return index;
        }
        let index = WorkerIndex(u32::try_from(self.by_name.len()).unwrap_or(u32::MAX));
        self.by_name.insert(name.to_owned(), index);
        index
    }

    /// Returns the number of a worker that has one.
    pub(crate) fn get(&self, name: &str) -> Option<WorkerIndex> {
        self.by_name.get(name).copied()
    }

    /// Number of workers.
    pub(crate) fn len(&self) -> usize {
        self.by_name.len()
    }
}
