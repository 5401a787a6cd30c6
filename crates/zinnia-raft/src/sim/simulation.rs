//! Simulated cell.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use zinnia_types::Time;
use zinnia_types::VmId;

use super::InvariantChecker;
use super::SimDisk;
use super::SimOptions;
use super::SimVm;
use super::vm::ShellStep;
use crate::Action;
use crate::Data;
use crate::Event;
use crate::HardState;
use crate::Member;
use crate::Members;
use crate::MembershipChange;
use crate::Node;
use crate::Proposal;
use crate::RejectReason;
use crate::Role;
use crate::Settings;
use crate::Snapshot;

/// Step of the virtual clock in milliseconds.
const STEP_MS: u64 = 10;
/// Interval between ticks of a node in milliseconds.
const TICK_MS: u64 = 50;
/// Interval between runs of the membership management in milliseconds.
const MEMBERSHIP_CHECK_MS: u64 = 500;

/// Simulated cell with a virtual clock, which advances only in [`Self::run`] and its variants.
#[derive(Debug)]
pub struct Simulation {
    /// Virtual time in milliseconds.
    pub now: u64,
    /// VMs by id.
    pub vms: BTreeMap<VmId, SimVm>,
    /// Links that drop all messages, as pairs of sender and receiver.
    pub cut_links: BTreeSet<(VmId, VmId)>,
    /// Checker of the Raft invariants.
    pub checker: InvariantChecker,
    /// Options of the simulation, which may be changed between runs.
    pub options: SimOptions,
    /// Reason for each rejected proposal and the leader named in the rejection, by proposal id.
    pub rejections: BTreeMap<u64, (RejectReason, Option<VmId>)>,
    /// Number of messages and bytes sent so far, by sender.
    pub sent_totals: BTreeMap<VmId, (u64, u64)>,
    /// Whether any disk was wiped, which disables the check for durable commits.
    pub(super) disk_wiped: bool,
    pub(super) rng: SmallRng,
    /// Encoded undelivered messages, by delivery time and sequence number.
    pub(super) in_flight: BTreeMap<(u64, u64), (VmId, VmId, String)>,
    /// Last number assigned to a proposal or a message.
    last_number: u64,
}

/// Creates a member whose address is derived from its id.
pub fn member(id: VmId, voter: bool) -> Member {
    Member {
        id,
        peer: format!("10.0.0.{}:7000", id.0),
        http: String::new(),
        voter,
    }
}

impl Simulation {
    /// Creates a cell with voters numbered from 1, which start from an initial snapshot.
    pub fn new(options: SimOptions) -> Self {
        let mut sim = Self {
            now: 10_000,
            vms: BTreeMap::new(),
            cut_links: BTreeSet::new(),
            checker: InvariantChecker::default(),
            rejections: BTreeMap::new(),
            sent_totals: BTreeMap::new(),
            disk_wiped: false,
            rng: SmallRng::seed_from_u64(options.seed),
            in_flight: BTreeMap::new(),
            last_number: 0,
            options,
        };
        let ids: Vec<VmId> = (1..=sim.options.voters).map(VmId).collect();
        let members: Vec<Member> = ids.iter().map(|id| member(*id, true)).collect();
        for id in ids {
            let vm = sim.vms.entry(id).or_default();
            vm.disk.snapshot = Some(Snapshot::initial(Members::from(members.clone())));
            sim.start(id);
        }
        sim
    }

    /// Result of all invariant checks so far.
    ///
    /// # Errors
    ///
    /// Describes the first violated invariant.
    pub fn result(&self) -> Result<(), String> {
        match self.checker.violation() {
            Some(violation) => Err(violation.to_owned()),
            None => Ok(()),
        }
    }

    /// Adds a VM with an empty disk and starts it.
    pub fn add_blank_vm(&mut self) -> VmId {
        let id = VmId(self.vms.len() as u64 + 1);
        self.vms.insert(id, SimVm::default());
        self.start(id);
        id
    }

