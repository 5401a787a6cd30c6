//! Properties that hold after every action, whatever the faults.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use zinnia_types::VmId;

use super::SimDisk;
use crate::Entry;
use crate::Members;
use crate::Message;
use crate::Payload;

/// What was observed in the whole cell, and the first property that did not hold.
#[derive(Debug, Default)]
pub struct InvariantChecker {
    /// First violation.
    violation: Option<String>,
    /// Leader of each term.
    leaders: BTreeMap<u64, VmId>,
    /// Content and preceding term of each entry ever written, by index and term.
    written_entries: BTreeMap<(u64, u64), (Payload, u64)>,
    /// First entry applied at each index, with the term in which it was applied.
    committed_entries: BTreeMap<u64, (Entry, u64)>,
    /// Content of the committed entries with data.
    committed_data: BTreeSet<String>,
    /// State of the application after each index.
    state_hashes: BTreeMap<u64, u64>,
    /// Proposals rejected.
    rejected_proposals: BTreeSet<u64>,
    /// Index of each proposal accepted.
    committed_proposals: BTreeMap<u64, u64>,
}

impl InvariantChecker {
    /// The first violation.
    pub fn violation(&self) -> Option<&str> {
        self.violation.as_deref()
    }

    /// Index of an accepted proposal.
    pub fn committed_index(&self, proposal_id: u64) -> Option<u64> {
        self.committed_proposals.get(&proposal_id).copied()
    }

    /// Number of leaders so far.
    pub fn leader_count(&self) -> usize {
        self.leaders.len()
    }

    /// Notes a violation unless `holds`.
    pub fn expect(&mut self, holds: bool, what: impl FnOnce() -> String) {
        if !holds && self.violation.is_none() {
            self.violation = Some(what());
        }
    }

    /// Election safety, and leader completeness against what the leader has on disk.
    pub(crate) fn check_leader(&mut self, id: VmId, term: u64, disk: &SimDisk) {
        let first = *self.leaders.entry(term).or_insert(id);
        self.expect(first == id, || {
            format!("{first} and {id} lead in term {term}")
        });
        // A leader may learn late that it won; what later terms committed meanwhile is not its concern.
        let committed = self.committed_entries.range(disk.snapshot_index() + 1..);
        let mut earlier = committed.filter(|(_, (_, by))| *by < term);
        let lacks = earlier.find(|(index, (entry, _))| !disk.holds(**index, entry.term));
        let lacks = lacks.map(|(index, (entry, _))| (*index, entry.term));
        self.expect(lacks.is_none(), || {
            format!("leader {id} of term {term} lacks the committed index and term {lacks:?}")
        });
    }

    /// Log matching: entries with equal index and term are equal and follow equal terms.
    ///
    /// `before` is the term of the entry before the first one, if it is known.
    pub(crate) fn check_written(&mut self, entries: &[Entry], mut before: Option<u64>) {
        for entry in entries {
            if let Some(prev_term) = before {
                let at = (entry.index, entry.term);
                let this = (entry.payload.clone(), prev_term);
                let first = self
                    .written_entries
                    .entry(at)
                    .or_insert_with(|| this.clone());
                let same = *first == this;
                self.expect(same, || format!("two entries at index and term {at:?}"));
            }
            before = Some(entry.term);
        }
    }

    /// State machine safety, and no rejected proposal among the committed; returns whether no VM
    /// applied this index before. `term` is that of the VM.
    pub(crate) fn check_applied(&mut self, id: VmId, entry: &Entry, state: u64, term: u64) -> bool {
        let index = entry.index;
        let known = self.committed_entries.get(&index);
        let fresh = known.is_none();
        let same = known.is_none_or(|(first, _)| first == entry);
        self.expect(same, || format!("{id} applies other data at {index}"));
        let known = *self.state_hashes.entry(index).or_insert(state);
        self.expect(known == state, || {
            format!("{id} has another state at {index}")
        });
        if fresh {
            self.committed_entries.insert(index, (entry.clone(), term));
        }
        if let Payload::Data(data) = &entry.payload {
            let proposal_id = data.as_str().parse().unwrap_or(0);
            let rejected = self.rejected_proposals.contains(&proposal_id);
            self.expect(!rejected, || {
                format!("rejected proposal {proposal_id} was committed")
            });
            self.committed_data.insert(data.as_str().to_owned());
        }
        fresh
    }

    /// A snapshot holds the state that entries lead to.
    pub(crate) fn check_restored(&mut self, index: u64, state: u64) {
        let known = self.state_hashes.get(&index).copied();
        self.expect(known.is_none_or(|s| s == state), || {
            format!("the snapshot at {index} has another state")
        });
    }

    /// A commit is on the disks of a quorum of some membership in use, unless a disk was wiped.
    pub(crate) fn check_durable<'a>(
        &mut self,
        entry: &Entry,
        mut members: impl Iterator<Item = &'a Members>,
        disk: impl Fn(VmId) -> Option<&'a SimDisk>,
    ) {
        let holds = |id: &VmId| disk(*id).is_some_and(|d| d.holds(entry.index, entry.term));
        let durable = members.any(|m| m.voters().filter(holds).count() >= m.quorum());
        self.expect(durable, || {
            format!("{} is committed without a quorum of copies", entry.index)
        });
    }

    pub(crate) fn check_committed(&mut self, proposal_id: u64, index: u64) {
        let rejected = self.rejected_proposals.contains(&proposal_id);
        let again = self
            .committed_proposals
            .insert(proposal_id, index)
            .is_some();
        self.expect(!rejected && !again, || {
            format!("proposal {proposal_id} is accepted after another outcome")
        });
    }

    pub(crate) fn check_rejected(&mut self, proposal_id: u64) {
        let accepted = self.committed_proposals.contains_key(&proposal_id);
        let committed = self.committed_data.contains(&proposal_id.to_string());
        let again = !self.rejected_proposals.insert(proposal_id);
        self.expect(!accepted && !committed && !again, || {
            format!("proposal {proposal_id} is rejected after another outcome")
        });
    }

    /// What a message claims to be durable is on disk.
    pub(crate) fn check_sent(&mut self, from: VmId, to: VmId, message: &Message, disk: &SimDisk) {
        let voted = (disk.hard.term, disk.hard.vote);
        let durable = match message {
            Message::Vote { term, .. } => voted == (*term, Some(from)),
            Message::VoteReply {
                term,
                pre: false,
                granted: true,
            } => voted == (*term, Some(to)),
            Message::AppendReply {
                term,
                ok: true,
                index,
                ..
            } => disk.hard.term >= *term && disk.last_index() >= *index,
            _ => true,
        };
        self.expect(durable, || {
            format!("{from} sends {message:?} ahead of its disk")
        });
    }
}
