//! Silent workers: when the acting owner stops renewing their task leases, and from when a later
//! acting owner counts their end.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use zinnia_cell::Cell;
use zinnia_cell::Command;
use zinnia_cell::LeaseChanges;
use zinnia_types::DomainId;
use zinnia_types::LeaseSettings;
use zinnia_types::Time;
use zinnia_types::WorkerId;

use crate::authority::AuthorityMode;
use crate::domain_scheduler::DomainScheduler;
use crate::engine::Engine;
use crate::shared::Shared;

/// Time in milliseconds that workers get to announce themselves to a new acting owner, beyond the
/// owner lease.
const ANNOUNCE_MS: u64 = 2_000;
/// Interval in milliseconds after which changes are proposed again if they were not applied.
const RETRY_MS: u64 = 500;

/// Renewals of task leases in the present term of an acting owner.
#[derive(Debug, Default)]
pub struct Renewals {
    /// When this process last renewed the task leases of each worker.
    last: BTreeMap<WorkerId, Time>,
    /// Workers that a proposal which may still be applied declares silent.
    stopping: BTreeSet<WorkerId>,
    /// Silent workers that have reported and wait for the entry that resumes their renewal.
    resuming: BTreeSet<WorkerId>,
    /// When the renewal of workers that have not reported since was resumed.
    resumed: BTreeMap<WorkerId, Time>,
    /// When changes were last proposed; `None` once an entry has been applied.
    proposed: Option<Time>,
}

/// Proposes which task leases of silent workers are renewed no more, or are renewed again.
pub(crate) async fn propose_lease_changes(shared: &Arc<Shared>) {
    let commands = shared.with_engine(|engine, now| engine.lease_changes(now));
    for command in commands {
        let reply = shared.propose(&command).await;
        tracing::info!(step = "leases", ?command, ?reply, "proposed");
    }
}

impl DomainScheduler {
    /// Since when no task lease of the worker has been renewed, as far as this process knows.
    fn last_renewal(&self, worker: WorkerId) -> Time {
        let last = self.renewals.last.get(&worker).copied();
        // The previous acting owner renewed no lease after its own VM lease had ended, which was at
        // least a margin before the takeover.
        last.map_or(self.owned_since, |at| at.max(self.owned_since))
    }

    /// Workers that have been silent for the owner lease and are not declared silent yet, with the
    /// time since the last renewal.
    fn newly_silent(
        &self,
        cell: &Cell,
        now: Time,
        leases: &LeaseSettings,
    ) -> BTreeMap<WorkerId, u64> {
        let logged = |worker| cell.silence(self.domain, worker).is_some();
        let silent = cell.workers(self.domain).filter_map(|profile| {
            let worker = profile.worker;
            let renewed = self.last_renewal(worker);
            let age = now.since(renewed);
            let limit = match self.renewals.last.get(&worker) {
                Some(_) => leases.owner_ms,
                None => leases.owner_ms + ANNOUNCE_MS,
            };
            // A resumed worker gets the same time to report again.
            let resumed = self.renewals.resumed.get(&worker).copied();
            let quiet = now.since(renewed.max(resumed.unwrap_or(renewed)));
            let is_due = quiet >= limit && !logged(worker);
            // After this time the lease has expired whatever its age, and a longer one would count
            // the drift of this VM's clock.
            let age = age.min(leases.task_ms + leases.margin_ms);
            (is_due && !self.renewals.resuming.contains(&worker)).then_some((worker, age))
        });
        silent.collect()
    }
}

impl Engine {
    /// Notes the renewal of a worker's task leases, or refuses it while the worker counts as
    /// silent. The renewal is then resumed by an entry in the log, since a later acting owner would
    /// restart the worker's tasks while their lease lasts.
    pub(crate) fn note_renewal(&mut self, domain: DomainId, worker: WorkerId, now: Time) -> bool {
        let Some(scheduler) = self.schedulers.get_mut(&domain) else {
            return false;
        };
        let renewals = &mut scheduler.renewals;
        if renewals.stopping.contains(&worker) || self.cell.silence(domain, worker).is_some() {
            renewals.resuming.insert(worker);
            return false;
        }
        renewals.last.insert(worker, now);
        renewals.resumed.remove(&worker);
        true
    }

