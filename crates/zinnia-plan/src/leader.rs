//! The volatile state of the leader, and its decisions.

use std::collections::BTreeMap;

use zinnia_types::Time;

use crate::Backlog;
use crate::Heartbeat;
use crate::Plan;
use crate::PolicyQuery;
use crate::Poll;
use crate::QueryBudget;
use crate::Record;
use crate::Report;
use crate::RunOrder;
use crate::Settings;
use crate::Start;
use crate::StartOrder;
use crate::StartOutcome;
use crate::State;
use crate::Status;
use crate::StepId;
use crate::Task;
use crate::TaskId;
use crate::Worker;
use crate::headroom::UrgentTeams;
use crate::placement::Decisions;
use crate::worker_index::WorkerIndices;
use crate::worker_view::OrderState;
use crate::worker_view::Progress;
use crate::worker_view::SentOrder;
use crate::worker_view::WorkerView;

/// Volatile state of the leader; created anew in each leader term.
#[derive(Debug)]
pub struct Leader {
    pub(crate) settings: Settings,
    /// First fencing token of this term; the tokens of earlier terms are lower.
    base_fence: u64,
    term_start: Time,
    pub(crate) views: BTreeMap<String, WorkerView>,
    pub(crate) indices: WorkerIndices,
    pub(crate) decisions: Decisions,
    pub(crate) urgent_teams: UrgentTeams,
    /// Work that waits, as of `backlog_at`.
    backlog: Backlog,
    backlog_at: Option<Time>,
    /// When all workers and runs were last checked.
    last_check: Option<Time>,
}

/// Interval between two checks of all workers and runs, which find new workers, expired leases and
/// runs to be stopped.
const CHECK_INTERVAL_MS: u64 = 50;
/// Interval between two estimates of the waiting work.
const BACKLOG_INTERVAL_MS: u64 = 200;
/// Longest time in which an order without an answer may still be carried out.
const MAX_ORDER_DELAY_MS: u64 = 12_000;
/// Number of fencing tokens that one term may use for a worker.
const FENCES_PER_TERM: u64 = 1 << 20;

impl Leader {
    /// Creates the state of a leader whose term begins at `now`.
    pub fn new(settings: Settings, term: u64, now: Time) -> Self {
        Self {
            settings,
            base_fence: term * FENCES_PER_TERM,
            term_start: now,
            views: BTreeMap::new(),
            indices: WorkerIndices::default(),
            decisions: BTreeMap::new(),
            urgent_teams: UrgentTeams::new(),
            backlog: Backlog::default(),
            backlog_at: None,
            last_check: None,
        }
    }

    /// When the leases that earlier leaders granted have expired on a worker that cannot be
    /// reached.
    fn inherited_until(&self) -> Time {
        /// Time in which a leader that has been replaced may still send orders.
        const OVERLAP_MS: u64 = 1_000;
        self.term_start.after(self.longest_lease_ms() + OVERLAP_MS)
    }

    /// Longest lease in the time of this process; the worker's clock may run slow.
    fn longest_lease_ms(&self) -> u64 {
        let lease = self.settings.max_lease_ms;
        lease + lease / 40
    }

    fn view(&mut self, worker: &str, born: i64, now: Time) -> &mut WorkerView {
        let (base_fence, until) = (self.base_fence, self.inherited_until());
        let lease = self.longest_lease_ms();
        let index = self.indices.assign(worker);
        let view = self
            .views
            .entry(worker.to_owned())
            .or_insert_with(|| WorkerView::new(index, born, base_fence, now, until));
        if view.born < born {
            // Delayed orders to the previous incarnation may reach the new one, whose clock
            // restarted. The higher token rejects them, and a lease may last from their latest
            // possible arrival.
            let until = until.max(now.after(MAX_ORDER_DELAY_MS + lease));
            *view = WorkerView::new(index, born, view.fence + 1, now, until);
        }
        view
    }