    /// Starts the process of a VM from its disk, unless it is running or its disk was wiped.
    pub fn start(&mut self, id: VmId) {
        let Some(vm) = self.vms.get_mut(&id) else {
            return;
        };
        if vm.node.is_some() || vm.wiped {
            return;
        }
        let recovered = match vm.disk.recover() {
            Ok(recovered) => recovered,
            Err(error) => return self.checker.expect(false, || format!("{id}: {error}")),
        };
        vm.restore(recovered.snapshot.as_ref());
        let before = recovered.snapshot.as_ref().map(|s| s.term);
        self.checker.check_written(&recovered.entries, before);
        self.checker.check_restored(vm.applied_index, vm.state_hash);
        let settings = Settings {
            id,
            seed: self.options.seed,
            ..self.options.settings.clone()
        };
        vm.node = Some(Node::new(settings, recovered));
    }

    /// Crashes a VM after it performs `actions` of its pending actions. If the next action is a
    /// Persist, its first `synced_writes` writes reach the disk, and the messages that the shell may
    /// send before the sync are sent.
    pub fn crash(&mut self, id: VmId, actions: usize, synced_writes: usize) {
        self.perform_actions(id, actions);
        let mut sent_early = Vec::new();
        if let Some(vm) = self.vms.get_mut(&id) {
            if let Some(ShellStep::Perform(Action::Persist {
                hard,
                truncate,
                entries,
            })) = vm.pending_steps.pop_front()
            {
                let voted = |h: HardState| (h.term, h.vote);
                if hard.is_none_or(|h| voted(h) == voted(vm.disk.hard)) {
                    let sends = vm.pending_steps.iter().map_while(|step| match step {
                        ShellStep::Perform(action @ Action::Send { to, message }) => {
                            Some((action, *to, message))
                        }
                        _ => None,
                    });
                    let allowed = sends.filter(|(action, _, _)| action.may_precede_sync());
                    sent_early.extend(allowed.map(|(_, to, message)| (to, message.clone())));
                }
                vm.disk.write(hard, truncate, &entries);
            }
            vm.disk.sync_first(synced_writes);
            vm.stop();
        }
        for (to, message) in sent_early {
            self.send(id, to, &message);
        }
    }

    /// Wipes the disk of a VM and starts a new VM in its place. Returns the id of the new VM.
    pub fn wipe(&mut self, id: VmId) -> VmId {
        self.crash(id, 0, 0);
        if let Some(vm) = self.vms.get_mut(&id) {
            vm.disk = SimDisk::default();
            vm.wiped = true;
        }
        self.disk_wiped = true;
        self.add_blank_vm()
    }

    /// Cuts all links from and to a VM.
    pub fn isolate(&mut self, id: VmId) {
        let others = self.vms.keys();
        self.cut_links
            .extend(others.flat_map(|o| [(id, *o), (*o, id)]));
    }

    /// Returns the node of a running VM.
    pub fn node(&self, id: VmId) -> Option<&Node> {
        self.vms.get(&id)?.node.as_ref()
    }

