//! Workers that this VM owns: announcements, heartbeats and lapsed leases.

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
use zinnia_types::worker::End;
use zinnia_types::worker::Heartbeat;
use zinnia_types::worker::HeartbeatReply;
use zinnia_types::worker::Profile;
use zinnia_types::worker::Report;
use zinnia_types::worker::TaskState;

use crate::authority::Right;
use crate::engine::Engine;

/// One owned worker.
#[derive(Debug)]
pub struct Owned {
    /// What the worker is and has.
    pub profile: Profile,
    /// Epoch under which this VM owns it.
    pub epoch: Epoch,
    /// Last heartbeat or announcement that was answered; the worker's leases end no later than
    /// their length after this.
    pub renewed: Time,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Whether the scheduler was told that it is silent.
    pub silent: bool,
    /// Whether its task lease has lapsed.
    pub lapsed: bool,
    /// What the worker last reported about each attempt that it still keeps.
    pub tasks: BTreeMap<AttemptId, TaskState>,
    /// Held by the command that is on its way to the worker.
    pub lane: Arc<tokio::sync::Mutex<()>>,
    /// Attempts that it must refuse for good.
    pub refuse: BTreeSet<AttemptId>,
    /// Ends that are recorded, so that it may forget them.
    pub forget: BTreeSet<AttemptId>,
}

impl Owned {
    /// Whether something may be placed on it.
    pub fn is_usable(&self) -> bool {
        !self.leaving && !self.silent && !self.lapsed
    }

    /// State for a dump.
    pub fn dump(&self, now: Time) -> Value {
        json!({
            "addr": self.profile.addr,
            "epoch": self.epoch,
            "heard_ms": now.since(self.renewed),
            "leaving": self.leaving,
            "lapsed": self.lapsed,
            "tasks": self.tasks.keys().collect::<Vec<_>>(),
            "refuse": self.refuse,
        })
    }

    fn take(&mut self, reports: &[Report]) {
        for report in reports {
            if matches!(report.state, TaskState::Refused) {
                self.refuse.remove(&report.attempt);
                self.tasks.remove(&report.attempt);
            } else {
                self.tasks.insert(report.attempt, report.state.clone());
            }
        }
    }
}

impl Engine {
    /// Answers a worker that looks for an owner.
    ///
    /// # Errors
    ///
    /// Refuses while this VM may not act, so that the worker asks another one.
    pub fn announce(&mut self, msg: Announce, now: Time) -> Result<AnnounceReply, ErrorBody> {
        let domain = msg.profile.domain;
        if let Some(vm) = self.other_owner(domain)
            && !msg.unreachable.contains(&vm.http)
        {
            let addr = vm.http.clone();
            return Ok(AnnounceReply::Redirect { addr });
        }
        if self.draining {
            let text = "this VM is draining; announce at another one";
            return Err(ErrorBody::new(Code::Draining, "announce", text));
        }
        // Only the acting owner renews task leases: it restarts tasks elsewhere once a lease that it
        // did not renew has lapsed.
        if !self.acts_for(domain, now) {
            let text = format!("this VM is not acting owner of {domain} at present");
            return Err(ErrorBody::new(Code::Unavailable, "announce", text));
        }
        let worker = msg.profile.worker;
        if let Some(old) = self.owned.get(&worker)
            && old.profile.boot == msg.profile.boot
            && msg.epoch <= old.epoch
        {
            let text = "a newer announcement of this worker was answered";
            return Err(ErrorBody::new(Code::StaleEpoch, "announce", text));
        }
        let mut owned = Owned {
            profile: msg.profile,
            epoch: msg.epoch,
            renewed: now,
            leaving: msg.leaving,
            silent: false,
            lapsed: false,
            tasks: BTreeMap::new(),
            lane: Arc::default(),
            refuse: BTreeSet::new(),
            forget: BTreeSet::new(),
        };
        owned.take(&msg.reports);
        metrics::counter!("zinnia_announcements_total").increment(1);
        tracing::info!(%worker, %domain, epoch = owned.epoch.0, "worker is owned by this VM");
        self.owned.insert(worker, owned);
        self.endpoints.replace(worker, &self.owned);
        self.tell_scheduler(worker, now);
        Ok(AnnounceReply::Accepted {
            owner: self.me.vm.id,
            owner_ms: self.me.leases.owner_ms,
            task_ms: self.me.leases.task_ms,
            vms: self.addresses(domain),
            refuse: Vec::new(),
        })
    }

