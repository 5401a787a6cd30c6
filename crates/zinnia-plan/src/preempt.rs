//! Preemption: stops runs of low priority so that urgent tasks that find no room can start.
//!
//! It answers the load of urgent jobs that come at once into a full pool. Victims are cheap: they resume from a
//! checkpoint, which a stop saves, or have run for less time than the urgent task will. The room of a victim counts
//! as used until its worker lists its end.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::VecDeque;

use zinnia_types::Time;

use crate::Plan;
use crate::Resources;
use crate::RunOrder;
use crate::State;
use crate::Status;
use crate::StepId;
use crate::TaskId;
use crate::placement::Decisions;
use crate::placement::PlacementPass;
use crate::wait_reason::WaitReason;
use crate::waiting::WaitingStep;
use crate::worker_index::WorkerIndex;
use crate::worker_view::WorkerView;

/// Settings of preemption. By default no run is stopped for another.
#[derive(Clone, Debug)]
pub struct PreemptionSettings {
    /// Longest time, in milliseconds, in which a worker stops a run; `None` if no run is preempted.
    pub stop_ms: Option<u64>,
    /// Most runs that are preempted within a second.
    pub max_stops: usize,
}

impl Default for PreemptionSettings {
    fn default() -> Self {
        Self {
            stop_ms: None,
            max_stops: 100,
        }
    }
}

/// Interval between two searches for victims. Stops take longer, so that a shorter one finds nothing new.
const SEARCH_INTERVAL_MS: u64 = 50;
/// Most urgent tasks for which one search looks for victims.
const MAX_SEARCHED_TASKS: usize = 16;
/// Number of runs of a task after which it is not preempted any more, so that it ends some time.
const MAX_VICTIM_RUNS: u32 = 3;
/// Period in which preempted runs are counted.
const COUNT_PERIOD_MS: u64 = 1_000;

/// A run that is stopped to make room.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Preemption {
    /// Task that the run belongs to.
    pub task: TaskId,
    /// Number of the run within the task.
    pub run: u32,
    /// Name of the worker.
    pub worker: String,
    /// Urgent step that needs the room.
    pub urgent: StepId,
}

/// Runs that are being stopped to make room.
#[derive(Debug, Default)]
pub(crate) struct Preemptions {
    /// When the latest stop order for each of these runs was sent.
    stopping: BTreeMap<(TaskId, u32), Time>,
    /// When runs were preempted within the last period.
    recent: VecDeque<Time>,
    searched_at: Option<Time>,
}

/// A run that may be stopped.
#[derive(Clone, Copy, Debug)]
struct Victim {
    key: (TaskId, u32),
    demand: Resources,
    /// Work that is done again, in milliseconds of run time.
    lost_ms: u64,
    priority: u32,
}

/// What a search needs to know of the cell.
struct Search<'p, 'a> {
    pass: &'p PlacementPass<'a>,
    views: &'p BTreeMap<String, WorkerView>,
    stop_ms: u64,
    /// Room of workers once the runs that are being stopped have ended, less what the search has taken.
    room: BTreeMap<WorkerIndex, Resources>,
    victims: BTreeMap<WorkerIndex, Vec<Victim>>,
}

