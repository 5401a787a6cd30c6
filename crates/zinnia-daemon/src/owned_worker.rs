//! The workers that this VM owns: announcements, heartbeats and task leases.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use serde_json::Value;
use serde_json::json;
use zinnia_sched::Event;
use zinnia_types::AttemptId;
use zinnia_types::Code;
use zinnia_types::Epoch;
use zinnia_types::ErrorBody;
use zinnia_types::Time;
use zinnia_types::WorkerId;
use zinnia_types::worker::Announce;
use zinnia_types::worker::AnnounceReply;
use zinnia_types::worker::AttemptEnd;
use zinnia_types::worker::AttemptReport;
use zinnia_types::worker::Heartbeat;
use zinnia_types::worker::HeartbeatReply;
use zinnia_types::worker::TaskState;
use zinnia_types::worker::WorkerProfile;

use crate::authority::AuthorityMode;
use crate::engine::Engine;

/// A worker that this VM owns.
#[derive(Debug)]
pub struct OwnedWorker {
    /// Identity, address and capacity of the worker.
    pub profile: WorkerProfile,
    /// Epoch under which this VM owns the worker.
    pub epoch: Epoch,
    /// Time of the last announcement or heartbeat that was answered. The worker's leases end no
    /// later than their duration after this time.
    pub renewed: Time,
    /// Whether the worker is leaving.
    pub leaving: bool,
    /// Whether the worker has sent no heartbeat for the owner lease.
    pub unresponsive: bool,
    /// Whether the worker's task lease has expired.
    pub lease_expired: bool,
    /// Last reported state of each attempt that the worker still keeps.
    pub tasks: BTreeMap<AttemptId, TaskState>,
    /// Held while a command is sent to the worker, so that commands go one at a time.
    pub command_lock: Arc<tokio::sync::Mutex<()>>,
    /// Attempts that the worker must never start.
    pub refused_attempts: BTreeSet<AttemptId>,
    /// Ended attempts whose reports the worker may drop, to be sent with the next heartbeat answer.
    pub acked_ends: BTreeSet<AttemptId>,
}

impl OwnedWorker {
    /// Whether tasks may be placed on the worker.
    pub fn is_usable(&self) -> bool {
        !self.leaving && !self.unresponsive && !self.lease_expired
    }

    /// State for the dump.
    pub fn dump(&self, now: Time) -> Value {
        json!({
            "addr": self.profile.addr,
            "epoch": self.epoch,
            "heard_ms": now.since(self.renewed),
            "leaving": self.leaving,
            "lapsed": self.lease_expired,
            "tasks": self.tasks.keys().collect::<Vec<_>>(),
            "refuse": self.refused_attempts,
        })
    }

    fn update_tasks(&mut self, reports: &[AttemptReport]) {
        for report in reports {
            if matches!(report.state, TaskState::Refused) {
                self.refused_attempts.remove(&report.attempt);
                self.tasks.remove(&report.attempt);
            } else {
                self.tasks.insert(report.attempt, report.state.clone());
            }
        }
    }
}

impl Engine {
    /// Answers the announcement of a worker that looks for an owner.
    ///
    /// # Errors
    ///
    /// Refuses while this VM may not act for the worker's domain, so that the worker asks another
    /// VM.
    pub fn announce(&mut self, message: Announce, now: Time) -> Result<AnnounceReply, ErrorBody> {
        let domain = message.profile.domain;
        if let Some(vm) = self.other_owner(domain)
            && !message.unreachable.contains(&vm.http)
        {
            let addr = vm.http.clone();
            return Ok(AnnounceReply::Redirect { addr });
        }
        if self.draining {
            let text = "this VM is draining; announce the worker to another VM";
            return Err(ErrorBody::new(Code::Draining, "announce", text));
        }
        // Only the acting owner renews task leases, since it restarts the tasks of a worker
        // elsewhere once a lease that it did not renew has expired.
        if !self.may_act_for(domain, now) {
            let text = format!("this VM is not acting owner of {domain} at present");
            return Err(ErrorBody::new(Code::Unavailable, "announce", text));
        }
        let worker = message.profile.worker;
        if let Some(known) = self.owned_workers.get(&worker)
            && known.profile.boot == message.profile.boot
            && message.epoch <= known.epoch
        {
            let text = "a newer announcement of this worker was answered already";
            return Err(ErrorBody::new(Code::StaleEpoch, "announce", text));
        }
        if !self.note_renewal(domain, worker, now) {
            return Err(renewal_refused("announce"));
        }
        let mut owned = OwnedWorker {
            profile: message.profile,
            epoch: message.epoch,
            renewed: now,
            leaving: message.leaving,
            unresponsive: false,
            lease_expired: false,
            tasks: BTreeMap::new(),
            command_lock: Arc::default(),
            refused_attempts: BTreeSet::new(),
            acked_ends: BTreeSet::new(),
        };
        owned.update_tasks(&message.reports);
        metrics::counter!("zinnia_announcements_total").increment(1);
        tracing::info!(%worker, %domain, epoch = owned.epoch.0, "worker is owned by this VM");
        self.owned_workers.insert(worker, owned);
        self.endpoints.update_worker(worker, &self.owned_workers);
        self.report_worker(worker, now);
        Ok(AnnounceReply::Accepted {
            owner: self.identity.vm.id,
            owner_ms: self.identity.leases.owner_ms,
            task_ms: self.identity.leases.task_ms,
            vms: self.http_addresses(domain),
            refuse: Vec::new(),
        })
    }

