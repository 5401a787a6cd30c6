//! Search for a VM that accepts ownership of the worker.

use std::collections::VecDeque;

use zinnia_types::Time;

use crate::SearchSettings;
use crate::jitter::Jitter;

/// State of the search, which asks the known VMs one by one in rounds.
#[derive(Clone, Debug)]
pub(crate) struct OwnerSearch {
    /// Addresses of the known VMs, those of the worker's failure domain first.
    vms: Vec<String>,
    /// VMs left in this round.
    queue: VecDeque<String>,
    round: u32,
    redirects: u32,
    /// Earliest time of the next announcement.
    pub(crate) not_before: Time,
    /// VMs that have not answered since the worker last had an owner.
    pub(crate) unreachable: Vec<String>,
}

impl OwnerSearch {
    pub(crate) fn new(settings: &SearchSettings) -> Self {
        Self {
            vms: settings.vms.clone(),
            queue: settings.vms.iter().cloned().collect(),
            round: 0,
            redirects: 0,
            not_before: Time(0),
            unreachable: Vec::new(),
        }
    }

    /// Replaces the known VMs by the cell's list, followed by the VMs from the settings.
    pub(crate) fn set_vms(&mut self, settings: &SearchSettings, vms: Vec<String>) {
        if vms.is_empty() {
            return;
        }
        self.vms = vms;
        for addr in &settings.vms {
            if !self.vms.contains(addr) {
                self.vms.push(addr.clone());
            }
        }
    }

    /// Resets the search after a VM has accepted.
    pub(crate) fn on_owner_found(&mut self) {
        self.round = 0;
        self.unreachable.clear();
    }

    /// Starts a first round over all VMs at `start`. `unreachable` is an owner that stopped
    /// answering.
    pub(crate) fn restart(&mut self, unreachable: Option<&str>, start: Time) {
        self.round = 0;
        self.not_before = start;
        if let Some(addr) = unreachable {
            self.mark_unreachable(addr);
        }
        self.refill();
    }

    fn refill(&mut self) {
        self.redirects = 0;
        // Unreachable VMs are asked last because each may cost a timeout.
        let (unreachable, others): (Vec<_>, Vec<_>) = self
            .vms
            .iter()
            .cloned()
            .partition(|addr| self.unreachable.contains(addr));
        self.queue = others.into_iter().chain(unreachable).collect();
    }

    /// Takes the next VM to ask, from a new round if the current one is over.
    pub(crate) fn next(&mut self) -> Option<String> {
        if self.queue.is_empty() {
            self.refill();
        }
        self.queue.pop_front()
    }

    /// Whether all VMs of this round were asked.
    pub(crate) fn is_round_over(&self) -> bool {
        self.queue.is_empty()
    }

    /// Delays the next round by an exponential backoff.
    pub(crate) fn back_off(&mut self, settings: &SearchSettings, jitter: &mut Jitter, now: Time) {
        let delay = jitter.backoff(self.round, settings.backoff_ms, settings.max_backoff_ms);
        self.not_before = now.after(delay);
        self.round = self.round.saturating_add(1);
    }

    /// Notes that the VM at `addr` did not answer.
    pub(crate) fn mark_unreachable(&mut self, addr: &str) {
        if !self.unreachable.iter().any(|a| a == addr) {
            self.unreachable.push(addr.to_owned());
        }
    }

    /// Notes that the VM at `addr` answered.
    pub(crate) fn mark_reachable(&mut self, addr: &str) {
        self.unreachable.retain(|a| a != addr);
    }

    /// Follows a redirect: asks `to` next and then `from` again.
    ///
    /// `from` may accept once the announcement lists `to` as unreachable. If the last announcement
    /// already did, `from` has redirected all the same, and the redirect is ignored.
    pub(crate) fn redirect(&mut self, settings: &SearchSettings, from: &str, to: String) {
        let listed = self.unreachable.contains(&to);
        if listed || to == from || self.redirects >= settings.max_redirects {
            return;
        }
        self.redirects += 1;
        self.queue.retain(|addr| *addr != to && addr != from);
        self.queue.push_front(from.to_owned());
        self.queue.push_front(to);
    }
}