    /// Iterates over the running nodes.
    pub fn nodes(&self) -> impl Iterator<Item = (VmId, &Node)> {
        let node = |(id, vm): (&VmId, &'_ SimVm)| vm.node.is_some().then_some(*id);
        let live = self.vms.iter().filter_map(node);
        live.filter_map(|id| Some((id, self.node(id)?)))
    }

    /// Ids of the running VMs.
    pub fn running_vms(&self) -> Vec<VmId> {
        self.nodes().map(|(id, _)| id).collect()
    }

    /// Returns the leader with the highest term.
    pub fn leader(&self) -> Option<VmId> {
        let leaders = self.nodes().filter(|(_, n)| n.role() == Role::Leader);
        leaders.max_by_key(|(_, n)| n.term()).map(|(id, _)| id)
    }

    /// All memberships stored on a disk or known to a running node.
    pub fn memberships(&self) -> Vec<Members> {
        let disks = self.vms.values().filter(|vm| !vm.wiped);
        let recovered = disks.filter_map(|vm| vm.disk.recover().ok());
        let stored = recovered.map(|r| Node::new(Settings::default(), r).members().clone());
        let running = self.nodes().map(|(_, n)| n.members().clone());
        stored.chain(running).filter(|m| !m.is_empty()).collect()
    }

    /// Whether a VM is running, not paused, and has no cut links.
    pub fn is_reachable(&self, id: VmId) -> bool {
        let is_cut = self.cut_links.iter().any(|(a, b)| *a == id || *b == id);
        let vm = self.vms.get(&id);
        vm.is_some_and(|vm| vm.node.is_some() && vm.paused_until <= self.now && !is_cut)
    }

    /// Whether a proposed membership change is still unprocessed by its node.
    pub fn has_queued_change(&self) -> bool {
        let change = |e: &Event| matches!(e, Event::ChangeMembers { .. });
        self.vms.values().any(|vm| vm.inbox.iter().any(change))
    }

    /// State of every running node, one per line.
    pub fn dump(&self) -> String {
        let line = |(_, node): (VmId, &Node)| node.dump().to_string() + "\n";
        self.nodes().map(line).collect()
    }

    /// Queues an event for a VM.
    pub fn queue_event(&mut self, id: VmId, event: Event) {
        if let Some(vm) = self.vms.get_mut(&id) {
            vm.inbox.push(event);
        }
    }

    /// Proposes an entry at a VM, with the proposal id as its data. Returns the id.
    pub fn propose(&mut self, id: VmId) -> u64 {
        let proposal_id = self.next_number();
        let data = Data::from(proposal_id.to_string());
        self.queue_event(id, Event::Propose(vec![Proposal { proposal_id, data }]));
        proposal_id
    }

    /// Proposes a membership change at a VM. Returns the proposal id.
    pub fn change(&mut self, id: VmId, change: MembershipChange) -> u64 {
        let proposal_id = self.next_number();
        self.queue_event(
            id,
            Event::ChangeMembers {
                proposal_id,
                change,
            },
        );
        proposal_id
    }

    pub(super) fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Advances the clock by `ms`. Stops at a violation.
    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end && self.checker.violation().is_none() {
            self.now += STEP_MS;
            self.deliver();
            for id in self.running_vms() {
                self.step_vm(id);
            }
            if self.options.manage_members && self.now.is_multiple_of(MEMBERSHIP_CHECK_MS) {
                self.manage_members();
            }
            self.check_lease();
        }
    }

    /// Runs until `done` holds, for at most `ms`. Returns whether it holds.
    pub fn run_until(&mut self, ms: u64, done: impl Fn(&Self) -> bool) -> bool {
        let end = self.now + ms;
        while self.now < end && self.checker.violation().is_none() && !done(self) {
            self.run(STEP_MS);
        }
        done(self)
    }

    /// Runs until a new proposal is committed and applied by all running VMs, for at most `ms`.
    /// Returns whether that happened.
    pub fn converge(&mut self, ms: u64) -> bool {
        const PROPOSAL_LIMIT_MS: u64 = 3_000;
        let end = self.now + ms;
        while self.now < end && self.checker.violation().is_none() {
            let Some(leader) = self.leader() else {
                self.run(STEP_MS);
                continue;
            };
            let proposal_id = self.propose(leader);
            let applied_by_all = |sim: &Self| {
                let index = sim.checker.committed_index(proposal_id).unwrap_or(u64::MAX);
                let mut running = sim.vms.values().filter(|vm| vm.node.is_some());
                running.all(|vm| vm.applied_index >= index)
            };
            if self.run_until(PROPOSAL_LIMIT_MS, applied_by_all) {
                return true;
            }
        }
        false
    }

    fn step_vm(&mut self, id: VmId) {
        let stalled = self.rng.random_range(0..100) < self.options.stall_percent;
        let now = self.now;
        let Some(vm) = self.vms.get_mut(&id) else {
            return;
        };
        if vm.paused_until > now {
            return;
        }
        if now.is_multiple_of(TICK_MS) {
            vm.inbox.push(Event::Tick);
        }
        for event in std::mem::take(&mut vm.inbox) {
            vm.step_node(event, Time(now));
        }
        if !stalled {
            self.perform_actions(id, usize::MAX);
        }
    }

    /// Checks that at most one leader holds the lease.
    fn check_lease(&mut self) {
        let now = Time(self.now);
        let leaders = self.nodes().filter(|(_, n)| n.role() == Role::Leader);
        let holders: Vec<VmId> = leaders
            .filter(|(_, n)| n.has_quorum_contact(now))
            .map(|(id, _)| id)
            .collect();
        self.checker.expect(holders.len() <= 1, || {
            format!("{holders:?} all hold the lease at {now:?}")
        });
    }
}
