//! Changes of the renewed leases: their proposals, and announcements that wait for them.

use zinnia_agent::Event;
use zinnia_agent::Message;
use zinnia_agent::SendOutcome;
use zinnia_types::Time;
use zinnia_types::worker::Announce;

use super::SimDomain;
use super::domain;

/// Longest time for which a VM holds an announcement, in milliseconds.
const HOLD_MS: u64 = 600;
/// Longest time until a proposal of changes is committed, in milliseconds. It exceeds the interval
/// of retries, so that proposals also overtake each other.
const MAX_DELAY_MS: u64 = 1_500;

/// An announcement that a VM holds until the log resumes the renewal of the worker's leases.
pub(super) struct HeldAnnouncement {
    worker: usize,
    target: usize,
    message_id: u64,
    announce: Announce,
    until: u64,
}

impl SimDomain {
    /// Proposals are lost during an election, otherwise committed after a random delay.
    pub(super) fn propose_lease_changes(&mut self) {
        let (now, in_election) = (self.now, self.now < self.election_end);
        if !in_election {
            let due: Vec<_> = self.proposed.extract_if(.., |(at, _)| *at <= now).collect();
            for (_, command) in due {
                self.commit(command);
            }
        }
        for n in 0..self.vms.len() {
            let Some(sim_vm) = &mut self.vms[n] else {
                continue;
            };
            let commands = sim_vm.engine.lease_changes(Time(sim_vm.clock_ms + now));
            for command in commands {
                let random = self.random(MAX_DELAY_MS);
                let delay = self.delay_ms.unwrap_or(random);
                self.proposed.push((now + delay, command));
            }
        }
    }

    /// A number below `limit`, mostly a small one.
    fn random(&mut self, limit: u64) -> u64 {
        self.rng = self
            .rng
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        let number = self.rng >> 33;
        if number.is_multiple_of(4) {
            number / 4 % limit
        } else {
            0
        }
    }

    /// Holds the announcement of a worker that the target counts as silent; returns whether it is
    /// held.
    pub(super) fn hold_announcement(
        &mut self,
        worker: usize,
        target: usize,
        message_id: u64,
        announce: &Announce,
    ) -> bool {
        let until = self.now + HOLD_MS;
        if !self.is_resuming(worker, target, announce) {
            return false;
        }
        self.announcements.push(HeldAnnouncement {
            worker,
            target,
            message_id,
            announce: announce.clone(),
            until,
        });
        true
    }

    /// Whether the target refuses the announcement until the log resumes the worker's renewal.
    fn is_resuming(&mut self, worker: usize, target: usize, announce: &Announce) -> bool {
        let Some(sim_vm) = &self.vms[target] else {
            return false;
        };
        let engine = &sim_vm.engine;
        let now = Time(sim_vm.clock_ms + self.now);
        if self.workers[worker].cut || !engine.may_act_for(domain(), now) {
            return false;
        }
        let name = announce.profile.worker;
        let silent = engine.cell.silence(domain(), name).is_some();
        if silent || engine.awaits_resumption(domain(), name) {
            // The refused announcement requests the entry.
            let message = Message::Announce(Box::new(announce.clone()));
            let outcome = self.answer(worker, target, message);
            return matches!(outcome, Some(SendOutcome::Error(_)));
        }
        false
    }

    /// Answers held announcements that can be accepted, or that have waited long enough.
    pub(super) fn retry_announcements(&mut self) {
        for held in std::mem::take(&mut self.announcements) {
            let (n, target) = (held.worker, held.target);
            if self.now < held.until && self.is_resuming(n, target, &held.announce) {
                self.announcements.push(held);
                continue;
            }
            let message = Message::Announce(Box::new(held.announce));
            let Some(outcome) = self.answer(n, target, message) else {
                continue;
            };
            let event = Event::SendCompleted {
                message_id: held.message_id,
                outcome,
            };
            let actions = self.workers[n].step(event, self.now);
            self.deliver(n, actions);
        }
    }
}
