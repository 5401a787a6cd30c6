//! Snapshots of the application state.

use serde::Deserialize;
use serde::Serialize;

use crate::Data;
use crate::Members;

/// Application state and members after the entry at `index`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Last entry that the snapshot covers.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Members after that entry.
    pub members: Members,
    /// Serialized application state; empty in [`Self::initial`].
    pub data: Data,
}

impl Snapshot {
    /// Creates the snapshot that bootstraps a new cell.
    ///
    /// All configured voters must create it from the same members and save it before the node starts.
    /// Its index is 1, so that an empty learner at index 0 receives it and with it the members.
    pub fn initial(members: Members) -> Self {
        Self {
            index: 1,
            term: 0,
            members,
            data: Data::default(),
        }
    }
}