    /// Whether the log is about to resume the renewal of a worker's task leases.
    pub fn awaits_resumption(&self, domain: DomainId, worker: WorkerId) -> bool {
        let scheduler = self.schedulers.get(&domain);
        scheduler.is_some_and(|s| s.renewals.resuming.contains(&worker))
    }

    /// Changes of the renewed leases that this VM should propose now. From this call on, the leases
    /// of the workers that they declare silent are not renewed.
    pub fn lease_changes(&mut self, now: Time) -> Vec<Command> {
        if self.authority_mode(now) != AuthorityMode::Quorum || self.draining {
            return Vec::new();
        }
        let leases = self.identity.leases;
        let mut commands = Vec::new();
        for scheduler in self.schedulers.values_mut() {
            let Some(from) = self.cell.lease_index(scheduler.domain) else {
                continue;
            };
            let proposed = scheduler.renewals.proposed;
            if proposed.is_some_and(|at| now.since(at) < RETRY_MS) {
                continue;
            }
            let stopped = scheduler.newly_silent(&self.cell, now, &leases);
            let resumed: Vec<_> = scheduler.renewals.resuming.iter().copied().collect();
            if stopped.is_empty() && resumed.is_empty() {
                continue;
            }
            scheduler.renewals.stopping.extend(stopped.keys());
            scheduler.renewals.proposed = Some(now);
            commands.push(Command::Workers {
                add: Vec::new(),
                remove: Vec::new(),
                leases: Some(LeaseChanges {
                    domain: scheduler.domain,
                    term: scheduler.term,
                    from,
                    stopped,
                    resumed,
                }),
            });
        }
        commands
    }

    /// Processes applied changes of the renewed leases.
    pub(crate) fn lease_changes_applied(&mut self, index: u64, changes: &LeaseChanges, now: Time) {
        if !changes.stopped.is_empty() {
            self.silence_times.insert(index, now);
        }
        let Some(scheduler) = self.schedulers.get_mut(&changes.domain) else {
            return;
        };
        if scheduler.term != changes.term {
            return;
        }
        // Proposals made before this entry are based on an older index and are refused from now on.
        scheduler.renewals.stopping.clear();
        scheduler.renewals.proposed = None;
        for worker in &changes.resumed {
            scheduler.renewals.resuming.remove(worker);
            scheduler.renewals.resumed.insert(*worker, now);
        }
    }

    /// Time before which no acting owner has renewed the task leases of a worker that has not
    /// reported since the takeover.
    ///
    /// An entry is applied after it was proposed, so the last renewal was before the time of its
    /// application, by the age that the entry tells.
    pub(crate) fn silent_since(&self, scheduler: &DomainScheduler, worker: WorkerId) -> Time {
        let logged = self.cell.silence(scheduler.domain, worker);
        let since = logged.and_then(|silence| {
            let applied = self.silence_times.get(&silence.index)?;
            Some(Time(applied.0.saturating_sub(silence.age_ms)))
        });
        since.map_or(scheduler.owned_since, |at| at.min(scheduler.owned_since))
    }

    /// Forgets the times of entries that no silent worker refers to any more.
    pub(crate) fn trim_silence_times(&mut self) {
        let workers = self.schedulers.keys().copied();
        let domains: BTreeSet<DomainId> =
            workers.chain(self.cell.owners().map(|(d, _)| d)).collect();
        let cell = &self.cell;
        let silences = domains.iter().flat_map(|&domain| {
            let workers = cell.workers(domain);
            workers.filter_map(move |p| cell.silence(domain, p.worker))
        });
        let used: BTreeSet<u64> = silences.map(|s| s.index).collect();
        self.silence_times.retain(|index, _| used.contains(index));
    }
}