    /// Processes a heartbeat; returns the records to propose.
    pub fn heartbeat(&mut self, state: &State, heartbeat: &Heartbeat, now: Time) -> Vec<Record> {
        let incarnation = &heartbeat.incarnation;
        let known = state.workers.get(&incarnation.worker);
        if known.is_some_and(|w| {
            w.incarnation.born > incarnation.born
                || (w.incarnation.born == incarnation.born && w.left)
        }) {
            return Vec::new();
        }
        let view = self.view(&incarnation.worker, incarnation.born, now);
        if view.born != incarnation.born || view.sequence > heartbeat.sequence {
            return Vec::new();
        }
        view.sequence = heartbeat.sequence;
        view.last_heard = now;
        view.read_clock(heartbeat.clock_ms, now);
        let mut records = Vec::new();
        let known = known.filter(|w| w.incarnation.born == incarnation.born);
        if known.is_none() {
            records.push(Record::AddIncarnation(incarnation.clone()));
        }
        // Committed before the heartbeat is acknowledged, so that a later leader starts no task on
        // the worker either.
        if heartbeat.draining && known.is_none_or(|w| !w.draining) {
            records.push(Record::Drain {
                worker: incarnation.worker.clone(),
                born: incarnation.born,
            });
        }
        records
    }

    /// Builds the order for a committed start. Returns `None` if the job, the task or the
    /// incarnation is gone, or the worker's clock is unknown.
    pub fn prepare_start(&mut self, state: &State, start: &Start, now: Time) -> Option<StartOrder> {
        let job = state.jobs.get(&start.task.job)?;
        let task = state.task(start.task)?;
        let worker = state.workers.get(&start.worker)?;
        let lease = self.settings.lease_ms;
        let view = self.views.get_mut(&start.worker)?;
        let ticket = self
            .decisions
            .get(&StepId::from(start.task))
            .and_then(|d| d.ticket(view.index, now))
            .unwrap_or_default()
            .to_owned();
        if view.born != start.born {
            return None;
        }
        let deadline_ms = view.deadline(lease, now)?;
        let order = SentOrder {
            fence: view.fence,
            state: OrderState::Open,
        };
        view.orders.insert((start.task, start.run), order);
        view.next_poll = view.next_poll.min(now.after(self.settings.poll_wait_ms));
        Some(StartOrder {
            common: RunOrder {
                worker: start.worker.clone(),
                born: start.born,
                addr: worker.incarnation.addr.clone(),
                fence: order.fence,
                task: start.task,
                run: start.run,
            },
            text: job.spec.text.clone(),
            deadline_ms,
            checkpoint: task.checkpoint.clone(),
            ticket,
        })
    }

    /// Checks a prepared order right before it is sent; `may_act` tells whether no other process can
    /// lead the cell.
    ///
    /// A process that was paused after a start was committed may find that another one leads and has
    /// started the task elsewhere. Then the order is held back and counts as unanswered, so that a
    /// process that still leads after all polls the worker and starts the task anew.
    pub fn confirm_start(
        &mut self,
        order: StartOrder,
        may_act: bool,
        now: Time,
    ) -> Option<StartOrder> {
        if may_act {
            return Some(order);
        }
        self.start_answered(&order.common, &StartOutcome::Unknown, now);
        None
    }

    /// Processes the outcome of a start order; returns the record to propose.
    pub fn start_answered(
        &mut self,
        order: &RunOrder,
        outcome: &StartOutcome,
        now: Time,
    ) -> Option<Record> {
        let suspect_until = now.after(self.settings.suspect_ms);
        let view = self.views.get_mut(&order.worker)?;
        if let StartOutcome::Refused { ticket: true, .. } = outcome
            && let Some(decisions) = self.decisions.get_mut(&StepId::from(order.task))
        {
            decisions.drop_ticket(view.index);
        }
        if view.born != order.born {
            return None;
        }
        let sent_order = view.orders.get_mut(&(order.task, order.run))?;
        match outcome {
            StartOutcome::Accepted { clock_ms } => {
                let clock_ms = *clock_ms;
                sent_order.state = OrderState::Accepted { at: now, clock_ms };
                view.last_heard = now;
                view.failed_calls = 0;
                view.read_clock(clock_ms, now);
                None
            }
            StartOutcome::Refused { busy, .. } => {
                view.orders.remove(&(order.task, order.run));
                if *busy {
                    view.suspect_until = suspect_until;
                }
                Some(Record::Release(vec![(
                    order.task,
                    order.run,
                    String::new(),
                )]))
            }
            StartOutcome::Unknown => {
                sent_order.state = OrderState::Unknown;
                // Once the worker has answered the next poll, the higher token rejects the order.
                if sent_order.fence == view.fence {
                    view.fence += 1;
                }
                view.failed_calls += 1;
                view.next_poll = now;
                // The open poll may wait for a run end for a long time. Its answer is ignored.
                view.open_poll = None;
                None
            }
        }
    }

