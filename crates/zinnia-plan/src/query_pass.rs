//! Ranked queries: what the steps in front have claimed, and which workers a query names.

use std::collections::BTreeMap;

use zinnia_types::Time;

use crate::Leader;
use crate::Policy;
use crate::QuerySettings;
use crate::QueueStats;
use crate::Resources;
use crate::State;
use crate::capacity::WorkerCapacity;
use crate::forecast::Forecast;
use crate::placement::PlacementPass;
use crate::policy::PolicyDecisions;
use crate::policy_stats::PolicyStats;
use crate::query::MAX_QUERY_WORKERS;
use crate::query_rate::QueryRate;
use crate::waiting::WaitingStep;
use crate::worker_index::WorkerIndex;
use crate::worker_view::current_workers;

/// Part of the validity of a ticket, as a divisor, by which a query may be early. Runs end earlier or later than
/// forecast, and a ticket that waits for room costs nothing until it expires.
const EARLY_DIVISOR: u64 = 4;
/// How often the steps in front may claim what a pool frees before later steps are not queried. Above 1, since
/// free room may be too scattered for large tasks, and smaller ones behind them can use it.
const MAX_CLAIMS: u64 = 2;

/// State of the queries that a leader keeps between passes.
#[derive(Debug)]
pub(crate) struct QueryState {
    pub(crate) stats: PolicyStats,
    rate: QueryRate,
    forecast: Forecast,
}

impl QueryState {
    pub(crate) fn new(settings: &QuerySettings) -> Self {
        Self {
            stats: PolicyStats::default(),
            rate: QueryRate::new(settings.max_per_s),
            forecast: Forecast::default(),
        }
    }

    /// Begins a placement pass.
    pub(crate) fn pass<'a>(&'a mut self, settings: &QuerySettings, now: Time) -> QueryPass<'a> {
        self.rate.fill(now);
        QueryPass {
            ranked: settings.ranked,
            stats: &mut self.stats,
            rate: &mut self.rate,
            forecast: &self.forecast,
            claimed: BTreeMap::new(),
            pool_claims: BTreeMap::new(),
            full: Vec::new(),
        }
    }
}

impl Leader {
    /// Values that the leader has learned about the queries of each queue.
    pub fn query_stats(&self) -> impl Iterator<Item = (&str, &QueueStats)> {
        self.queries.stats.iter()
    }

    /// Makes the forecast of the ends of runs anew if it is due.
    pub(crate) fn update_forecast(&mut self, state: &State, now: Time, wall_ms: i64) {
        let forecast = &mut self.queries.forecast;
        if !self.settings.queries.ranked || !forecast.is_due(now) {
            return;
        }
        forecast.clear(self.indices.len(), now);
        for (_, view, worker) in current_workers(&mut self.views, state) {
            forecast.add(state, view, worker.runs.iter().copied(), now, wall_ms);
        }
    }
}

/// A pool in which no worker has room for a task by a time.
struct FullPool<'a> {
    pool: &'a str,
    need: Resources,
    at: Time,
}

/// State of the queries in one placement pass.
pub(crate) struct QueryPass<'a> {
    pub(crate) ranked: bool,
    pub(crate) stats: &'a mut PolicyStats,
    pub(crate) rate: &'a mut QueryRate,
    pub(crate) forecast: &'a Forecast,
    /// Room for which a ticket of a step in front is asked.
    claimed: BTreeMap<WorkerIndex, Resources>,
    /// What the steps in front wait for, by pool.
    pool_claims: BTreeMap<&'a str, Resources>,
    full: Vec<FullPool<'a>>,
}

/// A worker that may get tasks of a step with a new ticket.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    pub(crate) worker: WorkerIndex,
    /// Number of tasks for which it has room.
    pub(crate) slots: u64,
    /// Whether the policy has granted it before.
    pub(crate) granted: bool,
}

/// Workers that may get tasks of a step by some time.
#[derive(Debug, Default)]
pub(crate) struct Candidates {
    /// Workers about which the policy can be queried, best first.
    pub(crate) list: Vec<Candidate>,
    /// Number of tasks for which there is room with the tickets, or grants, that the step has.
    pub(crate) covered: u64,
}

impl Candidates {
    /// Number of tasks that are likely to get a worker if all candidates are named.
    pub(crate) fn expected(&self, share: f64) -> f64 {
        let slots = |c: &Candidate| c.slots as f64 * c.chance(share);
        self.covered as f64 + self.list.iter().map(slots).sum::<f64>()
    }

    /// The first candidates that are enough for `count` tasks: the expected number of tasks that get a worker
    /// exceeds `count` by `margin` standard deviations.
    pub(crate) fn sufficient(&self, count: u64, share: f64, margin: f64) -> Vec<WorkerIndex> {
        let count = count.saturating_sub(self.covered);
        let mut named = Vec::new();
        let (mut mean, mut variance) = (0.0, 0.0_f64);
        for candidate in &self.list {
            if mean - margin * variance.sqrt() >= count as f64 {
                break;
            }
            let slots = candidate.slots.min(count) as f64;
            let chance = candidate.chance(share);
            mean += slots * chance;
            variance += slots * slots * chance * (1.0 - chance);
            named.push(candidate.worker);
        }
        named
    }
}

impl Candidate {
    /// Probability that the policy grants the worker. Its decisions do not change.
    fn chance(&self, share: f64) -> f64 {
        if self.granted { 1.0 } else { share }
    }
}