impl Preemptions {
    /// Plans stops for the urgent steps of `short`, which found no room in the pass.
    pub(crate) fn plan(
        &mut self,
        pass: &PlacementPass<'_>,
        views: &BTreeMap<String, WorkerView>,
        decisions: &Decisions,
        short: &[&WaitingStep<'_>],
        plan: &mut Plan,
    ) {
        let settings = &pass.settings.preemption;
        let Some(stop_ms) = settings.stop_ms else {
            return;
        };
        let now = pass.now;
        self.repeat_stops(pass, views, plan);
        let is_early = |at| now.since(at) < SEARCH_INTERVAL_MS;
        if short.is_empty() || self.searched_at.is_some_and(is_early) {
            return;
        }
        self.searched_at = Some(now);
        self.recent.retain(|at| now.since(*at) < COUNT_PERIOD_MS);
        let mut search = Search {
            pass,
            views,
            stop_ms,
            room: BTreeMap::new(),
            victims: BTreeMap::new(),
        };
        let mut left = MAX_SEARCHED_TASKS;
        for waiting in short {
            let started = plan.starts.iter();
            let started = started.filter(|s| StepId::from(s.task) == waiting.id);
            let unplaced = waiting.count.saturating_sub(started.count());
            let candidates = search.candidates(waiting, decisions);
            for _ in 0..unplaced.min(left) {
                left -= 1;
                let allowed = settings.max_stops.saturating_sub(self.recent.len());
                let Some(choice) = search.choose(waiting, &candidates, &self.stopping, allowed)
                else {
                    break;
                };
                for (worker, victim) in choice {
                    self.stop(&search, waiting.id, worker, victim, plan);
                }
            }
        }
    }

    /// Drops the runs that have ended, and sends the stop orders of the others again if they are due.
    fn repeat_stops(
        &mut self,
        pass: &PlacementPass<'_>,
        views: &BTreeMap<String, WorkerView>,
        plan: &mut Plan,
    ) {
        let (state, now) = (pass.state, pass.now);
        let retry_ms = pass.settings.retry_ms;
        self.stopping.retain(|&(task, run), sent_at| {
            let known = state.task(task).filter(|t| t.run == run);
            let Some(name) = known.and_then(|t| t.worker.as_deref()) else {
                return false;
            };
            if now.since(*sent_at) >= retry_ms {
                *sent_at = now;
                plan.stops
                    .extend(stop_order(state, views, name, (task, run)));
            }
            true
        });
    }

    fn stop(
        &mut self,
        search: &Search<'_, '_>,
        urgent: StepId,
        worker: WorkerIndex,
        victim: Victim,
        plan: &mut Plan,
    ) {
        let Some(capacity) = search.pass.capacities.get(worker) else {
            return;
        };
        let state = search.pass.state;
        let order = stop_order(state, search.views, capacity.name, victim.key);
        let now = search.pass.now;
        let (task, run) = victim.key;
        self.stopping.insert(victim.key, now);
        self.recent.push_back(now);
        plan.stops.extend(order);
        plan.preempted.push(Preemption {
            task,
            run,
            worker: capacity.name.to_owned(),
            urgent,
        });
    }
}

fn stop_order(
    state: &State,
    views: &BTreeMap<String, WorkerView>,
    name: &str,
    (task, run): (TaskId, u32),
) -> Option<RunOrder> {
    let view = views.get(name)?;
    let worker = state.workers.get(name)?;
    Some(RunOrder {
        worker: name.to_owned(),
        born: view.born,
        addr: worker.incarnation.addr.clone(),
        fence: view.fence,
        task,
        run,
    })
}

impl Search<'_, '_> {
    /// Workers that may run a task of the step once they have room.
    fn candidates(&self, waiting: &WaitingStep<'_>, decisions: &Decisions) -> Vec<WorkerIndex> {
        let mut workers = self.pass.eligible_workers(waiting);
        if waiting.queue.policy.is_some() {
            let granted = decisions.get(&waiting.id).map(|d| &d.granted);
            workers.retain(|w| granted.is_some_and(|g| g.contains(w)));
        }
        workers
    }

    /// Chooses the victims that make room for one task of the step; none if a worker will have room anyway.
    /// `None` if no worker has enough victims, or there are more than `allowed`.
    fn choose(
        &mut self,
        waiting: &WaitingStep<'_>,
        candidates: &[WorkerIndex],
        stopping: &BTreeMap<(TaskId, u32), Time>,
        allowed: usize,
    ) -> Option<Vec<(WorkerIndex, Victim)>> {
        let need = waiting.step.demand();
        let mut best: Option<(u64, usize, WorkerIndex)> = None;
        for &worker in candidates {
            let mut room = self.room(worker, stopping);
            let (mut lost_ms, mut count) = (0, 0);
            let victims = self.victims(worker, stopping);
            for victim in victims
                .iter()
                .filter(|v| v.lost_ms <= waiting.step.estimate_ms)
            {
                if room.fits(&need) {
                    break;
                }
                room = room.plus(&victim.demand);
                lost_ms += victim.lost_ms;
                count += 1;
            }
            let rank = (lost_ms, count, worker);
            if room.fits(&need) && best.is_none_or(|b| rank < b) {
                best = Some(rank);
            }
            // No other worker can be cheaper.
            if room.fits(&need) && count == 0 {
                break;
            }
        }
        let (_, count, worker) = best.filter(|(_, n, _)| *n <= allowed)?;
        let victims = self.victims.get_mut(&worker)?;
        let (chosen, kept): (Vec<_>, Vec<_>) = victims
            .iter()
            .partition(|v| v.lost_ms <= waiting.step.estimate_ms);
        *victims = chosen.iter().skip(count).chain(&kept).copied().collect();
        let chosen: Vec<_> = chosen.into_iter().take(count).collect();
        let room = self.room.entry(worker).or_default();
        for victim in &chosen {
            *room = room.plus(&victim.demand);
        }
        *room = room.minus(&need);
        Some(chosen.into_iter().map(|v| (worker, v)).collect())
    }