    /// Processes the answer to a poll, or `None` without one; returns the records to propose.
    pub fn poll_answered(
        &mut self,
        state: &State,
        poll: &Poll,
        report: Option<&Report>,
        now: Time,
    ) -> Vec<Record> {
        let retry_ms = self.settings.retry_ms;
        let Some(view) = self.views.get_mut(&poll.worker) else {
            return Vec::new();
        };
        if view.born != poll.born || view.open_poll != Some(poll.sent_at) {
            return Vec::new();
        }
        view.open_poll = None;
        let Some(report) = report else {
            view.failed_calls += 1;
            view.next_poll = now.after(retry_ms);
            return Vec::new();
        };
        view.failed_calls = 0;
        view.last_heard = now;
        view.read_clock(report.clock_ms, now);
        if view.confirmed_fence == 0 {
            // An earlier leader may have granted a lease up to the maximum length.
            view.extend_deadline(report.clock_ms + self.settings.max_lease_ms);
        }
        view.confirmed_fence = view.confirmed_fence.max(poll.fence);
        view.lease_expired = false;
        view.next_poll = now;
        let Some(worker) = state.workers.get(&poll.worker) else {
            return Vec::new();
        };
        let mut records = Vec::new();
        let new_ends: Vec<_> = report
            .ended
            .iter()
            .filter(|e| e.number > worker.acked_end)
            .collect();
        if let Some(upto) = new_ends.iter().map(|e| e.number).max() {
            records.push(Record::Ends {
                worker: poll.worker.clone(),
                born: poll.born,
                upto,
                list: new_ends.iter().map(|e| (*e).clone()).collect(),
            });
            // A poll before the ends are stored would return the same ends again.
            view.next_poll = now.after(retry_ms);
        }
        view.apply_report(report, now);
        let mut lost_runs = Vec::new();
        let mut unresolved = false;
        for &(task, run) in &worker.runs {
            let running = report
                .running
                .iter()
                .any(|r| r.task == task && r.run == run);
            let ended = report.ended.iter().any(|e| e.task == task && e.run == run);
            if running || ended || report.partial {
                continue;
            }
            let order = view.orders.get(&(task, run));
            let settled = order.is_none_or(|o| {
                o.fence < poll.fence
                    || matches!(o.state, OrderState::Accepted { at, .. } if at < poll.sent_at)
            });
            if settled && order.is_none_or(|o| o.state != OrderState::Open) {
                lost_runs.push((task, run, String::new()));
            } else if order.is_some_and(|o| o.state == OrderState::Unknown) {
                unresolved = true;
            }
        }
        if unresolved && view.fence == poll.fence {
            view.fence += 1;
        }
        if !lost_runs.is_empty() {
            records.push(Record::Release(lost_runs));
        }
        records
    }

    /// Makes the next poll of a worker due, after its run ends were stored.
    pub fn ends_acked(&mut self, worker: &str, now: Time) {
        if let Some(view) = self.views.get_mut(worker) {
            view.next_poll = view.next_poll.min(now);
        }
    }

