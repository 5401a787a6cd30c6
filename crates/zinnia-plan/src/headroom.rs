//! Headroom: capacity that queues of low priority leave free for urgent ones.
//!
//! With headroom a burst of urgent jobs starts without delay, while jobs of low priority may take
//! several times their run time. It is kept in each pool with an urgent queue, and within the limit
//! of each team that submits urgent jobs: a team at its limit could start none, however much of the
//! pool is free.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use zinnia_types::Time;

use crate::Document;
use crate::Leader;
use crate::Queue;
use crate::State;
use crate::Status;
use crate::placement::PlacementPass;
use crate::waiting::WaitingStep;

/// Priority value of urgent queues.
const URGENT_PRIORITY: u32 = 0;
/// Lowest priority value of the queues that leave headroom.
const HEADROOM_PRIORITY: u32 = 2;
/// Share of a capacity, in percent, that stays free as headroom.
const HEADROOM_PERCENT: u64 = 20;
/// Time after its last open urgent job in which a team keeps headroom for the next one.
const TEAM_HEADROOM_MS: u64 = 10_000;

impl Queue {
    /// Whether tasks of the queue start before those of all other queues.
    pub(crate) fn is_urgent(&self) -> bool {
        self.priority == URGENT_PRIORITY
    }
}

/// Teams with urgent jobs, and when each last had one that was open.
pub(crate) type UrgentTeams = BTreeMap<String, Time>;

/// Who may need headroom in a placement pass.
pub(crate) struct UrgentWork<'a> {
    /// Pools with an urgent queue.
    pools: BTreeSet<&'a str>,
    teams: &'a UrgentTeams,
}

impl<'a> UrgentWork<'a> {
    pub(crate) fn new(document: &'a Document, teams: &'a UrgentTeams) -> Self {
        let urgent = document.queues.iter().filter(|q| q.is_urgent());
        Self {
            pools: urgent.map(|q| q.pool.as_str()).collect(),
            teams,
        }
    }
}

impl Leader {
    /// Records which teams have open urgent jobs.
    pub(crate) fn update_urgent_teams(&mut self, state: &State, now: Time) {
        let queues = state.document.queues.iter();
        let urgent: BTreeSet<&str> = queues
            .filter(|q| q.is_urgent())
            .map(|q| q.name.as_str())
            .collect();
        let live = state.live.iter().filter_map(|id| state.jobs.get(id));
        for job in live.filter(|j| j.status == Status::Open) {
            if urgent.contains(job.queue.as_str()) {
                self.urgent_teams.insert(job.team.clone(), now);
            }
        }
        self.urgent_teams
            .retain(|_, seen| now.since(*seen) < TEAM_HEADROOM_MS);
    }
}

/// Whether less than the headroom is free. A total of 0 means no limit.
fn is_below_headroom(free: u64, total: u64) -> bool {
    u128::from(free) * 100 < u128::from(total) * u128::from(HEADROOM_PERCENT)
}

impl<'a> PlacementPass<'a> {
    /// Whether the step must leave the remaining capacity to urgent queues.
    pub(crate) fn must_leave_headroom(&mut self, waiting: &WaitingStep<'a>) -> bool {
        waiting.queue.priority >= HEADROOM_PRIORITY
            && (self.is_pool_tight(waiting) || self.is_team_tight(waiting))
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

    fn is_team_tight(&mut self, waiting: &WaitingStep<'a>) -> bool {
        let name = waiting.job.team.as_str();
        let Some(team) = self.state.document.team(name) else {
            return false;
        };
        if !self.urgent.teams.contains_key(name) {
            return false;
        }
        let free = team.cap.minus(self.team_usage(name));
        is_below_headroom(free.cpu, team.cap.cpu)
    }
}
