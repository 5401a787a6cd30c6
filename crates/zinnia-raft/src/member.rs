//! Members of a cell and membership changes.

use serde::Deserialize;
use serde::Serialize;
use zinnia_types::VmId;

/// A VM that replicates the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Id, generated together with the data folder.
    pub id: VmId,
    /// `ip:port` for traffic between daemons.
    pub peer: String,
    /// `ip:port` for callers and workers; empty if unknown.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub http: String,
    /// Whether it votes and counts toward the quorum. Members without a vote are learners.
    pub voter: bool,
}

/// Members of a cell, sorted by id.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Vec<Member>", into = "Vec<Member>")]
pub struct Members(Vec<Member>);

impl From<Vec<Member>> for Members {
    fn from(mut list: Vec<Member>) -> Self {
        list.sort_by_key(|m| m.id);
        list.dedup_by_key(|m| m.id);
        Self(list)
    }
}

impl From<Members> for Vec<Member> {
    fn from(members: Members) -> Self {
        members.0
    }
}

impl Members {
    /// Iterates over all members.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.0.iter()
    }

    /// Iterates over the ids of the voters.
    pub fn voters(&self) -> impl Iterator<Item = VmId> {
        self.0.iter().filter(|m| m.voter).map(|m| m.id)
    }

    /// Returns the member with `id`.
    pub fn get(&self, id: VmId) -> Option<&Member> {
        let at = self.0.binary_search_by_key(&id, |m| m.id).ok()?;
        self.0.get(at)
    }

    /// Whether `id` is a voter.
    pub fn is_voter(&self, id: VmId) -> bool {
        self.get(id).is_some_and(|m| m.voter)
    }

    /// Number of voters that form a majority. It is 1 without voters, so that nothing can commit.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Number of members.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there are no members.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the members after `change`, or `None` if it has no effect or leaves no voter.
    pub fn with_change(&self, change: &MembershipChange) -> Option<Self> {
        let mut next = self.clone();
        match change {
            MembershipChange::Add(member) => {
                let voter = self.is_voter(member.id);
                next.0.retain(|m| m.id != member.id);
                next.0.push(Member {
                    voter,
                    ..member.clone()
                });
            }
            MembershipChange::Promote(id) => {
                let member = next.0.iter_mut().find(|m| m.id == *id)?;
                member.voter = true;
            }
            MembershipChange::Remove(id) => next.0.retain(|m| m.id != *id),
        }
        let next = Self::from(next.0);
        let valid = next != *self && next.voters().next().is_some();
        valid.then_some(next)
    }
}

/// Membership change, replicated as a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MembershipChange {
    /// Adds a learner or updates the addresses of a member. [`Member::voter`] is ignored.
    Add(Member),
    /// Turns a caught-up learner into a voter.
    Promote(VmId),
    /// Removes a member.
    Remove(VmId),
}

impl MembershipChange {
    /// Upper bound for the encoded size in bytes.
    pub(crate) fn size_estimate(&self) -> usize {
        const OVERHEAD_BYTES: usize = 96;
        match self {
            Self::Add(m) => OVERHEAD_BYTES + m.peer.len() + m.http.len(),
            Self::Promote(_) | Self::Remove(_) => OVERHEAD_BYTES,
        }
    }
}
