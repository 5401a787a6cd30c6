//! The scheduler state and its entry point.

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
use zinnia_types::worker::AttemptEnd;

use crate::action::Action;
use crate::attempt::Attempt;
use crate::changes::ChangeLog;
use crate::estimate::Estimate;
use crate::event::Event;
use crate::fleet::Fleet;
use crate::gang::Reservation;
use crate::job_state::JobState;
use crate::policy::Policy;
use crate::settings::Settings;
use crate::team::Teams;
use crate::timer::Timers;

/// Event counters since the scheduler was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Counters {
    /// Tasks that were allocated to a worker.
    pub placed: u64,
    /// Searches for a worker, successful or not.
    pub searches: u64,
    /// Workers examined in these searches.
    pub examined: u64,
    /// Checks of a lane's first job against recently changed workers.
    pub compared: u64,
    /// Attempts checkpointed to free capacity for urgent tasks.
    pub preempted: u64,
    /// Attempts checkpointed to return capacity to a team below its share.
    pub reclaimed: u64,
    /// Attempts whose CPU was throttled for urgent tasks.
    pub throttled: u64,
    /// Retries of failed tasks.
    pub retries: u64,
    /// Quarantines of workers.
    pub quarantines: u64,
    /// Running attempts that a worker reported although the scheduler did not expect them.
    pub adopted: u64,
}

/// Makes the scheduling decisions of one acting owner.
pub struct Scheduler {
    pub(crate) settings: Settings,
    pub(crate) policy: Policy,
    pub(crate) rng: SmallRng,
    pub(crate) active: bool,
    pub(crate) term: u64,
    /// Whether a `Takeover` event has been handled.
    pub(crate) had_takeover: bool,
    /// Last attempt number used in each term.
    pub(crate) attempt_numbers: BTreeMap<u64, u32>,
    /// Arrival number of the last submitted job.
    pub(crate) last_seq: u64,
    pub(crate) offset_ms: Option<i64>,
    pub(crate) fleet: Fleet,
    pub(crate) teams: Teams,
    pub(crate) jobs: BTreeMap<JobId, JobState>,
    pub(crate) attempts: BTreeMap<AttemptId, Attempt>,
    /// Attempts of earlier terms that are known not to run any more.
    pub(crate) resolved_attempts: BTreeSet<AttemptId>,
    /// Ends of tasks that were reported before their job was submitted.
    pub(crate) early_ends: BTreeMap<(JobId, u32), AttemptEnd>,
    /// Cancelled jobs that are still in a queue.
    pub(crate) queued_cancels: VecDeque<JobId>,
    /// Cancelled jobs that were removed from their queue and remain to be closed.
    pub(crate) unqueued_cancels: VecDeque<JobId>,
    pub(crate) estimates: HashMap<(TeamId, Name), Estimate>,
    pub(crate) timers: Timers,
    pub(crate) changes: ChangeLog,
    pub(crate) reservation: Option<Reservation>,
    /// When a reservation was last computed.
    pub(crate) last_plan: Option<Time>,
    /// Attempts that were ordered to stop to return capacity to a team below its share.
    pub(crate) reclaimed_attempts: BTreeSet<AttemptId>,
    pub(crate) throttled_attempts: BTreeSet<AttemptId>,
    /// Distinct worker capacities in other failure domains.
    pub(crate) remote_shapes: Vec<Resources>,
    /// When the lanes that were found blocked were last retried against all workers.
    pub(crate) last_sweep: Time,
    /// Position in `changes` up to which the queues have been dispatched.
    pub(crate) changes_seen: u64,
    /// Whether the queues changed since the last dispatch pass.
    pub(crate) queue_changed: bool,
    /// Jobs requeued without a start in the current dispatch pass.
    pub(crate) requeue_count: usize,
    /// Number of the current dispatch pass.
    pub(crate) dispatch_pass: u64,
    pub(crate) counters: Counters,
}

impl Scheduler {
    /// Creates an inactive scheduler without workers, teams or jobs.
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
            changes: ChangeLog::default(),
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