    /// Reports a worker and the state of all its attempts to the scheduler of its domain.
    pub fn report_worker(&mut self, worker: WorkerId, now: Time) {
        // Nothing may run on a worker before it is registered in the cell, since a later acting
        // owner waits for the reports of the registered workers only.
        if self.cell.worker(worker).is_none() {
            return;
        }
        let Some(owned) = self.owned_workers.get(&worker) else {
            return;
        };
        let Some(scheduler) = self.schedulers.get_mut(&owned.profile.domain) else {
            return;
        };
        let reports: Vec<AttemptReport> = owned
            .tasks
            .iter()
            .map(|(&attempt, state)| AttemptReport {
                attempt,
                state: state.clone(),
            })
            .collect();
        scheduler.unreported.remove(&worker);
        let ends: Vec<AttemptId> = reports.iter().filter_map(ended_attempt).collect();
        let event = Event::OwnershipGranted {
            profile: owned.profile.clone(),
            epoch: owned.epoch,
            leaving: owned.leaving,
            reports,
        };
        scheduler.step(event, now, &mut self.worker_commands);
        self.ack_unrecorded_ends(worker, &ends);
    }

    /// Answers a heartbeat of an owned worker.
    ///
    /// # Errors
    ///
    /// Refuses with `stale_epoch` when this VM does not own the worker under that epoch, or when
    /// another VM should own it. The worker then announces itself again.
    pub fn heartbeat(
        &mut self,
        message: &Heartbeat,
        now: Time,
    ) -> Result<HeartbeatReply, ErrorBody> {
        let stale = |text: &str| Err(ErrorBody::new(Code::StaleEpoch, "heartbeat", text));
        let worker = message.worker;
        let Some(owned) = self.owned_workers.get(&worker) else {
            return stale("this VM does not own the worker");
        };
        if owned.profile.boot != message.boot || owned.epoch != message.epoch {
            return stale("the worker's epoch or boot number differs");
        }
        let domain = owned.profile.domain;
        if !self.schedulers.contains_key(&domain) || self.draining {
            self.release_worker(worker, now);
            return stale("another VM should own the worker");
        }
        if self.authority_mode(now) == AuthorityMode::Inactive {
            let text = "this VM has no authority to act at present; leases are not renewed";
            return Err(ErrorBody::new(Code::Unavailable, "heartbeat", text));
        }
        if !self.note_renewal(domain, worker, now) {
            return Err(renewal_refused("heartbeat"));
        }
        metrics::counter!("zinnia_heartbeats_total").increment(1);
        let Some(owned) = self.owned_workers.get_mut(&worker) else {
            return stale("this VM does not own the worker");
        };
        owned.renewed = now;
        owned.unresponsive = false;
        let was_expired = std::mem::take(&mut owned.lease_expired);
        let leaving_began =
            message.leaving && !std::mem::replace(&mut owned.leaving, message.leaving);
        owned.update_tasks(&message.reports);
        let refuse = owned.refused_attempts.iter().copied().collect();
        let forget = std::mem::take(&mut owned.acked_ends);
        for attempt in &forget {
            owned.tasks.remove(attempt);
        }
        if !message.reports.is_empty() || leaving_began {
            self.endpoints.update_worker(worker, &self.owned_workers);
        }
        if was_expired {
            self.report_worker(worker, now);
        } else if let Some(scheduler) = self.schedulers.get_mut(&domain) {
            let ends: Vec<AttemptId> = message.reports.iter().filter_map(ended_attempt).collect();
            let event = Event::Heartbeat {
                worker,
                boot: message.boot,
                reports: message.reports.clone(),
            };
            scheduler.step(event, now, &mut self.worker_commands);
            if leaving_began {
                scheduler.step(Event::Leaving { worker }, now, &mut self.worker_commands);
            }
            self.ack_unrecorded_ends(worker, &ends);
        }
        Ok(HeartbeatReply {
            seq: message.seq,
            renew: true,
            refuse,
            forget: forget.into_iter().collect(),
        })
    }

