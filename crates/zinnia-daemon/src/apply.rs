//! Application of log entries to the cell state, and the resulting scheduler events.

use zinnia_cell::Command;
use zinnia_cell::Reply;
use zinnia_sched::Event;
use zinnia_types::DomainId;
use zinnia_types::JobId;
use zinnia_types::TeamId;
use zinnia_types::Time;

use crate::domain_scheduler::DomainScheduler;
use crate::engine::Engine;
use crate::journal::IsolatedJob;

impl Engine {
    /// Applies a command of the log to the cell and passes its effects to the schedulers.
    pub fn apply(&mut self, index: u64, command: &Command, now: Time) -> Reply {
        let reply = self.cell.apply(index, command);
        self.authority.record_applied(index);
        self.handle_reply(index, command, &reply, now);
        reply
    }

    /// Replaces the cell state by a snapshot. The schedulers are removed, and are created again
    /// under higher terms, since they have not seen the entries that the snapshot covers.
    pub fn install_snapshot(&mut self, index: u64, bytes: &[u8]) {
        if let Err(error) = self.cell.restore(bytes) {
            tracing::error!(step = "restore", %error, "snapshot cannot be restored");
            return;
        }
        self.snapshots += 1;
        self.schedulers.clear();
        self.authority.record_applied(index);
    }

    fn handle_reply(&mut self, index: u64, command: &Command, reply: &Reply, now: Time) {
        match (command, reply) {
            (Command::ApplyDocument { .. }, Reply::Document { repeated, stamp }) if !repeated => {
                tracing::info!(version = stamp.version, "document is in force");
                metrics::gauge!("zinnia_document_version").set(stamp.version as f64);
                self.for_each_scheduler(|scheduler, cell, commands| {
                    scheduler.update_document(cell, now, commands);
                });
            }
            (Command::SetOwner { domain, .. }, Reply::Owner(owner)) => {
                tracing::info!(%domain, vm = %owner.vm, term = owner.term, "acting owner changed");
                if self
                    .schedulers
                    .get(domain)
                    .is_some_and(|s| s.term != owner.term)
                {
                    self.stop_acting(*domain, now);
                }
            }
            (Command::Take { team, .. } | Command::Give { team, .. }, Reply::Held(_)) => {
                self.update_allotments(*team, now);
            }
            (Command::AcceptJob { job, .. }, Reply::Accepted { repeated: false }) => {
                self.submit_job(job.id, now);
            }
            (Command::Cancel { .. }, Reply::Cancelled { jobs }) => self.cancel_jobs(jobs, now),
            (Command::Rehome { job, .. }, Reply::Done) => self.submit_job(*job, now),
            (Command::Workers { add, leases, .. }, Reply::Done) => {
                if let Some(changes) = leases {
                    self.lease_changes_applied(index, changes, now);
                }
                self.trim_silence_times();
                self.for_each_scheduler(|scheduler, cell, commands| {
                    scheduler.update_remote_capacities(cell, now, commands);
                });
                for profile in add {
                    self.report_worker(profile.worker, now);
                }
            }
            _ => {}
        }
    }

    /// Removes the scheduler of a domain and releases the domain's workers.
    pub fn stop_acting(&mut self, domain: DomainId, now: Time) {
        self.schedulers.remove(&domain);
        let workers: Vec<_> = self
            .owned_workers
            .iter()
            .filter(|(_, w)| w.profile.domain == domain)
            .map(|(&worker, _)| worker)
            .collect();
        for worker in workers {
            self.release_worker(worker, now);
        }
    }

    fn for_each_scheduler(
        &mut self,
        mut update: impl FnMut(
            &mut DomainScheduler,
            &zinnia_cell::Cell,
            &mut Vec<crate::domain_scheduler::WorkerCommand>,
        ),
    ) {
        for scheduler in self.schedulers.values_mut() {
            update(scheduler, &self.cell, &mut self.worker_commands);
        }
    }

    /// Updates a team's allotment in every domain. After the team's limit was lowered, a change in
    /// one domain can decide whether the others may use theirs.
    fn update_allotments(&mut self, team: TeamId, now: Time) {
        self.for_each_scheduler(|scheduler, cell, commands| {
            scheduler.update_allotment(cell, team, now, commands);
        });
    }

    fn submit_job(&mut self, id: JobId, now: Time) {
        let Some(zinnia_cell::JobState::Live(live)) = self.cell.job(id) else {
            return;
        };
        if let Some(scheduler) = self.schedulers.get_mut(&live.job.domain) {
            // A job accepted in isolation may have ended here before it reached the log.
            if !scheduler.job_outcomes.contains_key(&id) {
                scheduler.submit(&live, false, now, &mut self.worker_commands);
            }
        }
    }

    fn cancel_jobs(&mut self, jobs: &[JobId], now: Time) {
        for scheduler in self.schedulers.values_mut() {
            let jobs = jobs.to_vec();
            scheduler.step(Event::Cancel { jobs }, now, &mut self.worker_commands);
        }
    }

    /// Creates the scheduler of a domain after this process became its acting owner in `term`.
    pub fn begin_acting(&mut self, domain: DomainId, term: u64, now: Time) {
        let owner = self.cell.owner(domain);
        let is_owner = owner.is_some_and(|o| o.vm == self.identity.vm.id && o.term == term);
        if !is_owner || self.schedulers.contains_key(&domain) {
            return;
        }
        let scheduler = DomainScheduler::new(domain, term, &self.cell, now, self.identity.seed);
        self.schedulers.insert(domain, scheduler);
        let isolated_jobs: Vec<_> = self
            .isolated_jobs
            .values()
            .map(IsolatedJob::to_live)
            .collect();
        if let Some(scheduler) = self.schedulers.get_mut(&domain) {
            for live in isolated_jobs.iter().filter(|l| l.job.domain == domain) {
                scheduler.submit(live, true, now, &mut self.worker_commands);
            }
        }
        metrics::counter!("zinnia_takeovers_total").increment(1);
        tracing::info!(%domain, term, "this VM is acting owner of the domain");
        let workers: Vec<_> = self
            .owned_workers
            .iter()
            .filter(|(_, w)| w.profile.domain == domain && !w.lease_expired)
            .map(|(&worker, _)| worker)
            .collect();
        for worker in workers {
            self.report_worker(worker, now);
        }
        self.refresh_authority(now);
    }

    /// Domains that the log assigns to this VM in a term for which this process has no scheduler,
    /// with that term. The process must become acting owner in a new term before it acts, since the
    /// attempt numbers and unrecorded results of an earlier process of this VM are lost.
    pub fn unclaimed_domains(&self) -> Vec<(DomainId, u64)> {
        let own_id = self.identity.vm.id;
        let assigned = self.cell.owners().filter(|(_, owner)| owner.vm == own_id);
        assigned
            .filter(|(domain, owner)| {
                self.schedulers
                    .get(domain)
                    .is_none_or(|s| s.term != owner.term)
            })
            .map(|(domain, owner)| (domain, owner.term))
            .collect()
    }
}
