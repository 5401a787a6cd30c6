//! Faults of the simulated domain, and the play of a sequence of them.

use zinnia_cell::Command;
use zinnia_cell::Liveness;
use zinnia_types::LeaseSettings;
use zinnia_types::Time;

use super::ELECTION_MS;
use super::LEADER;
use super::STEP_MS;
use super::SimDomain;
use super::domain;
use super::vm;

/// An event of a play.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The worker that runs the task is cut off for good; its task runs until its lease expires.
    LoseWorker,
    /// The worker that runs the task is cut off for this time in milliseconds.
    CutWorker(u64),
    /// The process of the worker that runs the task dies and starts again after this time.
    RebootWorker(u64),
    /// The VM that acts for the domain dies. It starts again after 20 s.
    LoseOwner,
    /// The leader of the log is lost; an election follows.
    LoseLeader,
    /// Another VM of the domain becomes acting owner, although no VM is lost, as when a VM drains.
    HandOver,
    /// The acting owner stays and begins another term, as after a snapshot.
    NewTerm,
}

impl Fault {
    /// Whether the fault is a loss, which the bound counts from.
    fn is_loss(self) -> bool {
        !matches!(self, Self::HandOver | Self::NewTerm)
    }
}

/// Time after which a lost VM runs again.
const VM_RESTART_MS: u64 = 20_000;
/// Time that the domain gets to settle before the first fault.
const SETTLE_MS: u64 = 60_000;

/// Longest time without the task after the last loss: a takeover of the acting owner with an
/// election, and the task lease of a lost worker, each with the margin.
pub(crate) fn restart_bound() -> u64 {
    let leases = LeaseSettings::default();
    let takeover = leases.vm_ms + leases.margin_ms + ELECTION_MS;
    takeover + leases.task_ms + leases.margin_ms
}

/// A change that follows a fault after some time.
#[derive(Clone, Copy, Debug)]
enum Repair {
    Reconnect(usize),
    Reboot(usize),
    StartVm(usize),
}

impl SimDomain {
    /// Plays the faults at their times after the domain has settled; returns the last moment, in
    /// milliseconds after the last loss, at which the task did not run beyond the bound.
    pub(crate) fn play(&mut self, faults: &[(u64, Fault)]) -> Option<u64> {
        let begin = self.now + SETTLE_MS;
        while self.now < begin {
            self.round();
        }
        assert!(self.runs(), "the task does not run before the first fault");
        let bound = restart_bound();
        let last = faults.iter().map(|f| f.0).max().unwrap_or(0);
        let end = begin + last + 3 * bound;
        let mut repairs: Vec<(u64, Repair)> = Vec::new();
        let mut last_loss = begin;
        let mut late = None;
        while self.now < end {
            let now = self.now;
            let due = |at: u64| begin + at > now - STEP_MS && begin + at <= now;
            for &(_, fault) in faults.iter().filter(|f| due(f.0)) {
                if fault.is_loss() {
                    last_loss = now;
                }
                repairs.extend(self.inject(fault));
            }
            for (_, repair) in repairs.extract_if(.., |r| r.0 <= now) {
                match repair {
                    Repair::Reconnect(n) => self.workers[n].cut = false,
                    Repair::Reboot(n) => self.workers[n].reboot(),
                    Repair::StartVm(n) => self.start_vm(n, 2_000 + n as u64 * 70_000),
                }
            }
            self.round();
            let since = self.now - last_loss;
            if since > bound && !self.runs() {
                late = Some(since);
            }
        }
        late
    }

    /// Whether the task runs on a worker that can be reached.
    fn runs(&self) -> bool {
        let mut workers = self.workers.iter();
        workers.any(|w| !w.cut && !w.running.is_empty())
    }

    fn inject(&mut self, fault: Fault) -> Option<(u64, Repair)> {
        let runner = self.workers.iter().position(|w| !w.running.is_empty());
        let acting = self.acting_vm();
        match fault {
            Fault::LoseWorker => {
                self.workers[runner?].cut = true;
                None
            }
            Fault::CutWorker(ms) => {
                self.workers[runner?].cut = true;
                Some((self.now + ms, Repair::Reconnect(runner?)))
            }
            Fault::RebootWorker(ms) => {
                let worker = &mut self.workers[runner?];
                worker.cut = true;
                worker.running.clear();
                Some((self.now + ms, Repair::Reboot(runner?)))
            }
            Fault::LoseOwner => {
                self.vms[acting?] = None;
                Some((self.now + VM_RESTART_MS, Repair::StartVm(acting?)))
            }
            Fault::LoseLeader => {
                self.election_end = self.now + ELECTION_MS;
                let voters = [vm(LEADER).id].into();
                let since = Time(self.election_end);
                self.liveness = Liveness::new(vm(LEADER).id, since, voters);
                None
            }
            Fault::HandOver | Fault::NewTerm => {
                let acting = acting?;
                let other = 1 - acting;
                let next = if fault == Fault::HandOver && self.vms[other].is_some() {
                    other
                } else {
                    acting
                };
                let from_term = self.owner_term();
                self.commit(Command::SetOwner {
                    domain: domain(),
                    vm: vm(next).id,
                    from_term,
                    silent: Some(self.silent_workers(LEADER)),
                });
                None
            }
        }
    }
}
