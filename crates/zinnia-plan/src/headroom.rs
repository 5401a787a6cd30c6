//! Headroom: capacity that queues of low priority leave free for urgent ones.
//!
//! With headroom a burst of urgent jobs starts without delay, while jobs of low priority may take
//! several times their run time. It is kept in each pool with an urgent queue, and within the limit
//! of each team that submits urgent jobs: a team at its limit could start none, however much of the
//! pool is free. A team's headroom is what its urgent jobs recently needed at the same time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use zinnia_types::Time;

use crate::Leader;
use crate::Queue;
use crate::Resources;
use crate::Route;
use crate::State;
use crate::Status;
use crate::feasibility::Feasibility;
use crate::placement::PlacementPass;
use crate::waiting::WaitingStep;

/// Priority value of urgent queues.
const URGENT_PRIORITY: u32 = 0;
/// Lowest priority value of the queues that leave headroom.
const HEADROOM_PRIORITY: u32 = 2;
/// Share of a capacity, in percent, that stays free as headroom.
const HEADROOM_PERCENT: u64 = 20;
/// Length of a window of which the peak demand of a team's urgent jobs is kept. Headroom follows the
/// current window and the one before.
const DEMAND_WINDOW_MS: u64 = 5_000;
/// Part of a team's limit, as a divisor, that headroom takes at most. The rest is for other jobs.
const MAX_HEADROOM_DIVISOR: u64 = 2;
/// Part of its expiry time, as a divisor, after which a job no longer leaves headroom in the limit
/// of its team, so that it is not delayed for ever. Jobs that never expire leave none.
const MAX_YIELD_DIVISOR: i64 = 4;

impl Queue {
    /// Whether tasks of the queue start before those of all other queues.
    pub(crate) fn is_urgent(&self) -> bool {
        self.priority == URGENT_PRIORITY
    }
}

/// Recent demand of a team's urgent jobs.
#[derive(Debug, Default)]
pub(crate) struct UrgentDemand {
    /// Start of the current window.
    window_start: Time,
    /// Peaks in the current window and in the one before.
    peaks: [Resources; 2],
    current: CurrentDemand,
}

/// What a team's urgent jobs need at a time.
#[derive(Clone, Copy, Debug, Default)]
struct CurrentDemand {
    /// For their waiting tasks and their runs.
    total: Resources,
    /// For their runs.
    used: Resources,
}

impl UrgentDemand {
    /// Moves on to the window of `now`.
    fn advance(&mut self, now: Time) {
        let age_ms = now.since(self.window_start);
        if age_ms < DEMAND_WINDOW_MS {
            return;
        }
        let [current, _] = self.peaks;
        let previous = match age_ms < 2 * DEMAND_WINDOW_MS {
            true => current,
            false => Resources::default(),
        };
        self.peaks = [Resources::default(), previous];
        self.window_start = now;
    }

    /// What the team's urgent jobs are likely to need beside what they use.
    fn reserve(&self, limit: &Resources, used: &Resources) -> Resources {
        let [current, previous] = &self.peaks;
        let reserve = |peak: u64, limit: u64| peak.min(limit / MAX_HEADROOM_DIVISOR);
        let peak = current.max(previous);
        let reserved = Resources {
            cpu: reserve(peak.cpu, limit.cpu),
            mem: reserve(peak.mem, limit.mem),
            gpu: reserve(peak.gpu, limit.gpu),
        };
        reserved.minus(used)
    }
}

/// Demand of the urgent jobs of each team that recently had any.
pub(crate) type UrgentTeams = BTreeMap<String, UrgentDemand>;

/// Who may need headroom in a placement pass.
pub(crate) struct UrgentWork<'a> {
    /// Pools with an urgent queue.
    pools: BTreeSet<&'a str>,
    teams: &'a UrgentTeams,
    /// What urgent tasks started in this pass use, by team.
    started: BTreeMap<&'a str, Resources>,
}

impl<'a> UrgentWork<'a> {
    pub(crate) fn new(state: &'a State, teams: &'a UrgentTeams) -> Self {
        let urgent = state.queues().filter(|q| q.is_urgent());
        Self {
            pools: urgent.map(|q| q.pool.as_str()).collect(),
            teams,
            started: BTreeMap::new(),
        }
    }

