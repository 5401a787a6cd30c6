//! Scheduling of a failure domain for which this VM is acting owner.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde_json::Value;
use serde_json::json;
use zinnia_cell::Cell;
use zinnia_cell::LiveJob;
use zinnia_cell::TaskEnd;
use zinnia_cell::TaskOutcome;
use zinnia_cell::escrow::PeakDemand;
use zinnia_replica::clock;
use zinnia_sched::Action;
use zinnia_sched::Event;
use zinnia_sched::Policy;
use zinnia_sched::Scheduler;
use zinnia_sched::Settings;
use zinnia_types::AttemptId;
use zinnia_types::DomainId;
use zinnia_types::JobId;
use zinnia_types::Outcome;
use zinnia_types::Resources;
use zinnia_types::TeamId;
use zinnia_types::Time;
use zinnia_types::WorkerId;
use zinnia_types::worker::AttemptEnd;

use crate::silence::Renewals;

/// A task end that must be recorded in the log before the worker may drop its report.
#[derive(Clone, Copy, Debug)]
pub struct UnrecordedEnd {
    /// Worker that keeps the report.
    pub worker: WorkerId,
    /// Attempt of the task that ended.
    pub attempt: AttemptId,
    /// The end as it is recorded in the log.
    pub end: TaskEnd,
}

/// A part of an allotment that this domain has proposed to return.
#[derive(Clone, Copy, Debug)]
pub struct PendingGive {
    /// The part that is returned.
    pub amount: Resources,
    /// The [`zinnia_cell::Allotment::log_index`] on which the proposal is based. Once the allotment
    /// has a later index, the proposal has been applied or can no longer be applied.
    pub from: u64,
}

/// The scheduler of a failure domain, with its results that are not in the log yet.
pub struct DomainScheduler {
    /// The failure domain.
    pub domain: DomainId,
    /// Term in which this process became acting owner.
    pub term: u64,
    /// When this process became acting owner.
    pub owned_since: Time,
    /// The scheduling state machine.
    pub inner: Scheduler,
    /// Whether the scheduler has the authority to start tasks.
    pub active: bool,
    /// Task ends that are not recorded in the log yet.
    pub task_ends: Vec<UnrecordedEnd>,
    /// Outcomes of jobs that are not recorded in the log yet.
    pub job_outcomes: BTreeMap<JobId, Outcome>,
    /// Dispatches of non-repeatable tasks that are not recorded in the log yet.
    pub dispatch_records: BTreeMap<JobId, BTreeSet<u32>>,
    /// Jobs to be moved to another domain, with the reason.
    pub releases: BTreeMap<JobId, String>,
    /// Demand of each team: its running and queued tasks.
    pub demand: BTreeMap<TeamId, Resources>,
    /// Highest recent demand of each team.
    pub peak_demand: BTreeMap<TeamId, PeakDemand>,
    /// Parts of allotments whose return is proposed; the scheduler no longer uses them.
    pub pending_gives: BTreeMap<TeamId, PendingGive>,
    /// The part of its allotment that each team may use while other domains have shortages.
    pub usable_amounts: BTreeMap<TeamId, Resources>,
    /// Jobs without running tasks, with the time since which they wait.
    pub waiting_since: BTreeMap<JobId, Time>,
    /// Workers in quarantine, with the time of their next probe.
    pub quarantined: BTreeMap<WorkerId, Time>,
    /// Workers of the domain at the takeover that have not reported and whose task leases may still
    /// be valid.
    pub unreported: BTreeSet<WorkerId>,
    /// Renewals of task leases in this term.
    pub renewals: Renewals,
}

/// A command to a worker that a scheduler asks for.
#[derive(Debug)]
pub struct WorkerCommand {
    /// Domain whose scheduler waits for the answer.
    pub domain: DomainId,
    /// Term of the acting owner.
    pub term: u64,
    /// The start, stop, throttle or tombstone to send.
    pub action: Action,
}

impl DomainScheduler {
    /// Creates the scheduler from the replicated state.
    pub fn new(domain: DomainId, term: u64, cell: &Cell, now: Time, seed: u64) -> Self {
        let settings = Settings {
            seed: seed ^ term,
            ..Settings::default()
        };
        let workers: Vec<_> = cell.workers(domain).cloned().collect();
        let mut scheduler = Self {
            domain,
            term,
            owned_since: now,
            inner: Scheduler::new(settings, Policy::default()),
            active: false,
            task_ends: Vec::new(),
            job_outcomes: BTreeMap::new(),
            dispatch_records: BTreeMap::new(),
            releases: BTreeMap::new(),
            demand: BTreeMap::new(),
            peak_demand: BTreeMap::new(),
            pending_gives: BTreeMap::new(),
            usable_amounts: BTreeMap::new(),
            waiting_since: BTreeMap::new(),
            quarantined: BTreeMap::new(),
            unreported: workers.iter().map(|p| p.worker).collect(),
            renewals: Renewals::default(),
        };
        let offset_ms = clock::wall_ms() - i64::try_from(now.0).unwrap_or(0);
        let mut commands = Vec::new();
        scheduler.step(Event::Clock { offset_ms }, now, &mut commands);
        scheduler.step(Event::Takeover { term, workers }, now, &mut commands);
        scheduler.update_document(cell, now, &mut commands);
        scheduler.update_remote_capacities(cell, now, &mut commands);
        for live in cell.live_jobs_in(domain) {
            scheduler.submit(&live, true, now, &mut commands);
        }
        debug_assert!(commands.is_empty(), "an inactive scheduler starts nothing");
        scheduler
    }