    /// Tells the scheduler of its domain everything about a worker.
    pub fn tell_scheduler(&mut self, worker: WorkerId, now: Time) {
        // A later acting owner must find the worker in the roster before anything runs on it, or it
        // would not wait for its report.
        if self.cell.worker(worker).is_none() {
            return;
        }
        let Some(owned) = self.owned.get(&worker) else {
            return;
        };
        let Some(acting) = self.acting.get_mut(&owned.profile.domain) else {
            return;
        };
        let reports: Vec<Report> = owned
            .tasks
            .iter()
            .map(|(&attempt, state)| Report {
                attempt,
                state: state.clone(),
            })
            .collect();
        acting.unreported.remove(&worker);
        let ends: Vec<AttemptId> = reports.iter().filter_map(ended).collect();
        let event = Event::OwnershipGranted {
            profile: owned.profile.clone(),
            epoch: owned.epoch,
            leaving: owned.leaving,
            reports,
        };
        acting.step(event, now, &mut self.pushes);
        self.forget_settled(worker, &ends);
    }

    /// Answers a heartbeat of an owned worker.
    ///
    /// # Errors
    ///
    /// Refuses with `stale_epoch` when this VM does not own the worker under that epoch or another
    /// VM should; the worker then announces itself again.
    pub fn heartbeat(&mut self, msg: &Heartbeat, now: Time) -> Result<HeartbeatReply, ErrorBody> {
        let stale = |text: &str| Err(ErrorBody::new(Code::StaleEpoch, "heartbeat", text));
        let worker = msg.worker;
        let Some(owned) = self.owned.get(&worker) else {
            return stale("this VM does not own the worker");
        };
        if owned.profile.boot != msg.boot || owned.epoch != msg.epoch {
            return stale("the worker's epoch or boot number is another one");
        }
        let domain = owned.profile.domain;
        if !self.acting.contains_key(&domain) || self.draining {
            self.release(worker, now);
            return stale("another VM should own the worker");
        }
        if self.right(now) == Right::Nothing {
            let text = "this VM has no right to act at present; leases are not renewed";
            return Err(ErrorBody::new(Code::Unavailable, "heartbeat", text));
        }
        metrics::counter!("zinnia_heartbeats_total").increment(1);
        let Some(owned) = self.owned.get_mut(&worker) else {
            return stale("this VM does not own the worker");
        };
        owned.renewed = now;
        owned.silent = false;
        let revived = std::mem::take(&mut owned.lapsed);
        let left = msg.leaving && !std::mem::replace(&mut owned.leaving, msg.leaving);
        owned.take(&msg.reports);
        let refuse = owned.refuse.iter().copied().collect();
        let forget = std::mem::take(&mut owned.forget);
        for attempt in &forget {
            owned.tasks.remove(attempt);
        }
        if !msg.reports.is_empty() || left {
            self.endpoints.replace(worker, &self.owned);
        }
        if revived {
            self.tell_scheduler(worker, now);
        } else if let Some(acting) = self.acting.get_mut(&domain) {
            let ends: Vec<AttemptId> = msg.reports.iter().filter_map(ended).collect();
            let event = Event::Heartbeat {
                worker,
                boot: msg.boot,
                reports: msg.reports.clone(),
            };
            acting.step(event, now, &mut self.pushes);
            if left {
                acting.step(Event::Leaving { worker }, now, &mut self.pushes);
            }
            self.forget_settled(worker, &ends);
        }
        Ok(HeartbeatReply {
            seq: msg.seq,
            renew: true,
            refuse,
            forget: forget.into_iter().collect(),
        })
    }