    fn room(&mut self, worker: WorkerIndex, stopping: &BTreeMap<(TaskId, u32), Time>) -> Resources {
        let pass = self.pass;
        *self.room.entry(worker).or_insert_with(|| {
            let Some(capacity) = pass.capacities.get(worker) else {
                return Resources::default();
            };
            let runs = capacity.worker.runs.iter();
            let ending = runs.filter(|key| stopping.contains_key(*key));
            let demands = ending.filter_map(|(task, _)| Some(pass.state.step(*task)?.demand()));
            demands.fold(capacity.unreserved(), |sum, d| sum.plus(&d))
        })
    }

    /// Runs of the worker that may be stopped, those of the lowest priority and the least lost work first.
    fn victims(
        &mut self,
        worker: WorkerIndex,
        stopping: &BTreeMap<(TaskId, u32), Time>,
    ) -> &[Victim] {
        let (pass, views, stop_ms) = (self.pass, self.views, self.stop_ms);
        self.victims.entry(worker).or_insert_with(|| {
            let Some(capacity) = pass.capacities.get(worker) else {
                return Vec::new();
            };
            let view = views.get(capacity.name);
            let runs = capacity.worker.runs.iter();
            let free = runs.filter(|key| !stopping.contains_key(*key));
            let mut victims: Vec<_> = free
                .filter_map(|key| victim(pass, view?, *key, stop_ms))
                .collect();
            victims.sort_by_key(|v| (Reverse(v.priority), v.lost_ms));
            victims
        })
    }
}

/// Returns what stopping a run costs; `None` if it must not be stopped for another.
///
/// A member of a gang would end its whole gang, a lasting task would be missed, and a task that fills takes no room.
/// A run that ends within the time of a stop is left to end.
fn victim(
    pass: &PlacementPass<'_>,
    view: &WorkerView,
    key: (TaskId, u32),
    stop_ms: u64,
) -> Option<Victim> {
    let (id, _) = key;
    let job = pass.state.jobs.get(&id.job)?;
    let step = pass.state.step(id)?;
    let queue = pass.state.queue_of(job)?;
    let task = pass.state.task(id)?;
    let is_kept = step.gang || step.long_running || step.best_effort || task.run > MAX_VICTIM_RUNS;
    if queue.is_urgent() || is_kept || job.status != Status::Open {
        return None;
    }
    let ran_ms = u64::try_from(pass.wall_ms.saturating_sub(task.started_ms)).unwrap_or(0);
    let percent = view.progress.get(&key).map_or(0, |p| p.percent);
    let left_ms = match percent {
        0 => step.estimate_ms,
        _ => ran_ms.saturating_mul(100 - percent.min(100)) / percent,
    };
    (left_ms > stop_ms).then_some(Victim {
        key,
        demand: step.demand(),
        lost_ms: if step.checkpoints { 0 } else { ran_ms },
        priority: queue.priority,
    })
}

impl WaitingStep<'_> {
    /// Whether runs may be stopped for the step, which waits for this reason. A gang needs all its room at once, and
    /// the end of a job that has expired is of no use.
    pub(crate) fn may_preempt(&self, reason: WaitReason) -> bool {
        let is_short = reason == WaitReason::Capacity && self.queue.is_urgent();
        is_short && !self.step.gang && !self.expired
    }
}

impl PlacementPass<'_> {
    /// Whether the step may use the headroom of urgent queues: its runs can be stopped without a loss of work, in
    /// less time than the urgent jobs of the pool may wait.
    pub(crate) fn may_use_headroom(&self, waiting: &WaitingStep<'_>) -> bool {
        let Some(stop_ms) = self.settings.preemption.stop_ms else {
            return false;
        };
        let pool = &waiting.queue.pool;
        let urgent = self.state.queues().filter(|q| q.is_urgent());
        let waits = urgent
            .filter(|q| q.pool == *pool)
            .map(|q| q.allowance_ms)
            .min();
        let step = waiting.step;
        step.checkpoints
            && !step.gang
            && !step.long_running
            && waits.is_some_and(|ms| stop_ms <= ms)
    }
}
