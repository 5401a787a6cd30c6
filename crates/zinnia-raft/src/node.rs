//! Raft node: event dispatch, action ordering and read-only views.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::Value;
use serde_json::json;
use zinnia_types::Time;
use zinnia_types::VmId;

use crate::Action;
use crate::Event;
use crate::HardState;
use crate::Members;
use crate::Message;
use crate::Payload;
use crate::PeerStatus;
use crate::Proposal;
use crate::RecoveredState;
use crate::RejectReason;
use crate::Role;
use crate::Settings;
use crate::log::Log;
use crate::output::Output;
use crate::progress::Progress;
use crate::transfer::IncomingSnapshot;

/// Raft state machine of one VM.
#[derive(Debug)]
pub struct Node {
    pub(crate) settings: Settings,
    pub(crate) id: VmId,
    pub(crate) now: Time,
    started: bool,
    rng: SmallRng,
    pub(crate) role: Role,
    pub(crate) term: u64,
    pub(crate) vote: Option<VmId>,
    pub(crate) leader: Option<VmId>,
    pub(crate) commit_index: u64,
    applied_index: u64,
    /// Hard state in the last emitted [`Action::Persist`].
    persisted: HardState,
    /// Role, term and leader in the last emitted [`Action::RoleChanged`].
    reported: (Role, u64, Option<VmId>),
    pub(crate) log: Log,
    /// When a voter starts an election unless it receives a message from a leader.
    pub(crate) election_deadline: Time,
    /// When the last message from a leader arrived, or when this node started.
    pub(crate) leader_contact: Time,
    /// Latest known time at which the leader had quorum contact, on the clock of this node.
    pub(crate) quorum_contact: Option<Time>,
    pub(crate) votes: BTreeSet<VmId>,
    pub(crate) peers: BTreeMap<VmId, Progress>,
    /// When this leader last processed a tick.
    pub(crate) last_tick: Time,
    /// When this node became leader, or last went on after a pause of its own.
    pub(crate) resumed_at: Time,
    /// When this leader sends the next heartbeats.
    pub(crate) next_heartbeat: Time,
    /// Term and proposal id of each pending proposal, by log index.
    pub(crate) pending_proposals: BTreeMap<u64, (u64, u64)>,
    /// When this leader last emitted a Persist, if none was reported as synced since.
    pub(crate) awaiting_sync: Option<Time>,
    pub(crate) incoming_snapshot: Option<IncomingSnapshot>,
    /// Number of received messages that violate the protocol. Always 0 unless a peer is faulty.
    pub(crate) protocol_violations: u64,
    pub(crate) output: Output,
}

impl Node {
    /// Creates a node from the state that its store recovered.
    ///
    /// The caller must first restore the application state from `recovered.snapshot`.
    pub fn new(settings: Settings, recovered: RecoveredState) -> Self {
        let RecoveredState {
            hard,
            snapshot,
            entries,
        } = recovered;
        let log = Log::new(snapshot.unwrap_or_default(), entries);
        let applied_index = log.snapshot().index;
        let commit_index = hard.commit.min(log.last_index()).max(applied_index);
        let id = settings.id;
        // Election timeouts must differ between the VMs of a cell and between cells that use the same
        // ids, so the random seed combines the configured seed with the id.
        let seed = settings.seed ^ id.0.rotate_left(32);
        Self {
            id,
            now: Time::default(),
            started: false,
            rng: SmallRng::seed_from_u64(seed),
            role: Role::Learner,
            term: hard.term.max(log.last_term()),
            vote: hard.vote,
            leader: None,
            commit_index,
            applied_index,
            persisted: hard,
            reported: (Role::Learner, 0, None),
            log,
            election_deadline: Time::default(),
            leader_contact: Time::default(),
            quorum_contact: None,
            votes: BTreeSet::new(),
            peers: BTreeMap::new(),
            last_tick: Time::default(),
            resumed_at: Time::default(),
            next_heartbeat: Time::default(),
            pending_proposals: BTreeMap::new(),
            awaiting_sync: None,
            incoming_snapshot: None,
            protocol_violations: 0,
            output: Output::default(),
            settings,
        }
    }

    /// Processes `event` at time `now` and returns the actions to perform, in order.
    pub fn step(&mut self, event: Event, now: Time) -> Vec<Action> {
        self.now = self.now.max(now);
        if !self.started {
            self.started = true;
            // A restarted voter may have acknowledged a leader just before the restart. Granting no
            // vote for one election timeout keeps that leader's lease valid.
            self.leader_contact = self.now;
            self.update_role();
            self.reset_election_timer();
        }
        match event {
            Event::Tick => self.on_tick(),
            Event::Receive { from, message } => self.on_message(from, message),
            Event::Propose(list) => {
                for Proposal { proposal_id, data } in list {
                    self.on_propose(proposal_id, Payload::Data(data));
                }
            }
            Event::Synced { index } => self.on_synced(index),
            Event::ChangeMembers {
                proposal_id,
                change,
            } => self.on_change(proposal_id, change),
            Event::Compact { index, data } => self.on_compact(index, data),
        }
        self.collect_actions()
    }