    /// Handles an event and returns the actions to perform, in order.
    pub fn step(&mut self, event: Event, now: Time) -> Vec<Action> {
        let mut out = Vec::new();
        let is_tick = event == Event::Tick;
        self.handle_event(event, now, &mut out);
        self.process_cancellations(is_tick, now, &mut out);
        self.run_timers(now, &mut out);
        self.dispatch(now, &mut out);
        out
    }

    fn handle_event(&mut self, event: Event, now: Time, out: &mut Vec<Action>) {
        match event {
            Event::OwnershipGranted {
                profile,
                epoch,
                leaving,
                reports,
            } => self.on_worker(&profile, epoch, leaving, reports, now, out),
            Event::Heartbeat {
                worker,
                boot,
                reports,
            } => self.on_reports(worker, boot, reports, now, out),
            Event::Unresponsive { worker } => self.on_silent(worker, now),
            Event::LeaseExpired { worker } | Event::Exited { worker } => {
                self.on_lost(worker, now, out);
            }
            Event::Leaving { worker } => self.on_leaving(worker, now, out),
            Event::Submit {
                job,
                done,
                dispatched,
                recovered: old,
            } => self.on_submit(*job, &done, &dispatched, old, now, out),
            Event::Cancel { jobs } => self.on_cancel(jobs),
            Event::RequestRelease { job } => self.on_yield(job, out),
            Event::Started { attempt } => self.on_started(attempt, now),
            Event::Refused {
                attempt,
                reason: why,
            } => self.on_refused(attempt, why, now, out),
            Event::Unanswered { attempt } => self.on_unanswered(attempt, now, out),
            Event::Stopped { attempt, end } => self.on_stopped(attempt, end, now, out),
            Event::Throttled { attempt, cpu } => self.on_throttled(attempt, cpu),
            Event::DispatchRecorded { job, tasks } => {
                self.on_dispatch_recorded(job, &tasks, now, out);
            }
            Event::Document { document } => {
                let retry = &self.settings.retry;
                self.teams.apply(&document, &self.policy.split, retry);
                self.changes.reset();
                self.check_feasibility(now, out);
            }
            Event::Allotment { team, amount } => {
                let slot = self.teams.slot(team, &self.settings.retry);
                self.teams.list[slot].allotment = amount;
                self.changes.reset();
            }
            Event::Takeover {
                term,
                workers: roster,
            } => self.on_takeover(term, roster, now),
            Event::Active { active } => {
                self.active = active;
                self.changes.reset();
                self.check_feasibility(now, out);
            }
            Event::RemoteCapacities { capacities: shapes } => {
                self.remote_shapes = shapes;
                self.check_feasibility(now, out);
            }
            Event::Clock { offset_ms } => self.offset_ms = Some(offset_ms),
            Event::Tick => self.on_tick(now, out),
        }
    }

    /// Event counters since the scheduler was created.
    pub fn counters(&self) -> Counters {
        Counters {
            examined: self.fleet.examined.get(),
            ..self.counters
        }
    }

    /// Capacity charged to a team's attempts in this failure domain. An allotment may be given back
    /// only down to this amount, and only after the smaller allotment was sent in an `Allotment` event.
    pub fn team_use(&self, team: TeamId) -> Resources {
        self.teams.get(team).map_or(Resources::ZERO, |t| t.used)
    }

    /// Number of queued jobs.
    pub fn queued(&self) -> usize {
        self.teams.list.iter().map(|t| t.queue.len()).sum()
    }

    /// Attempts that may be running, each with its worker and the resources charged for it.
    pub fn running(&self) -> impl Iterator<Item = (AttemptId, zinnia_types::WorkerId, Resources)> {
        self.attempts
            .iter()
            .map(|(id, a)| (*id, self.fleet.workers[a.worker].id, a.charge))
    }

    /// The state as JSON for operators: counts, teams, workers, the reservation and the counters.
    pub fn dump(&self) -> Value {
        crate::dump::dump(self)
    }
}