    /// Records whether a run failed. A worker on which several jobs fail becomes suspect.
    pub fn record_result(&mut self, worker: &str, task: TaskId, failed: bool, now: Time) {
        let (jobs, ms) = (self.settings.suspect_jobs, self.settings.suspect_ms);
        let Some(view) = self.views.get_mut(worker) else {
            return;
        };
        if !failed {
            view.failed_jobs.clear();
            return;
        }
        view.failed_jobs.insert(task.job);
        if view.failed_jobs.len() >= jobs {
            view.suspect_until = now.after(ms);
            view.failed_jobs.clear();
        }
    }

    /// Processes the answer of the placement policy; `None` if the query failed.
    pub fn policy_answered(
        &mut self,
        query: &PolicyQuery,
        granted: Option<Vec<(String, String)>>,
        now: Time,
    ) {
        if let Some(decisions) = self.decisions.get_mut(&query.step) {
            decisions.answer(query, granted, &self.indices, now);
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
        let mut plan = Plan {
            query_budget,
            ..Plan::default()
        };
        if self
            .last_check
            .is_none_or(|at| now.since(at) >= CHECK_INTERVAL_MS)
        {
            self.last_check = Some(now);
            self.update_views(state, now);
            self.update_urgent_teams(state, now);
            self.expire_leases(state, now, &mut plan);
            self.stop_runs(state, now, &mut plan);
            self.decisions
                .retain(|step, _| state.live.contains(&step.job));
        }
        let is_due = |at: Time| now.since(at) >= BACKLOG_INTERVAL_MS;
        if self.backlog_at.is_none_or(is_due) {
            self.backlog_at = Some(now);
            self.backlog = Backlog::new(state, wall_ms);
        }
        self.poll_workers(state, now, &mut plan);
        if starts {
            self.place(state, now, wall_ms, &mut plan);
        }
        plan
    }

    /// Latest estimate of the waiting work.
    pub fn backlog(&self) -> &Backlog {
        &self.backlog
    }

    /// Creates the view of each new incarnation in the state, and drops the views of ended ones.
    fn update_views(&mut self, state: &State, now: Time) {
        for (name, worker) in &state.workers {
            if worker.left {
                self.views.remove(name);
                continue;
            }
            let born = worker.incarnation.born;
            if self.views.get(name).is_none_or(|c| c.born < born) {
                self.view(name, born, now);
            }
        }
    }

    /// Releases the runs of workers whose leases have certainly expired.
    fn expire_leases(&mut self, state: &State, now: Time, plan: &mut Plan) {
        for (name, view) in &mut self.views {
            let Some(worker) = view.current_worker(state, name) else {
                continue;
            };
            if worker.runs.is_empty() || view.lease_expired || !view.leases_expired(now) {
                continue;
            }
            view.lease_expired = true;
            // The higher token rejects orders that are still in transit, and new tasks wait for an
            // answer that reports the active runs.
            view.fence += 1;
            view.confirmed_fence = 0;
            let checkpoint = |key| {
                view.progress
                    .get(&key)
                    .map_or("", |p| p.checkpoint.as_str())
            };
            let list = worker
                .runs
                .iter()
                .map(|&(t, r)| (t, r, checkpoint((t, r)).to_owned()));
            plan.records.push(Record::Release(list.collect()));
        }
    }

    /// Stops runs that stalled or are no longer wanted.
    fn stop_runs(&mut self, state: &State, now: Time, plan: &mut Plan) {
        let retry_ms = self.settings.retry_ms;
        let suspect_ms = self.settings.suspect_ms;
        for (name, view) in &mut self.views {
            let Some(worker) = view.current_worker(state, name) else {
                continue;
            };
            view.stop_times
                .retain(|_, at| now.since(*at) < retry_ms * 4);
            view.orders.retain(|key, _| worker.runs.contains(key));
            for &(task, run) in &worker.runs {
                let is_due = |at: &Time| now.since(*at) >= retry_ms;
                let stalled = view
                    .progress
                    .get(&(task, run))
                    .zip(state.step(task))
                    .is_some_and(|(p, step)| p.is_stalled(step, &self.settings));
                if stalled {
                    view.suspect_until = view.suspect_until.max(now.after(suspect_ms));
                }
                let unwanted = stalled || !is_wanted(state, task, run);
                if unwanted && view.stop_times.get(&(task, run)).is_none_or(is_due) {
                    view.stop_times.insert((task, run), now);
                    plan.stops.push(RunOrder {
                        worker: name.clone(),
                        born: view.born,
                        addr: worker.incarnation.addr.clone(),
                        fence: view.fence,
                        task,
                        run,
                    });
                }
            }
        }
    }

    fn poll_workers(&mut self, state: &State, now: Time, plan: &mut Plan) {
        let lease = self.settings.lease_ms;
        let wait = self.settings.poll_wait_ms;
        for (name, view) in &mut self.views {
            if view.open_poll.is_some() || now < view.next_poll {
                continue;
            }
            let Some(worker) = view.current_worker(state, name) else {
                continue;
            };
            let unconfirmed = view.confirmed_fence < view.fence;
            if worker.runs.is_empty() && !unconfirmed {
                continue;
            }
            view.open_poll = Some(now);
            // A poll without an answer may still have renewed the lease. After a failure the polls
            // request no renewal, since otherwise the lease could never be known to have expired.
            let deadline_ms = match view.failed_calls {
                0 => view.deadline(lease, now),
                _ => None,
            };
            plan.polls.push(Poll {
                worker: name.clone(),
                born: view.born,
                addr: worker.incarnation.addr.clone(),
                fence: view.fence,
                acked_end: worker.acked_end,
                deadline_ms,
                wait_ms: if unconfirmed || view.failed_calls > 0 {
                    0
                } else {
                    wait
                },
                sent_at: now,
            });
        }
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

/// Whether a run should continue: its job is open, and all members of its gang are assigned.
fn is_wanted(state: &State, task: TaskId, run: u32) -> bool {
    let Some(job) = state.jobs.get(&task.job) else {
        return false;
    };
    if job.status != Status::Open {
        return false;
    }
    let step = job
        .rounds
        .get(task.round as usize)
        .and_then(|r| r.get(task.step as usize));
    let (Some(states), Some(step)) = (step, job.spec.steps.get(task.step as usize)) else {
        return false;
    };
    let is_assigned = |t: &Task| t.run == run && t.worker.is_some();
    !step.gang || states.is_done() || states.tasks.iter().all(is_assigned)
}

impl WorkerView {
    /// Returns the worker's state if it still holds the incarnation of this view.
    fn current_worker<'a>(&self, state: &'a State, name: &str) -> Option<&'a Worker> {
        let worker = state.workers.get(name)?;
        (worker.incarnation.born == self.born).then_some(worker)
    }

    /// Reading of the worker's clock when it accepted the start order of a run.
    fn accepted_ms(&self, run: (TaskId, u32)) -> Option<u64> {
        match self.orders.get(&run)?.state {
            OrderState::Accepted { clock_ms, .. } => Some(clock_ms),
            OrderState::Open | OrderState::Unknown => None,
        }
    }

    /// Records the progress of the reported runs and updates the start orders.
    fn apply_report(&mut self, report: &Report, now: Time) {
        let mut reported = BTreeMap::new();
        for run in &report.running {
            let key = (run.task, run.run);
            let clock_ms = report.clock_ms;
            let changed_ms = match self.progress.get(&key) {
                Some(p) if p.percent == run.percent => p.changed_ms,
                None if run.percent == 0 => self.accepted_ms(key).unwrap_or(clock_ms),
                _ => clock_ms,
            };
            let progress = Progress {
                percent: run.percent,
                changed_ms,
                reported_ms: clock_ms,
                checkpoint: run.checkpoint.clone(),
            };
            reported.insert(key, progress);
            if let Some(order) = self.orders.get_mut(&key)
                && order.state == OrderState::Unknown
            {
                order.state = OrderState::Accepted { at: now, clock_ms };
            }
        }
        for end in &report.ended {
            self.orders.remove(&(end.task, end.run));
        }
        self.progress = reported;
    }
}