    fn on_tick(&mut self) {
        if self.role == Role::Leader {
            self.on_leader_tick();
        } else if self.now >= self.election_deadline {
            self.on_election_timeout();
        }
    }

    fn on_message(&mut self, from: VmId, message: Message) {
        if from == self.id || !message.has_valid_numbers() {
            self.protocol_violations += 1;
            return;
        }
        match message {
            Message::PreVote {
                term,
                last,
                last_term,
            } => self.on_pre_vote(from, term, (last_term, last)),
            Message::Vote {
                term,
                last,
                last_term,
            } => self.on_vote(from, term, (last_term, last)),
            Message::VoteReply { term, pre, granted } => {
                self.on_vote_reply(from, term, pre, granted);
            }
            Message::Append(append) => self.on_append(from, append),
            Message::AppendReply {
                term,
                ok,
                index,
                hint,
                sent,
            } => {
                let last = self.log.last_index();
                if let Some(peer) = self.record_reply(from, term, sent) {
                    if ok && index > last {
                        self.protocol_violations += 1;
                        return;
                    }
                    if ok {
                        peer.record_match(index);
                    } else {
                        peer.record_mismatch(index, hint);
                    }
                    self.advance_commit();
                }
            }
            Message::Chunk(chunk) => self.on_chunk(from, chunk),
            Message::ChunkReply {
                term,
                index,
                offset,
                sent,
            } => {
                if let Some(peer) = self.record_reply(from, term, sent) {
                    peer.on_chunk_reply(index, offset);
                }
            }
        }
    }

    fn on_synced(&mut self, index: u64) {
        self.log.set_synced(index);
        self.awaiting_sync = None;
        if self.role == Role::Leader {
            self.advance_commit();
        }
    }

    fn on_compact(&mut self, index: u64, data: crate::Data) {
        let Some(term) = self.log.term(index) else {
            return;
        };
        if index > self.applied_index || index <= self.log.snapshot().index {
            return;
        }
        let snapshot = crate::Snapshot {
            index,
            term,
            members: self.log.members_at(index).clone(),
            data,
        };
        self.output.own_snapshot = Some(snapshot.clone());
        let settings = &self.settings;
        self.log
            .compact(snapshot, settings.retained_entries, settings.retained_bytes);
    }

    /// Orders the results of the step: persist, snapshots, messages, commits, role change.
    fn collect_actions(&mut self) -> Vec<Action> {
        let mut actions = Vec::new();
        self.update_role();
        self.emit_persist(&mut actions);
        if self.role == Role::Leader {
            self.replicate();
        }
        let output = std::mem::take(&mut self.output);
        if let Some(snapshot) = output.own_snapshot.clone() {
            actions.push(Action::SaveSnapshot { snapshot });
        }
        if let Some(snapshot) = output.received_snapshot.clone() {
            self.applied_index = self.applied_index.max(snapshot.index);
            actions.push(Action::InstallSnapshot { snapshot });
        }
        actions.extend(output.into_actions());
        self.emit_committed(&mut actions);
        let current = (self.role, self.term, self.leader);
        if current != self.reported {
            self.reported = current;
            actions.push(Action::RoleChanged {
                role: self.role,
                term: self.term,
                leader: self.leader,
            });
        }
        actions
    }

    fn emit_persist(&mut self, actions: &mut Vec<Action>) {
        let hard = HardState {
            term: self.term,
            vote: self.vote,
            // A commit index that comes from a snapshot must not reach the disk before the snapshot.
            // After a crash in between, it would cover entries that were never matched with the leader.
            commit: match self.output.received_snapshot {
                Some(_) => self.persisted.commit,
                None => self.commit_index,
            },
        };
        let truncate = self.output.truncate.take();
        // A leader buffers proposals and commits while a sync is in progress, so that they share the
        // next sync. Its term and vote change only when it steps down, which ends the wait.
        let max_delay = self.settings.max_batch_delay_ms;
        if self
            .awaiting_sync
            .is_some_and(|at| self.now.since(at) < max_delay)
        {
            return;
        }
        let entries = self.log.take_unpersisted();
        let vote_changed = (hard.term, hard.vote) != (self.persisted.term, self.persisted.vote);
        let changed = if self.settings.durable_commit || !entries.is_empty() {
            hard != self.persisted
        } else {
            vote_changed
        };
        if !changed && truncate.is_none() && entries.is_empty() {
            return;
        }
        self.awaiting_sync = (self.role == Role::Leader).then_some(self.now);
        self.persisted = hard;
        actions.push(Action::Persist {
            hard: changed.then_some(hard),
            truncate,
            entries,
        });
    }