impl<'a> PlacementPass<'a> {
    /// When the answer to a query about this many workers is likely to arrive.
    pub(crate) fn answer_at(
        &self,
        waiting: &WaitingStep<'_>,
        policy: &Policy,
        workers: usize,
    ) -> Time {
        let delay_ms = self.queries.stats.get(&waiting.queue.name).delay_ms();
        let query_ms = policy.cost_ms(workers.min(MAX_QUERY_WORKERS));
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a mean of times of answers, which is not negative"
        )]
        let delay_ms = delay_ms as u64;
        self.now.after(query_ms.saturating_add(delay_ms))
    }

    /// By when a worker must have room to be named in a query that is sent now.
    pub(crate) fn query_horizon(&self, waiting: &WaitingStep<'_>, policy: &Policy) -> Time {
        let answer_at = self.answer_at(waiting, policy, MAX_QUERY_WORKERS);
        answer_at.after(policy.valid_ms / EARLY_DIVISOR)
    }

    /// Whether `count` tasks of the step are likely to find room by `at` behind what waits in front of them.
    ///
    /// Until then a pool frees the part of its resources that its tasks give back in this time; for their run
    /// time that of the step counts. This costs far less than looking at all workers.
    pub(crate) fn is_in_turn(&mut self, waiting: &WaitingStep<'a>, count: u64, at: Time) -> bool {
        let Some(pool) = self.capacities.pool(&waiting.queue.pool) else {
            return false;
        };
        let wait_ms = at.since(self.now).max(1);
        let run_ms = waiting.step.estimate_ms.max(wait_ms);
        let total = pool.total.times(MAX_CLAIMS);
        let freed = |total: u64| {
            let part = u128::from(total) * u128::from(wait_ms) / u128::from(run_ms);
            u64::try_from(part).unwrap_or(u64::MAX)
        };
        let freed = Resources {
            cpu: freed(total.cpu),
            mem: freed(total.mem),
            gpu: freed(total.gpu),
        };
        let claims = self.queries.pool_claims.entry(&waiting.queue.pool);
        let claims = claims.or_default();
        let is_in_turn = freed.fits(claims);
        *claims = claims.plus(&waiting.step.demand().times(count));
        is_in_turn
    }

    /// What a worker is likely to have free at `at`, less what is reserved and claimed.
    pub(crate) fn room_by(
        &self,
        capacity: &WorkerCapacity<'_>,
        worker: WorkerIndex,
        at: Time,
    ) -> Resources {
        let claimed = self.queries.claimed.get(&worker).copied();
        let freed = self.queries.forecast.freed_by(worker, at);
        let total = capacity.worker.incarnation.resources;
        let room = capacity.free.plus(&freed).min(&total);
        room.minus(&capacity.reserved)
            .minus(&claimed.unwrap_or_default())
    }

    /// Workers that are likely to have room for tasks of the step by `at`. `covered` tells on which of them tasks
    /// can start without a further query.
    pub(crate) fn candidates(
        &mut self,
        waiting: &WaitingStep<'a>,
        decisions: &PolicyDecisions,
        at: Time,
        covered: impl Fn(WorkerIndex) -> bool,
    ) -> Candidates {
        let need = waiting.step.demand();
        let mut candidates = Candidates::default();
        let pool_name = waiting.queue.pool.as_str();
        let Some(pool) = self.capacities.pool(pool_name) else {
            return candidates;
        };
        let is_full = |f: &FullPool<'_>| f.pool == pool_name && need.fits(&f.need) && at <= f.at;
        if self.queries.full.iter().any(is_full) {
            return candidates;
        }
        let task_counts = self.tasks_per_worker(waiting);
        let mut rows = Vec::new();
        let mut has_room = false;
        for &worker in &pool.workers {
            let Some(capacity) = self.capacities.get(worker) else {
                continue;
            };
            let fitting = self.room_by(capacity, worker, at).count_of(&need);
            has_room |= fitting > 0;
            let on_worker = task_counts.get(&worker).copied().unwrap_or_default();
            let allowed = waiting.step.max_per_worker().saturating_sub(on_worker);
            let slots = fitting.min(u64::from(allowed));
            if slots == 0 || decisions.denied.contains(&worker) {
                continue;
            }
            let Some(suitability) = self.suitability(waiting, capacity) else {
                continue;
            };
            if covered(worker) {
                candidates.covered = candidates.covered.saturating_add(slots);
            } else if !decisions.queried.contains(&worker) {
                let granted = decisions.granted.contains(&worker);
                let is_later = !capacity.unreserved().fits(&need);
                let candidate = Candidate {
                    worker,
                    slots,
                    granted,
                };
                rows.push(((is_later, !granted, suitability, worker), candidate));
            }
        }
        if !has_room {
            self.queries.full.push(FullPool {
                pool: pool_name,
                need,
                at,
            });
        }
        rows.sort_unstable_by_key(|(key, _)| *key);
        candidates.list = rows.into_iter().map(|(_, c)| c).collect();
        candidates
    }

    /// Keeps later steps from asking for the room that `count` tasks of this step are likely to take.
    pub(crate) fn claim(
        &mut self,
        waiting: &WaitingStep<'_>,
        workers: &[WorkerIndex],
        mut count: u64,
        at: Time,
    ) {
        let need = waiting.step.demand();
        for &worker in workers {
            let Some(capacity) = self.capacities.get(worker) else {
                continue;
            };
            let fitting = self.room_by(capacity, worker, at).count_of(&need);
            let slots = fitting
                .min(u64::from(waiting.step.max_per_worker()))
                .min(count);
            if slots > 0 {
                let claimed = self.queries.claimed.entry(worker).or_default();
                *claimed = claimed.plus(&need.times(slots));
                count -= slots;
            }
        }
    }
}
