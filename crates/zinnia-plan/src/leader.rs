//! The volatile state of the leader, and its decisions.

use std::collections::BTreeMap;
use std::sync::Arc;

use zinnia_types::JobId;
use zinnia_types::Time;

use crate::Backlog;
use crate::Job;
use crate::LeaseChanges;
use crate::LeaseTimes;
use crate::Plan;
use crate::PolicyQuery;
use crate::QueryBudget;
use crate::Queue;
use crate::Settings;
use crate::State;
use crate::Step;
use crate::StepId;
use crate::feasibility::LastingUse;
use crate::headroom::UrgentTeams;
use crate::inherited::KnownLeases;
use crate::inherited::known_leases;
use crate::lease;
use crate::placement::Decisions;
use crate::preempt::Preemptions;
use crate::query_pass::QueryState;
use crate::shares::TeamWeights;
use crate::slow_workers::RunTimes;
use crate::worker_index::WorkerIndices;
use crate::worker_view::WorkerView;

/// Volatile state of the leader; created anew in each leader term.
#[derive(Debug)]
pub struct Leader {
    pub(crate) settings: Settings,
    /// Longest lease that earlier leaders may have granted.
    pub(crate) inherited_lease_ms: u64,
    /// What the log told about leases before the term.
    pub(crate) known_leases: BTreeMap<String, KnownLeases>,
    pub(crate) term: u64,
    /// First fencing token of this term; the tokens of earlier terms are lower.
    pub(crate) base_fence: u64,
    pub(crate) term_start: Time,
    pub(crate) views: BTreeMap<String, WorkerView>,
    pub(crate) indices: WorkerIndices,
    pub(crate) decisions: Decisions,
    pub(crate) queries: QueryState,
    pub(crate) urgent_teams: UrgentTeams,
    pub(crate) preemptions: Preemptions,
    pub(crate) run_times: RunTimes,
    /// Resources that tasks to last use, as of the last check.
    pub(crate) lasting: Arc<LastingUse>,
    /// Weights of the teams as of the last check, if they order waiting work.
    pub(crate) weights: Option<Arc<TeamWeights>>,
    /// Text of the job whose tasks were ordered last.
    pub(crate) last_text: Option<(JobId, Arc<str>)>,
    /// Work that waits, as of `backlog_at`.
    backlog: Backlog,
    backlog_at: Option<Time>,
    /// Last step of the rotation in the last pass, if that was bounded.
    pub(crate) rotation_cursor: Option<StepId>,
    /// When all workers and runs were last checked.
    last_check: Option<Time>,
}

/// Interval between two checks of all workers and runs, which find new workers, expired leases and
/// runs to be stopped.
const CHECK_INTERVAL_MS: u64 = 50;
/// Interval between two estimates of the waiting work.
const BACKLOG_INTERVAL_MS: u64 = 200;
/// Number of fencing tokens that one term may use for a worker.
const FENCES_PER_TERM: u64 = 1 << 20;

impl Leader {
    /// Creates the state of a leader whose term begins at `now`; `state` is what earlier leaders have
    /// left, `lease_times` when this member applied their entries about leases.
    pub fn new(
        settings: Settings,
        term: u64,
        state: &State,
        lease_times: &LeaseTimes,
        now: Time,
    ) -> Self {
        Self {
            inherited_lease_ms: state.inherited_lease_ms(&settings),
            known_leases: known_leases(state, lease_times),
            queries: QueryState::new(&settings.queries),
            settings,
            term,
            base_fence: term * FENCES_PER_TERM,
            term_start: now,
            views: BTreeMap::new(),
            indices: WorkerIndices::default(),
            decisions: BTreeMap::new(),
            urgent_teams: UrgentTeams::new(),
            preemptions: Preemptions::default(),
            run_times: RunTimes::default(),
            lasting: Arc::default(),
            weights: None,
            last_text: None,
            backlog: Backlog::default(),
            backlog_at: None,
            rotation_cursor: None,
            last_check: None,
        }
    }

    /// When the leases that earlier leaders granted have expired on a worker that cannot be
    /// reached. Their deadlines count from times at which those leaders had contact with a quorum,
    /// and all of these are before this term.
    fn inherited_until(&self) -> Time {
        let duration_ms = lease::max_duration_ms(self.inherited_lease_ms);
        self.term_start.after(duration_ms)
    }