    /// Emits the committed entries for application; see [`Settings::durable_commit`].
    fn emit_committed(&mut self, actions: &mut Vec<Action>) {
        let to = if self.settings.durable_commit {
            self.persisted.commit
        } else {
            self.commit_index
        };
        let entries = self.log.slice(self.applied_index + 1, to, usize::MAX);
        let Some(last) = entries.last() else {
            return;
        };
        self.applied_index = last.index;
        let remaining = self.pending_proposals.split_off(&(self.applied_index + 1));
        for (index, (term, proposal_id)) in
            std::mem::replace(&mut self.pending_proposals, remaining)
        {
            match self.log.term(index) {
                Some(found) if found == term => {
                    actions.push(Action::Committed { proposal_id, index });
                }
                Some(_) => actions.push(Action::Rejected {
                    proposal_id,
                    leader: self.leader,
                    reason: RejectReason::Overruled,
                }),
                // The index is covered by a snapshot, so the outcome is unknown.
                None => {}
            }
        }
        actions.push(Action::Apply { entries });
    }

    /// Switches between learner and follower according to the membership. A leader keeps its role.
    fn update_role(&mut self) {
        let voter = self.log.members().is_voter(self.id);
        match (self.role, voter) {
            (Role::Learner, true) => {
                self.role = Role::Follower;
                self.reset_election_timer();
            }
            (Role::Follower | Role::PreCandidate | Role::Candidate, false) => {
                self.role = Role::Learner;
            }
            _ => {}
        }
    }

    /// Restarts the election timer with a random timeout.
    pub(crate) fn reset_election_timer(&mut self) {
        let min = self.settings.election_min_ms;
        let max = self.settings.election_max_ms.max(min);
        self.election_deadline = self.now.after(self.rng.random_range(min..=max));
    }

    /// Becomes a follower of `leader` in `term`, which must not be below the current term.
    pub(crate) fn become_follower(&mut self, term: u64, leader: Option<VmId>) {
        if term > self.term {
            self.term = term;
            self.vote = None;
        }
        if self.role == Role::Leader {
            self.peers.clear();
            self.awaiting_sync = None;
        }
        self.leader = leader;
        self.votes.clear();
        self.role = Role::Follower;
        self.update_role();
        self.reset_election_timer();
    }

    /// Whether the leader had quorum contact within the lease.
    ///
    /// A leader measures from the send time of the messages that a quorum answered. Other nodes use
    /// the age that the leader reported, counted from the arrival of that message.
    pub fn has_quorum_contact(&self, now: Time) -> bool {
        let at = match self.role {
            Role::Leader => self.quorum_contact_at(now),
            _ => self.quorum_contact,
        };
        at.is_some_and(|at| now.since(at) < self.settings.lease_ms)
    }

    /// Whether this node leads and has applied an entry of its own term, which implies that it has
    /// applied everything committed in earlier terms.
    pub fn is_ready(&self) -> bool {
        self.role == Role::Leader && self.log.term(self.applied_index) == Some(self.term)
    }

    /// Current leader, if known.
    pub fn leader(&self) -> Option<VmId> {
        self.leader
    }

    /// Current role of this node.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Current term.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Last index known to be committed.
    pub fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// Last index emitted in an [`Action::Apply`] or covered by an installed snapshot.
    pub fn applied_index(&self) -> u64 {
        self.applied_index
    }

    /// Index of the latest snapshot. The caller compacts when it lags far behind
    /// [`Self::applied_index`].
    pub fn snapshot_index(&self) -> u64 {
        self.log.snapshot().index
    }

    /// Latest members, including an uncommitted change.
    pub fn members(&self) -> &Members {
        self.log.members()
    }

    /// Whether a membership change is uncommitted.
    pub fn has_pending_change(&self) -> bool {
        self.log.members_index() > self.commit_index
    }

    /// Replication status of the other members; empty unless this node leads.
    pub fn peers(&self) -> Vec<PeerStatus> {
        let peer = |(id, p): (&VmId, &Progress)| PeerStatus {
            id: *id,
            voter: self.members().is_voter(*id),
            matched: p.match_index,
            lag: self.commit_index.saturating_sub(p.match_index),
            silent_ms: self.now.since(p.last_reply.max(self.resumed_at)),
            caught_up: self.is_caught_up(p),
        };
        self.peers.iter().map(peer).collect()
    }

    /// Node state as JSON for diagnosis.
    pub fn dump(&self) -> Value {
        json!({
            "id": self.id,
            "role": self.role,
            "term": self.term,
            "vote": self.vote,
            "leader": self.leader,
            "commit": self.commit_index,
            "applied": self.applied_index,
            "last": self.log.last_index(),
            "synced": self.log.synced_index(),
            "base": self.log.base_index(),
            "snapshot": self.log.snapshot().index,
            "open": self.pending_proposals.len(),
            "contact": self.has_quorum_contact(self.now),
            "faults": self.protocol_violations,
            "members": self.members(),
            "peers": self.peers(),
        })
    }
}
