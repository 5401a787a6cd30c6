//! Ids that were cancelled while no open job had them.
//!
//! The answer tells the caller that nothing will run under this id. A submission that was sent before may still
//! be on its way, so the id is kept and the submission refused when it arrives.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;
use zinnia_types::JobId;

/// Largest number of ids that are kept. It bounds the state against callers that cancel ids at random.
const MAX_IDS: usize = 20_000;

/// Ids that were cancelled while no open job had them, each with the time of the cancellation in milliseconds since the
/// Unix epoch.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "Vec<(JobId, i64)>", into = "Vec<(JobId, i64)>")]
pub(crate) struct CancelledIds {
    by_id: BTreeMap<JobId, i64>,
    by_time: BTreeSet<(i64, JobId)>,
}

impl CancelledIds {
    pub(crate) fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    pub(crate) fn contains(&self, id: JobId) -> bool {
        self.by_id.contains_key(&id)
    }

    /// Keeps an id, or keeps it for longer.
    ///
    /// # Errors
    ///
    /// Returns the time of the oldest cancellation if no more ids can be kept.
    pub(crate) fn insert(&mut self, id: JobId, at_ms: i64) -> Result<(), i64> {
        if let Some(&(oldest_ms, _)) = self.by_time.first()
            && self.by_id.len() >= MAX_IDS
            && !self.contains(id)
        {
            return Err(oldest_ms);
        }
        if let Some(earlier_ms) = self.by_id.insert(id, at_ms) {
            self.by_time.remove(&(earlier_ms, id));
        }
        self.by_time.insert((at_ms, id));
        Ok(())
    }

    /// Removes the ids that were cancelled at `limit_ms` or earlier.
    pub(crate) fn remove_until(&mut self, limit_ms: i64) {
        while let Some(&(at_ms, id)) = self.by_time.first()
            && at_ms <= limit_ms
        {
            self.by_time.pop_first();
            self.by_id.remove(&id);
        }
    }
}

impl From<Vec<(JobId, i64)>> for CancelledIds {
    fn from(rows: Vec<(JobId, i64)>) -> Self {
        Self {
            by_time: rows.iter().map(|&(id, at_ms)| (at_ms, id)).collect(),
            by_id: rows.into_iter().collect(),
        }
    }
}

impl From<CancelledIds> for Vec<(JobId, i64)> {
    fn from(ids: CancelledIds) -> Self {
        ids.by_id.into_iter().collect()
    }
}
