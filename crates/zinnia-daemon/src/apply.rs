//! What follows from applied log entries.

use zinnia_cell::Command;
use zinnia_cell::Reply;
use zinnia_sched::Event;
use zinnia_types::DomainId;
use zinnia_types::JobId;
use zinnia_types::TeamId;
use zinnia_types::Time;

use crate::acting::Acting;
use crate::engine::Engine;
use crate::journal::Accepted;

impl Engine {
    /// Applies a command of the log and tells the schedulers.
    pub fn apply(&mut self, index: u64, command: &Command, now: Time) -> Reply {
        let reply = self.cell.apply(index, command);
        self.authority.applied(index);
        self.follow(command, &reply, now);
        reply
    }

    /// Replaces the state by a snapshot. The schedulers are started anew under higher terms, since the
    /// entries that the snapshot skips were not passed on to them.
    pub fn install(&mut self, index: u64, bytes: &[u8]) {
        if let Err(error) = self.cell.restore(bytes) {
            tracing::error!(step = "restore", %error, "snapshot is unusable");
            return;
        }
        self.acting.clear();
        self.authority.applied(index);
    }

    fn follow(&mut self, command: &Command, reply: &Reply, now: Time) {
        match (command, reply) {
            (Command::ApplyDocument { .. }, Reply::Document { repeated, stamp }) if !repeated => {
                tracing::info!(version = stamp.version, "document in force");
                metrics::gauge!("zinnia_document_version").set(stamp.version as f64);
                self.each_acting(|acting, cell, out| acting.document(cell, now, out));
            }
            (Command::SetOwner { domain, .. }, Reply::Owner(owner)) => {
                tracing::info!(%domain, vm = %owner.vm, term = owner.term, "acting owner changed");
                if self
                    .acting
                    .get(domain)
                    .is_some_and(|d| d.term != owner.term)
                {
                    self.stop_acting(*domain, now);
                }
            }
            (Command::Take { team, .. } | Command::Give { team, .. }, Reply::Held(_)) => {
                self.tell_allotments(*team, now);
            }
            (Command::AcceptJob { job, .. }, Reply::Accepted { repeated: false }) => {
                self.submit(job.id, now);
            }
            (Command::Cancel { .. }, Reply::Cancelled { jobs }) => self.cancel(jobs, now),
            (Command::Rehome { job, .. }, Reply::Done) => self.submit(*job, now),
            (Command::Workers { add, .. }, Reply::Done) => {
                self.each_acting(|acting, cell, out| acting.elsewhere(cell, now, out));
                for profile in add {
                    self.tell_scheduler(profile.worker, now);
                }
            }
            _ => {}
        }
    }

    /// Stops to act for a domain and gives up its workers.
    pub fn stop_acting(&mut self, domain: DomainId, now: Time) {
        self.acting.remove(&domain);
        let workers: Vec<_> = self
            .owned
            .iter()
            .filter(|(_, o)| o.profile.domain == domain)
            .map(|(&worker, _)| worker)
            .collect();
        for worker in workers {
            self.release(worker, now);
        }
    }

    fn each_acting(
        &mut self,
        mut f: impl FnMut(&mut Acting, &zinnia_cell::Cell, &mut Vec<crate::acting::Push>),
    ) {
        for acting in self.acting.values_mut() {
            f(acting, &self.cell, &mut self.pushes);
        }
    }

    /// A change in one domain can lift or impose the block of a lowered limit in all of them.
    fn tell_allotments(&mut self, team: TeamId, now: Time) {
        self.each_acting(|acting, cell, out| acting.allot(cell, team, now, out));
    }

    fn submit(&mut self, id: JobId, now: Time) {
        let Some(zinnia_cell::JobState::Live(live)) = self.cell.job(id) else {
            return;
        };
        if let Some(acting) = self.acting.get_mut(&live.job.domain) {
            // A job accepted in isolation may have ended here before the log held it.
            if !acting.outcomes.contains_key(&id) {
                acting.submit(&live, false, now, &mut self.pushes);
            }
        }
    }

    fn cancel(&mut self, jobs: &[JobId], now: Time) {
        for acting in self.acting.values_mut() {
            let jobs = jobs.to_vec();
            acting.step(Event::Cancel { jobs }, now, &mut self.pushes);
        }
    }

    /// Starts the scheduler of a domain after this process was made its acting owner in `term`.
    pub fn begin_acting(&mut self, domain: DomainId, term: u64, now: Time) {
        let owner = self.cell.owner(domain);
        let mine = owner.is_some_and(|o| o.vm == self.me.vm.id && o.term == term);
        if !mine || self.acting.contains_key(&domain) {
            return;
        }
        let acting = Acting::open(domain, term, &self.cell, now, self.me.seed);
        self.acting.insert(domain, acting);
        let local: Vec<_> = self.local.values().map(Accepted::live).collect();
        if let Some(acting) = self.acting.get_mut(&domain) {
            for live in local.iter().filter(|l| l.job.domain == domain) {
                acting.submit(live, true, now, &mut self.pushes);
            }
        }
        metrics::counter!("zinnia_takeovers_total").increment(1);
        tracing::info!(%domain, term, "this VM is acting owner");
        let workers: Vec<_> = self
            .owned
            .iter()
            .filter(|(_, o)| o.profile.domain == domain && !o.lapsed)
            .map(|(&worker, _)| worker)
            .collect();
        for worker in workers {
            self.tell_scheduler(worker, now);
        }
        self.refresh(now);
    }

    /// Domains that the log gives to this VM for which this process does not act yet, with the
    /// term in force. This process must be made acting owner anew before it acts: attempt numbers
    /// and records of an earlier process of this VM are lost.
    pub fn unclaimed(&self) -> Vec<(DomainId, u64)> {
        let me = self.me.vm.id;
        let mine = self.cell.owners().filter(|(_, owner)| owner.vm == me);
        mine.filter(|(domain, owner)| self.acting.get(domain).is_none_or(|d| d.term != owner.term))
            .map(|(domain, owner)| (domain, owner.term))
            .collect()
    }
}