    /// Length of the leases that this leader grants. It exceeds the bound in the state only once its
    /// own bound is there, so that the next leader knows of it.
    pub(crate) fn grant_ms(&self, state: &State) -> u64 {
        let known = state.lease_bound.unwrap_or(self.settings.max_lease_ms);
        self.settings.lease_ms.min(known)
    }

    /// Upper bound, in milliseconds, of the leases that workers may have at `now`.
    pub fn lease_bound_ms(&self, now: Time) -> u64 {
        let granted = self.settings.lease_ms;
        match now < self.inherited_until() {
            true => granted.max(self.inherited_lease_ms),
            false => granted,
        }
    }

    /// Processes the answer of the placement policy; `None` if the query failed.
    pub fn policy_answered(
        &mut self,
        query: &PolicyQuery,
        granted: Option<Vec<(String, String)>>,
        now: Time,
    ) {
        let stats = self.queries.stats.entry(&query.queue);
        if let Some(decisions) = self.decisions.get_mut(&query.step) {
            decisions.answer(query, granted, &self.indices, stats, now);
        } else if granted.is_none() {
            stats.failed(now);
        }
    }

    /// Runs one planning pass.
    ///
    /// `starts` tells whether the pass may start tasks.
    pub fn plan(
        &mut self,
        state: &State,
        starts: bool,
        query_budget: QueryBudget,
        now: Time,
        wall_ms: i64,
    ) -> Plan {
        let is_due = |at: Time, ms: u64| now.since(at) >= ms;
        let check_due = self
            .last_check
            .is_none_or(|at| is_due(at, CHECK_INTERVAL_MS));
        if check_due {
            self.lasting = Arc::new(LastingUse::new(state));
            let weights = || Arc::new(TeamWeights::new(state, wall_ms));
            self.weights = self.settings.order.weighted.then(weights);
        }
        let feasibility = self.feasibility(state, now);
        let mut plan = Plan {
            query_budget,
            lease_changes: LeaseChanges {
                term: self.term,
                ..LeaseChanges::default()
            },
            ..Plan::default()
        };
        if check_due {
            self.last_check = Some(now);
            self.update_views(state, now);
            self.update_urgent_teams(state, &feasibility, now);
            self.report_silent(state, now, &mut plan);
            self.expire_leases(state, now, &mut plan);
            self.stop_renewals(state, now, &mut plan);
            self.record_received(state, &mut plan);
            self.stop_runs(state, now, &mut plan);
            self.decisions
                .retain(|step, _| state.live.contains(&step.job));
        }
        let backlog_due = |at| is_due(at, BACKLOG_INTERVAL_MS);
        if self.backlog_at.is_none_or(backlog_due) {
            self.backlog_at = Some(now);
            let decisions = &self.decisions;
            let regions = &self.settings.regions;
            let weights = self.weights.clone();
            let prospect = |id: StepId, job: &Job, queue: &Queue, step: &Step| {
                feasibility.prospect(job, queue, step, decisions.get(&id))
            };
            self.backlog = Backlog::with_prospects(state, regions, weights, wall_ms, prospect);
        }
        self.record_unanswered(now, &mut plan.lease_changes);
        self.poll_workers(state, now, &mut plan);
        if starts {
            self.update_forecast(state, now, wall_ms);
            self.place(state, &feasibility, now, wall_ms, &mut plan);
        }
        plan
    }

    /// Term of this leader.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Number of workers that have not shut down.
    pub fn worker_count(&self) -> usize {
        self.views.len()
    }

    /// Latest estimate of the waiting work.
    pub fn backlog(&self) -> &Backlog {
        &self.backlog
    }

    /// Creates the view of each new incarnation in the state, and drops the views of those that have left
    /// and have no runs.
    fn update_views(&mut self, state: &State, now: Time) {
        for (name, worker) in &state.workers {
            if worker.left && worker.runs.is_empty() {
                self.views.remove(name);
                continue;
            }
            let born = worker.incarnation.born;
            if self.views.get(name).is_none_or(|c| c.born < born) {
                self.view(state, name, born, now);
            }
        }
    }

    /// Number of workers that are far slower than others.
    pub fn slow_workers(&self) -> usize {
        self.views.values().filter(|v| v.is_slow).count()
    }

    /// Data for a state dump: worker, fencing token, whether a poll confirmed it, and the number of
    /// orders.
    pub fn dump(&self) -> Vec<(String, u64, bool, usize)> {
        let row = |(name, c): (&String, &WorkerView)| {
            (
                name.clone(),
                c.fence,
                c.confirmed_fence == c.fence,
                c.orders.len(),
            )
        };
        self.views.iter().map(row).collect()
    }
}
