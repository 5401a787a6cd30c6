//! The scheduler's state and its entry point.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::Value;
use zinnia_types::AttemptId;
use zinnia_types::JobId;
use zinnia_types::Name;
use zinnia_types::Resources;
use zinnia_types::TeamId;
use zinnia_types::Time;
use zinnia_types::worker::End;

use crate::action::Action;
use crate::attempt::Attempt;
use crate::changes::Changes;
use crate::estimate::Estimate;
use crate::event::Event;
use crate::fleet::Fleet;
use crate::gang::Reservation;
use crate::policy::Policy;
use crate::settings::Settings;
use crate::team::Teams;
use crate::timer::Timers;
use crate::work::Work;

/// Counters since the scheduler was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Counters {
    /// Tasks for which a place was found.
    pub placed: u64,
    /// Searches for a place, with and without success.
    pub searches: u64,
    /// Workers examined in these searches.
    pub examined: u64,
    /// Lanes whose first job was compared with a changed worker.
    pub compared: u64,
    /// Attempts checkpointed for urgent work.
    pub preempted: u64,
    /// Attempts checkpointed to take a share back.
    pub reclaimed: u64,
    /// Attempts whose processor was lowered for urgent work.
    pub throttled: u64,
    /// Retries of failed tasks.
    pub retries: u64,
    /// Quarantines.
    pub quarantines: u64,
    /// Attempts found running that were not expected.
    pub adopted: u64,
}

/// The placement, queueing and fairness decisions of one acting owner.
pub struct Scheduler {
    pub(crate) settings: Settings,
    pub(crate) policy: Policy,
    pub(crate) rng: SmallRng,
    pub(crate) active: bool,
    pub(crate) term: u64,
    /// Whether a takeover was seen.
    pub(crate) had_takeover: bool,
    /// Number of the last attempt made in each term.
    pub(crate) attempt_numbers: BTreeMap<u64, u32>,
    /// Order of arrival of the last job.
    pub(crate) last_seq: u64,
    pub(crate) offset_ms: Option<i64>,
    pub(crate) fleet: Fleet,
    pub(crate) teams: Teams,
    pub(crate) jobs: BTreeMap<JobId, Work>,
    pub(crate) attempts: BTreeMap<AttemptId, Attempt>,
    /// Attempts of earlier terms that are known not to run any more.
    pub(crate) resolved_attempts: BTreeSet<AttemptId>,
    /// Ends of tasks whose job was not yet submitted.
    pub(crate) early_ends: BTreeMap<(JobId, u32), End>,
    /// Cancelled jobs that are still queued, and those that are not.
    pub(crate) queued_cancels: VecDeque<JobId>,
    pub(crate) unqueued_cancels: VecDeque<JobId>,
    pub(crate) estimates: HashMap<(TeamId, Name), Estimate>,
    pub(crate) timers: Timers,
    pub(crate) changes: Changes,
    pub(crate) reservation: Option<Reservation>,
    /// When the last reservation was planned.
    pub(crate) last_plan: Option<Time>,
    /// Attempts that were told to stop to take a share back.
    pub(crate) reclaimed_attempts: BTreeSet<AttemptId>,
    pub(crate) throttled_attempts: BTreeSet<AttemptId>,
    /// Capacities in other domains.
    pub(crate) remote_shapes: Vec<Resources>,
    /// When queues that are known to fit nowhere were last tried in full.
    pub(crate) last_sweep: Time,
    /// Position in `changes` up to which the queues were tried.
    pub(crate) changes_seen: u64,
    /// Whether something was queued since.
    pub(crate) queue_changed: bool,
    /// Jobs put back in the last dispatch.
    pub(crate) requeue_count: usize,
    /// Number of the last dispatch.
    pub(crate) dispatch_pass: u64,
    pub(crate) counters: Counters,
}