    /// Records that an urgent task starts in this pass.
    pub(crate) fn record_start(&mut self, team: &'a str, resources: &Resources) {
        let started = self.started.entry(team).or_default();
        *started = started.plus(resources);
    }
}

impl Leader {
    /// Records the demand of each team's urgent jobs.
    pub(crate) fn update_urgent_teams(
        &mut self,
        state: &State,
        feasibility: &Feasibility<'_>,
        now: Time,
    ) {
        let queues = state.queues().filter(|q| q.is_urgent());
        let urgent: BTreeMap<Route, &Queue> = queues.map(|q| (q.route(), q)).collect();
        let mut demands: BTreeMap<&str, CurrentDemand> = BTreeMap::new();
        let live = state.live.iter().filter_map(|id| state.jobs.get(id));
        for job in live.filter(|j| j.status == Status::Open) {
            let Some(queue) = job.route.as_ref().and_then(|r| urgent.get(r)) else {
                continue;
            };
            let demand = demands.entry(&job.team).or_default();
            for (step, tasks) in job.ready_steps(state.at_ms) {
                let running = u64::from(tasks.assigned);
                let open = match feasibility.can_start(job, queue, step, None) {
                    true => u64::from(step.count).saturating_sub(u64::from(tasks.done)),
                    false => running,
                };
                demand.total = demand.total.plus(&step.resources.times(open));
                demand.used = demand.used.plus(&step.resources.times(running));
            }
        }
        for team in demands.keys() {
            self.urgent_teams.entry((*team).to_owned()).or_default();
        }
        for (team, demand) in &mut self.urgent_teams {
            demand.advance(now);
            demand.current = demands.get(team.as_str()).copied().unwrap_or_default();
            let [peak, _] = &mut demand.peaks;
            *peak = peak.max(&demand.current.total);
        }
        self.urgent_teams
            .retain(|_, d| d.peaks.iter().any(|p| *p != Resources::default()));
    }
}

/// Whether less than the headroom is free. A total of 0 means no limit.
fn is_below_headroom(free: u64, total: u64) -> bool {
    u128::from(free) * 100 < u128::from(total) * u128::from(HEADROOM_PERCENT)
}

impl WaitingStep<'_> {
    /// Whether the job has waited for so short a time that it leaves headroom in the limit of its team.
    pub(crate) fn leaves_team_headroom(&self, wall_ms: i64) -> bool {
        let waited_ms = wall_ms - self.job.accepted_ms;
        i64::try_from(self.expiry_ms).is_ok_and(|ms| waited_ms < ms / MAX_YIELD_DIVISOR)
    }
}

impl<'a> PlacementPass<'a> {
    /// Whether the step must leave the remaining capacity of its pool to urgent queues. Tasks that are to
    /// last must not wait for a quieter time, since they run again within a bound.
    pub(crate) fn must_leave_headroom(&self, waiting: &WaitingStep<'a>) -> bool {
        waiting.queue.priority >= HEADROOM_PRIORITY
            && !waiting.step.long_running
            && self.is_pool_tight(waiting)
            && !self.may_use_headroom(waiting)
    }

    fn is_pool_tight(&self, waiting: &WaitingStep<'_>) -> bool {
        let name = waiting.queue.pool.as_str();
        let Some(pool) = self.capacities.pool(name) else {
            return false;
        };
        let needs_gpu = waiting.step.resources.gpu > 0;
        self.urgent.pools.contains(name)
            && (is_below_headroom(pool.free.cpu, pool.total.cpu)
                || (needs_gpu && is_below_headroom(pool.free.gpu, pool.total.gpu)))
    }

    /// What the step must leave of its team's limit to urgent jobs of the team.
    pub(crate) fn team_headroom(&self, waiting: &WaitingStep<'a>, limit: &Resources) -> Resources {
        let team = waiting.job.team.as_str();
        let demand = self.urgent.teams.get(team);
        let Some(demand) = demand.filter(|_| waiting.queue.priority >= HEADROOM_PRIORITY) else {
            return Resources::default();
        };
        if !waiting.leaves_team_headroom(self.wall_ms) {
            return Resources::default();
        }
        let started = self.urgent.started.get(team).copied().unwrap_or_default();
        demand.reserve(limit, &demand.current.used.plus(&started))
    }
}
