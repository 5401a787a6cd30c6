//! Scheduling for one failure domain for which this VM is acting owner.

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
use zinnia_types::worker::End;

/// An end that the log has to record before the worker may forget it.
#[derive(Clone, Copy, Debug)]
pub struct FinalEnd {
    /// Worker that holds the report.
    pub worker: WorkerId,
    /// The attempt.
    pub attempt: AttemptId,
    /// What the log records.
    pub end: TaskEnd,
}

/// A part of an allotment that is being given back.
#[derive(Clone, Copy, Debug)]
pub struct PendingGive {
    /// How much.
    pub amount: Resources,
    /// [`zinnia_cell::Allotment::log_index`] on which the proposal is based. Once the sequence has
    /// moved on, the proposal is either applied or refused for good.
    pub from: u64,
}

/// The scheduler of one failure domain and what it waits for from the log.
pub struct Acting {
    /// The failure domain.
    pub domain: DomainId,
    /// Term in which this process was made acting owner.
    pub term: u64,
    /// When this process became acting owner.
    pub since: Time,
    /// The scheduler.
    pub sched: Scheduler,
    /// Whether the scheduler may start tasks.
    pub active: bool,
    /// Task ends not yet recorded.
    pub ends: Vec<FinalEnd>,
    /// Job ends not yet recorded.
    pub outcomes: BTreeMap<JobId, Outcome>,
    /// Dispatches not yet recorded.
    pub records: BTreeMap<JobId, BTreeSet<u32>>,
    /// Jobs to be moved to another domain.
    pub releases: BTreeMap<JobId, String>,
    /// Demand of each team: running and queued.
    pub wants: BTreeMap<TeamId, Resources>,
    /// Highest recent demand of each team.
    pub peaks: BTreeMap<TeamId, PeakDemand>,
    /// Parts of allotments on their way back; the scheduler must not use them meanwhile.
    pub giving: BTreeMap<TeamId, PendingGive>,
    /// What each team's tasks may use of the allotment while other domains are short.
    pub usable: BTreeMap<TeamId, Resources>,
    /// Jobs of which nothing runs, with the time since when.
    pub waiting: BTreeMap<JobId, Time>,
    /// Workers in quarantine, with the time of the probe.
    pub quarantine: BTreeMap<WorkerId, Time>,
    /// Workers of the domain at the takeover that have neither reported nor lapsed.
    pub unreported: BTreeSet<WorkerId>,
}

/// A worker command that the scheduler asks for.
#[derive(Debug)]
pub struct Push {
    /// Domain whose scheduler waits for the answer.
    pub domain: DomainId,
    /// Term of the acting owner.
    pub term: u64,
    /// Start, stop, throttle or refuse.
    pub action: Action,
}

impl Acting {
    /// Starts a scheduler from the cell's state.
    pub fn open(domain: DomainId, term: u64, cell: &Cell, now: Time, seed: u64) -> Self {
        let settings = Settings {
            seed: seed ^ term,
            ..Settings::default()
        };
        let workers: Vec<_> = cell.workers(domain).cloned().collect();
        let mut acting = Self {
            domain,
            term,
            since: now,
            sched: Scheduler::new(settings, Policy::default()),
            active: false,
            ends: Vec::new(),
            outcomes: BTreeMap::new(),
            records: BTreeMap::new(),
            releases: BTreeMap::new(),
            wants: BTreeMap::new(),
            peaks: BTreeMap::new(),
            giving: BTreeMap::new(),
            usable: BTreeMap::new(),
            waiting: BTreeMap::new(),
            quarantine: BTreeMap::new(),
            unreported: workers.iter().map(|p| p.worker).collect(),
        };
        let offset_ms = clock::wall_ms() - i64::try_from(now.0).unwrap_or(0);
        let mut out = Vec::new();
        acting.step(Event::Clock { offset_ms }, now, &mut out);
        acting.step(Event::Takeover { term, workers }, now, &mut out);
        acting.document(cell, now, &mut out);
        acting.elsewhere(cell, now, &mut out);
        for live in cell.live_jobs_in(domain) {
            acting.submit(&live, true, now, &mut out);
        }
        debug_assert!(out.is_empty(), "an inactive scheduler starts nothing");
        acting
    }

    /// Passes an event to the scheduler and sorts its actions.
    pub fn step(&mut self, event: Event, now: Time, out: &mut Vec<Push>) {
        for action in self.sched.step(event, now) {
            self.sort(action, now, out);
        }
    }

