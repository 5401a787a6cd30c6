//! Raft invariants that must hold under all faults.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use zinnia_types::VmId;

use super::SimDisk;
use crate::Entry;
use crate::Members;
use crate::Message;
use crate::Payload;

/// Observations from all VMs of a cell, and the first violated invariant.
#[derive(Debug, Default)]
pub struct InvariantChecker {
    /// First violated invariant.
    violation: Option<String>,
    /// Leader by term.
    leaders: BTreeMap<u64, VmId>,
    /// Payload and preceding term of each entry written so far, by index and term.
    written_entries: BTreeMap<(u64, u64), (Payload, u64)>,
    /// First entry applied at each index, with the current term of the VM that applied it.
    committed_entries: BTreeMap<u64, (Entry, u64)>,
    /// Data of the committed entries.
    committed_data: BTreeSet<String>,
    /// Hash of the application state after each index.
    state_hashes: BTreeMap<u64, u64>,
    /// Ids of the rejected proposals.
    rejected_proposals: BTreeSet<u64>,
    /// Log index of each committed proposal, by id.
    committed_proposals: BTreeMap<u64, u64>,
}

impl InvariantChecker {
    /// Description of the first violated invariant.
    pub fn violation(&self) -> Option<&str> {
        self.violation.as_deref()
    }

    /// Log index of a committed proposal.
    pub fn committed_index(&self, proposal_id: u64) -> Option<u64> {
        self.committed_proposals.get(&proposal_id).copied()
    }

    /// Number of terms that had a leader.
    pub fn leader_count(&self) -> usize {
        self.leaders.len()
    }

    /// Records a violation unless `holds` is true.
    pub fn expect(&mut self, holds: bool, what: impl FnOnce() -> String) {
        if !holds && self.violation.is_none() {
            self.violation = Some(what());
        }
    }

    /// Checks election safety, and leader completeness against the disk of the leader.
    pub(crate) fn check_leader(&mut self, id: VmId, term: u64, disk: &SimDisk) {
        let first = *self.leaders.entry(term).or_insert(id);
        self.expect(first == id, || {
            format!("{first} and {id} are both leader in term {term}")
        });
        // A leader may learn late that it won. Entries committed by later terms in the meantime are
        // exempt.
        let committed = self.committed_entries.range(disk.snapshot_index() + 1..);
        let mut earlier = committed.filter(|(_, (_, by))| *by < term);
        let missing = earlier.find(|(index, (entry, _))| !disk.holds(**index, entry.term));
        let missing = missing.map(|(index, (entry, _))| (*index, entry.term));
        self.expect(missing.is_none(), || {
            format!(
                "leader {id} of term {term} lacks the committed entry (index, term) {missing:?}"
            )
        });
    }

    /// Checks log matching: entries with equal index and term have equal payloads and predecessors of
    /// equal terms.
    ///
    /// `before` is the term of the entry before the first one, if known.
    pub(crate) fn check_written(&mut self, entries: &[Entry], mut before: Option<u64>) {
        for entry in entries {
            if let Some(prev_term) = before {
                let at = (entry.index, entry.term);
                let content = (entry.payload.clone(), prev_term);
                let first = self
                    .written_entries
                    .entry(at)
                    .or_insert_with(|| content.clone());
                let same = *first == content;
                self.expect(same, || {
                    format!("different entries have the same (index, term) {at:?}")
                });
            }
            before = Some(entry.term);
        }
    }

    /// Checks state machine safety and that no rejected proposal is applied. `term` is the current
    /// term of the VM. Returns whether it is the first VM to apply this index.
    pub(crate) fn check_applied(&mut self, id: VmId, entry: &Entry, state: u64, term: u64) -> bool {
        let index = entry.index;
        let known = self.committed_entries.get(&index);
        let is_first = known.is_none();
        let same = known.is_none_or(|(first, _)| first == entry);
        self.expect(same, || {
            format!("{id} applied a different entry at {index}")
        });
        let known = *self.state_hashes.entry(index).or_insert(state);
        self.expect(known == state, || {
            format!("{id} has a different application state at {index}")
        });
        if is_first {
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
        is_first
    }

    /// Checks that a restored snapshot equals the state after applying the entries up to its index.
    pub(crate) fn check_restored(&mut self, index: u64, state: u64) {
        let known = self.state_hashes.get(&index).copied();
        self.expect(known.is_none_or(|s| s == state), || {
            format!("the snapshot at {index} has a different application state")
        });
    }

    /// Checks that a committed entry is on the disks of a quorum of a membership in use. Valid only
    /// if no disk was wiped.
    pub(crate) fn check_durable<'a>(
        &mut self,
        entry: &Entry,
        mut members: impl Iterator<Item = &'a Members>,
        disk: impl Fn(VmId) -> Option<&'a SimDisk>,
    ) {
        let holds = |id: &VmId| disk(*id).is_some_and(|d| d.holds(entry.index, entry.term));
        let durable = members.any(|m| m.voters().filter(holds).count() >= m.quorum());
        self.expect(durable, || {
            format!(
                "entry {} is committed without being on the disks of a quorum",
                entry.index
            )
        });
    }

    /// Checks that a proposal reported as committed has no other outcome.
    pub(crate) fn check_committed(&mut self, proposal_id: u64, index: u64) {
        let rejected = self.rejected_proposals.contains(&proposal_id);
        let again = self
            .committed_proposals
            .insert(proposal_id, index)
            .is_some();
        self.expect(!rejected && !again, || {
            format!("proposal {proposal_id} is reported as committed after another outcome")
        });
    }

    /// Checks that a rejected proposal has no other outcome.
    pub(crate) fn check_rejected(&mut self, proposal_id: u64) {
        let reported = self.committed_proposals.contains_key(&proposal_id);
        let committed = self.committed_data.contains(&proposal_id.to_string());
        let again = !self.rejected_proposals.insert(proposal_id);
        self.expect(!reported && !committed && !again, || {
            format!("proposal {proposal_id} is reported as rejected after another outcome")
        });
    }

    /// Checks that everything a message acknowledges is durable at the sender.
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
            format!("{from} sent {message:?} before its state was durable")
        });
    }
}