    /// Passes an event to the scheduler, and queues its actions for the log or as worker commands.
    pub fn step(&mut self, event: Event, now: Time, commands: &mut Vec<WorkerCommand>) {
        for action in self.inner.step(event, now) {
            self.handle_action(action, now, commands);
        }
    }

    fn handle_action(&mut self, action: Action, now: Time, commands: &mut Vec<WorkerCommand>) {
        match action {
            Action::TaskEnded {
                attempt,
                worker,
                end,
            } => self.task_ends.push(UnrecordedEnd {
                worker,
                attempt,
                end: TaskEnd {
                    job: attempt.job,
                    task: attempt.task,
                    finish: task_outcome(&end),
                },
            }),
            Action::JobEnded { job, outcome } => {
                self.job_outcomes.insert(job, outcome);
            }
            Action::RecordDispatch { job, tasks } => {
                self.dispatch_records.entry(job).or_default().extend(tasks);
            }
            Action::Release { job, reason } => {
                self.releases.insert(job, reason);
            }
            Action::Demand { team, amount } => {
                self.demand.insert(team, amount);
            }
            Action::Quarantine { worker, until } if until <= now => {
                tracing::info!(%worker, "quarantine is lifted");
                self.quarantined.remove(&worker);
            }
            Action::Quarantine { worker, until } => {
                metrics::counter!("zinnia_quarantines_total").increment(1);
                tracing::warn!(%worker, "worker is quarantined: the tasks that it starts fail");
                self.quarantined.insert(worker, until);
            }
            Action::Start { .. }
            | Action::Stop { .. }
            | Action::Throttle { .. }
            | Action::Refuse { .. } => commands.push(WorkerCommand {
                domain: self.domain,
                term: self.term,
                action,
            }),
        }
    }

    /// Passes the document in force and the teams' allotments to the scheduler.
    pub fn update_document(&mut self, cell: &Cell, now: Time, commands: &mut Vec<WorkerCommand>) {
        let Some((_, document)) = cell.document() else {
            return;
        };
        let document = Box::new(document.clone());
        let teams: Vec<_> = document.teams.iter().map(|t| t.name).collect();
        self.step(Event::Document { document }, now, commands);
        for team in teams {
            self.update_allotment(cell, team, now, commands);
        }
    }

    /// Passes the usable part of a team's allotment to the scheduler.
    pub fn update_allotment(
        &mut self,
        cell: &Cell,
        team: TeamId,
        now: Time,
        commands: &mut Vec<WorkerCommand>,
    ) {
        let log_index = cell.allotment(self.domain, team).log_index;
        if self
            .pending_gives
            .get(&team)
            .is_some_and(|g| g.from != log_index)
        {
            self.pending_gives.remove(&team);
        }
        let pending = self
            .pending_gives
            .get(&team)
            .map_or(Resources::ZERO, |g| g.amount);
        let mut amount = cell
            .usable_allotment(self.domain, team)
            .saturating_sub(&pending);
        if let Some(usable) = self.usable_amounts.get(&team) {
            amount = Resources::elementwise_min(&amount, usable);
        }
        self.step(Event::Allotment { team, amount }, now, commands);
    }

    /// Passes the distinct worker capacities of the other domains to the scheduler.
    pub fn update_remote_capacities(
        &mut self,
        cell: &Cell,
        now: Time,
        commands: &mut Vec<WorkerCommand>,
    ) {
        let domains: BTreeSet<_> = cell.owners().map(|(domain, _)| domain).collect();
        let others = domains.into_iter().filter(|d| *d != self.domain);
        let capacities: BTreeSet<_> = others
            .flat_map(|d| cell.workers(d).map(|p| p.capacity))
            .collect();
        let capacities = capacities.into_iter().collect();
        self.step(Event::RemoteCapacities { capacities }, now, commands);
    }

    /// Submits an accepted job of this domain to the scheduler. `recovered` tells that the job was
    /// accepted before the takeover, so that its tasks may be running.
    pub fn submit(
        &mut self,
        live: &LiveJob,
        recovered: bool,
        now: Time,
        commands: &mut Vec<WorkerCommand>,
    ) {
        let unrecorded = self.task_ends.iter().filter(|e| e.end.job == live.job.id);
        let unrecorded = unrecorded.map(|e| e.end.task);
        let done = live.ends.keys().copied().chain(unrecorded).collect();
        let dispatched = live.dispatched.keys().copied().collect();
        let event = Event::Submit {
            job: Box::new(live.job.clone()),
            done,
            dispatched,
            recovered,
        };
        self.step(event, now, commands);
        if live.cancelled {
            let jobs = vec![live.job.id];
            self.step(Event::Cancel { jobs }, now, commands);
        }
    }

    /// Whether any result waits to be proposed to the log.
    pub fn has_pending(&self) -> bool {
        !self.task_ends.is_empty()
            || !self.job_outcomes.is_empty()
            || !self.dispatch_records.is_empty()
            || !self.releases.is_empty()
    }

    /// State for the dump.
    pub fn dump(&self) -> Value {
        json!({
            "term": self.term,
            "active": self.active,
            "ends": self.task_ends.len(),
            "outcomes": self.job_outcomes.len(),
            "records": self.dispatch_records.len(),
            "releases": self.releases.len(),
            "unreported": self.unreported,
            "quarantine": self.quarantined,
            "wants": self.demand,
            "scheduler": self.inner.dump(),
        })
    }
}

fn task_outcome(end: &AttemptEnd) -> TaskOutcome {
    match end {
        AttemptEnd::Done { .. } => TaskOutcome::Done,
        AttemptEnd::Failed { .. } => TaskOutcome::Failed,
        AttemptEnd::Stopped { .. } => TaskOutcome::Cancelled,
        AttemptEnd::Fenced => TaskOutcome::Unknown,
    }
}