    /// Lets the worker forget ends that need no record in the log: those that the scheduler did not
    /// declare final, unless they went well and the task is still open in the cell.
    fn forget_settled(&mut self, worker: WorkerId, ends: &[AttemptId]) {
        let Some(owned) = self.owned.get_mut(&worker) else {
            return;
        };
        let Some(acting) = self.acting.get(&owned.profile.domain) else {
            return;
        };
        for &attempt in ends {
            let waits = acting.ends.iter().any(|e| e.attempt == attempt);
            let done = matches!(
                owned.tasks.get(&attempt),
                Some(TaskState::Ended {
                    end: End::Done { .. }
                })
            );
            let open = match self.cell.job(attempt.job) {
                Some(zinnia_cell::JobState::Live(live)) => !live.ends.contains_key(&attempt.task),
                _ => false,
            };
            let kept = waits || (done && open);
            if !kept {
                owned.forget.insert(attempt);
            }
        }
    }

    /// Gives a worker up.
    pub fn release(&mut self, worker: WorkerId, now: Time) {
        let Some(owned) = self.owned.remove(&worker) else {
            return;
        };
        // Calls that wait for a slot when a drain begins are still dispatched; they are few, since no
        // new ones are admitted, and a worker answers calls whoever owns it.
        if !self.draining {
            self.endpoints.remove(worker);
        }
        if let Some(acting) = self.acting.get_mut(&owned.profile.domain) {
            acting.step(Event::Unresponsive { worker }, now, &mut self.pushes);
        }
        tracing::info!(%worker, "worker is released");
    }

    /// Notes silent workers and lapsed task leases.
    pub fn lapse(&mut self, now: Time) {
        let leases = self.me.leases;
        let late = leases.owner_ms;
        let over = leases.task_ms + leases.margin_ms;
        for (&worker, owned) in &mut self.owned {
            let age = now.since(owned.renewed);
            if age >= late && !owned.silent {
                owned.silent = true;
                self.endpoints.remove(worker);
                metrics::counter!("zinnia_workers_silent_total").increment(1);
                if let Some(acting) = self.acting.get_mut(&owned.profile.domain) {
                    acting.step(Event::Unresponsive { worker }, now, &mut self.pushes);
                }
            }
            if age >= over && !owned.lapsed {
                owned.lapsed = true;
                owned.tasks.retain(|_, state| !is_running(state));
                tracing::warn!(%worker, "task lease of the worker lapsed");
                if let Some(acting) = self.acting.get_mut(&owned.profile.domain) {
                    acting.step(Event::LeaseExpired { worker }, now, &mut self.pushes);
                }
            }
        }
        // The last owner renewed nothing after its VM lease, which ended a margin before the takeover.
        for acting in self.acting.values_mut() {
            if now.since(acting.since) < over {
                continue;
            }
            for worker in std::mem::take(&mut acting.unreported) {
                acting.step(Event::LeaseExpired { worker }, now, &mut self.pushes);
            }
        }
    }

    /// Workers lost in the domains for which this VM acts: silent past their task lease, or never seen.
    pub fn lost_workers(&self, now: Time) -> Vec<WorkerId> {
        let leases = self.me.leases;
        let settled = |since: Time| now.since(since) >= leases.vm_ms + leases.task_ms;
        let acting = self.acting.values().filter(|d| settled(d.since));
        acting
            .flat_map(|d| self.cell.workers(d.domain))
            .map(|p| p.worker)
            .filter(|w| self.owned.get(w).is_none_or(|o| o.lapsed))
            .collect()
    }
}

fn ended(report: &Report) -> Option<AttemptId> {
    matches!(report.state, TaskState::Ended { .. }).then_some(report.attempt)
}

fn is_running(state: &TaskState) -> bool {
    matches!(state, TaskState::Running { .. })
}