    fn sort(&mut self, action: Action, now: Time, out: &mut Vec<Push>) {
        match action {
            Action::TaskEnded {
                attempt,
                worker,
                end,
            } => self.ends.push(FinalEnd {
                worker,
                attempt,
                end: TaskEnd {
                    job: attempt.job,
                    task: attempt.task,
                    finish: finish(&end),
                },
            }),
            Action::JobEnded { job, outcome } => {
                self.outcomes.insert(job, outcome);
            }
            Action::RecordDispatch { job, tasks } => {
                self.records.entry(job).or_default().extend(tasks);
            }
            Action::Release { job, reason: why } => {
                self.releases.insert(job, why);
            }
            Action::Demand { team, amount } => {
                self.wants.insert(team, amount);
            }
            Action::Quarantine { worker, until } if until <= now => {
                tracing::info!(%worker, "quarantine is lifted");
                self.quarantine.remove(&worker);
            }
            Action::Quarantine { worker, until } => {
                metrics::counter!("zinnia_quarantines_total").increment(1);
                tracing::warn!(%worker, "worker fails what it starts; quarantined");
                self.quarantine.insert(worker, until);
            }
            Action::Start { .. }
            | Action::Stop { .. }
            | Action::Throttle { .. }
            | Action::Refuse { .. } => out.push(Push {
                domain: self.domain,
                term: self.term,
                action,
            }),
        }
    }

    /// Passes the document in force and the allotments on.
    pub fn document(&mut self, cell: &Cell, now: Time, out: &mut Vec<Push>) {
        let Some((_, document)) = cell.document() else {
            return;
        };
        let document = Box::new(document.clone());
        let teams: Vec<_> = document.teams.iter().map(|t| t.name).collect();
        self.step(Event::Document { document }, now, out);
        for team in teams {
            self.allot(cell, team, now, out);
        }
    }

    /// Passes on what the domain may use of a team's limit.
    pub fn allot(&mut self, cell: &Cell, team: TeamId, now: Time, out: &mut Vec<Push>) {
        let seq = cell.allotment(self.domain, team).log_index;
        if self.giving.get(&team).is_some_and(|g| g.from != seq) {
            self.giving.remove(&team);
        }
        let given = self.giving.get(&team).map_or(Resources::ZERO, |g| g.amount);
        let mut amount = cell
            .usable_allotment(self.domain, team)
            .saturating_sub(&given);
        if let Some(usable) = self.usable.get(&team) {
            amount = Resources::min(&amount, usable);
        }
        self.step(Event::Allotment { team, amount }, now, out);
    }

    /// Passes on which capacities the other domains have.
    pub fn elsewhere(&mut self, cell: &Cell, now: Time, out: &mut Vec<Push>) {
        let domains: BTreeSet<_> = cell.owners().map(|(domain, _)| domain).collect();
        let others = domains.into_iter().filter(|d| *d != self.domain);
        let capacities: BTreeSet<_> = others
            .flat_map(|d| cell.workers(d).map(|p| p.capacity))
            .collect();
        let capacities = capacities.into_iter().collect();
        self.step(Event::RemoteCapacities { capacities }, now, out);
    }

    /// Submits a job that the log has accepted for this domain.
    pub fn submit(&mut self, live: &LiveJob, recovered: bool, now: Time, out: &mut Vec<Push>) {
        let queued = self.ends.iter().filter(|e| e.end.job == live.job.id);
        let queued = queued.map(|e| e.end.task);
        let done = live.ends.keys().copied().chain(queued).collect();
        let dispatched = live.dispatched.keys().copied().collect();
        let event = Event::Submit {
            job: Box::new(live.job.clone()),
            done,
            dispatched,
            recovered,
        };
        self.step(event, now, out);
        if live.cancelled {
            let jobs = vec![live.job.id];
            self.step(Event::Cancel { jobs }, now, out);
        }
    }

    /// Whether anything waits for the log.
    pub fn has_queued(&self) -> bool {
        !self.ends.is_empty()
            || !self.outcomes.is_empty()
            || !self.records.is_empty()
            || !self.releases.is_empty()
    }

    /// State for a dump.
    pub fn dump(&self) -> Value {
        json!({
            "term": self.term,
            "active": self.active,
            "ends": self.ends.len(),
            "outcomes": self.outcomes.len(),
            "records": self.records.len(),
            "releases": self.releases.len(),
            "unreported": self.unreported,
            "quarantine": self.quarantine,
            "wants": self.wants,
            "scheduler": self.sched.dump(),
        })
    }
}

fn finish(end: &End) -> TaskOutcome {
    match end {
        End::Done { .. } => TaskOutcome::Done,
        End::Failed { .. } => TaskOutcome::Failed,
        End::Stopped { .. } => TaskOutcome::Cancelled,
        End::Fenced => TaskOutcome::Unknown,
    }
}