    /// Acknowledges reported ends that need no record in the log: those that the scheduler did not
    /// declare final. The success of a task that has no end in the log yet is not acknowledged.
    fn ack_unrecorded_ends(&mut self, worker: WorkerId, ends: &[AttemptId]) {
        let Some(owned) = self.owned_workers.get_mut(&worker) else {
            return;
        };
        let Some(scheduler) = self.schedulers.get(&owned.profile.domain) else {
            return;
        };
        for &attempt in ends {
            let unrecorded = scheduler.task_ends.iter().any(|e| e.attempt == attempt);
            let done = matches!(
                owned.tasks.get(&attempt),
                Some(TaskState::Ended {
                    end: AttemptEnd::Done { .. }
                })
            );
            let open = match self.cell.job(attempt.job) {
                Some(zinnia_cell::JobState::Live(live)) => !live.ends.contains_key(&attempt.task),
                _ => false,
            };
            let needs_record = unrecorded || (done && open);
            if !needs_record {
                owned.acked_ends.insert(attempt);
            }
        }
    }

    /// Stops owning a worker.
    pub fn release_worker(&mut self, worker: WorkerId, now: Time) {
        let Some(owned) = self.owned_workers.remove(&worker) else {
            return;
        };
        // A draining VM keeps the endpoints, so that calls that already wait for a slot are still
        // dispatched. They are few, since no new calls are admitted, and a worker answers calls
        // regardless of its owner.
        if !self.draining {
            self.endpoints.remove_worker(worker);
        }
        if let Some(scheduler) = self.schedulers.get_mut(&owned.profile.domain) {
            scheduler.step(
                Event::Unresponsive { worker },
                now,
                &mut self.worker_commands,
            );
        }
        tracing::info!(%worker, "worker is released");
    }

    /// Marks workers without recent heartbeats as unresponsive, and task leases that have run out
    /// as expired.
    pub fn check_worker_leases(&mut self, now: Time) {
        let leases = self.identity.leases;
        let unresponsive_after = leases.owner_ms;
        let expired_after = leases.task_ms + leases.margin_ms;
        for (&worker, owned) in &mut self.owned_workers {
            let age = now.since(owned.renewed);
            if age >= unresponsive_after && !owned.unresponsive {
                owned.unresponsive = true;
                self.endpoints.remove_worker(worker);
                metrics::counter!("zinnia_workers_silent_total").increment(1);
                if let Some(scheduler) = self.schedulers.get_mut(&owned.profile.domain) {
                    scheduler.step(
                        Event::Unresponsive { worker },
                        now,
                        &mut self.worker_commands,
                    );
                }
            }
            if age >= expired_after && !owned.lease_expired {
                owned.lease_expired = true;
                owned.tasks.retain(|_, state| !is_running(state));
                tracing::warn!(%worker, "task lease of the worker expired");
                if let Some(scheduler) = self.schedulers.get_mut(&owned.profile.domain) {
                    scheduler.step(
                        Event::LeaseExpired { worker },
                        now,
                        &mut self.worker_commands,
                    );
                }
            }
        }
        self.expire_unreported(expired_after, now);
    }

    /// Marks the task leases of workers that have not reported since the takeover as expired, once
    /// they have run out.
    fn expire_unreported(&mut self, expired_after: u64, now: Time) {
        let mut expired = Vec::new();
        for scheduler in self.schedulers.values() {
            let is_expired =
                |&w: &WorkerId| now.since(self.silent_since(scheduler, w)) >= expired_after;
            let workers = scheduler.unreported.iter().copied().filter(is_expired);
            expired.extend(workers.map(|w| (scheduler.domain, w)));
        }
        for (domain, worker) in expired {
            if let Some(scheduler) = self.schedulers.get_mut(&domain) {
                scheduler.unreported.remove(&worker);
                scheduler.step(
                    Event::LeaseExpired { worker },
                    now,
                    &mut self.worker_commands,
                );
            }
        }
    }

    /// Lost workers of the domains for which this VM is acting owner: those whose task lease has
    /// expired, and those that never announced themselves here.
    pub fn lost_workers(&self, now: Time) -> Vec<WorkerId> {
        let leases = self.identity.leases;
        let is_settled = |since: Time| now.since(since) >= leases.vm_ms + leases.task_ms;
        let settled = self
            .schedulers
            .values()
            .filter(|s| is_settled(s.owned_since));
        settled
            .flat_map(|s| self.cell.workers(s.domain))
            .map(|p| p.worker)
            .filter(|w| self.owned_workers.get(w).is_none_or(|o| o.lease_expired))
            .collect()
    }
}

fn renewal_refused(step: &str) -> ErrorBody {
    let text = "the worker counts as silent until the log resumes the renewal of its leases";
    ErrorBody::new(Code::Unavailable, step, text)
}

fn ended_attempt(report: &AttemptReport) -> Option<AttemptId> {
    matches!(report.state, TaskState::Ended { .. }).then_some(report.attempt)
}

fn is_running(state: &TaskState) -> bool {
    matches!(state, TaskState::Running { .. })
}