impl Scheduler {
    /// A scheduler without workers, teams and jobs, which is not active.
    pub fn new(settings: Settings, policy: Policy) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(settings.seed),
            settings,
            policy,
            active: false,
            term: 0,
            had_takeover: false,
            attempt_numbers: BTreeMap::from([(0, 0)]),
            last_seq: 0,
            offset_ms: None,
            fleet: Fleet::default(),
            teams: Teams::default(),
            jobs: BTreeMap::new(),
            attempts: BTreeMap::new(),
            resolved_attempts: BTreeSet::new(),
            early_ends: BTreeMap::new(),
            queued_cancels: VecDeque::new(),
            unqueued_cancels: VecDeque::new(),
            estimates: HashMap::new(),
            timers: Timers::default(),
            changes: Changes::default(),
            reservation: None,
            last_plan: None,
            reclaimed_attempts: BTreeSet::new(),
            throttled_attempts: BTreeSet::new(),
            remote_shapes: Vec::new(),
            last_sweep: Time(0),
            changes_seen: 0,
            queue_changed: false,
            requeue_count: 0,
            dispatch_pass: 0,
            counters: Counters::default(),
        }
    }

    /// Takes an event in and returns what is to be done, in order.
    pub fn step(&mut self, event: Event, now: Time) -> Vec<Action> {
        let mut out = Vec::new();
        let tick = event == Event::Tick;
        self.handle_event(event, now, &mut out);
        self.cancel_some(tick, now, &mut out);
        self.run_timers(now, &mut out);
        self.dispatch(now, &mut out);
        out
    }

    fn handle_event(&mut self, event: Event, now: Time, out: &mut Vec<Action>) {
        match event {
            Event::Worker {
                profile,
                epoch,
                leaving,
                reports,
            } => self.on_worker(&profile, epoch, leaving, reports, now, out),
            Event::Reports {
                worker,
                boot,
                reports,
            } => self.on_reports(worker, boot, reports, now, out),
            Event::Silent { worker } => self.on_silent(worker, now),
            Event::Lapsed { worker } | Event::Gone { worker } => self.on_lost(worker, now, out),
            Event::Leaving { worker } => self.on_leaving(worker, now, out),
            Event::Submit {
                job,
                done,
                dispatched,
                old,
            } => self.on_submit(*job, &done, &dispatched, old, now, out),
            Event::Cancel { jobs } => self.on_cancel(jobs),
            Event::Yield { job } => self.on_yield(job, out),
            Event::Started { attempt } => self.on_started(attempt, now),
            Event::Refused { attempt, why } => self.on_refused(attempt, why, now, out),
            Event::Unanswered { attempt } => self.on_unanswered(attempt, now, out),
            Event::Stopped { attempt, end } => self.on_stopped(attempt, end, now, out),
            Event::Throttled { attempt, cpu } => self.on_throttled(attempt, cpu),
            Event::Recorded { job, tasks } => self.on_recorded(job, &tasks, now, out),
            Event::Document { document } => {
                let retry = &self.settings.retry;
                self.teams.apply(&document, &self.policy.split, retry);
                self.changes.reset();
                self.check_feasibility(now, out);
            }
            Event::Allot { team, amount } => {
                let slot = self.teams.slot(team, &self.settings.retry);
                self.teams.list[slot].allot = amount;
                self.changes.reset();
            }
            Event::Takeover { term, roster } => self.on_takeover(term, roster, now),
            Event::Active { active } => {
                self.active = active;
                self.changes.reset();
                self.check_feasibility(now, out);
            }
            Event::Elsewhere { shapes } => {
                self.remote_shapes = shapes;
                self.check_feasibility(now, out);
            }
            Event::Clock { offset_ms } => self.offset_ms = Some(offset_ms),
            Event::Tick => self.on_tick(now, out),
        }
    }

    /// Counters since the scheduler was created.
    pub fn counters(&self) -> Counters {
        Counters {
            examined: self.fleet.examined.get(),
            ..self.counters
        }
    }

    /// What a team's attempts may be using in this domain. An allotment may be given back only
    /// down to this amount, after the smaller amount was announced by `Allot`.
    pub fn team_use(&self, team: TeamId) -> Resources {
        self.teams.get(team).map_or(Resources::ZERO, |t| t.used)
    }

    /// Number of jobs that wait for a place.
    pub fn queued(&self) -> usize {
        self.teams.list.iter().map(|t| t.lanes.len()).sum()
    }

    /// Attempts that may be running, with the worker and what is charged for each.
    pub fn running(&self) -> impl Iterator<Item = (AttemptId, zinnia_types::WorkerId, Resources)> {
        self.attempts
            .iter()
            .map(|(id, a)| (*id, self.fleet.workers[a.worker].id, a.charge))
    }

    /// The state for operators: counts, teams, workers, and the reservation.
    pub fn dump(&self) -> Value {
        crate::dump::dump(self)
    }
}
