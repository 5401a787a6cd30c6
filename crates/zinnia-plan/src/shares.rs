//! Weighted shares of the teams in the capacity of a pool.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::Leader;
use crate::Resources;
use crate::State;

/// Factor by which past use lowers the weight of a team at most, so that past use orders and never starves.
const MIN_PAST_FACTOR: f64 = 0.5;
/// Past use, as a part of what the weight of a team entitles it to in a half-life, below which it hardly counts. Without
/// it, the last trace of some use would lower a weight as much as the use itself did.
const MINOR_USE: f64 = 0.1;
/// Number of teams in logs, metrics and dumps.
const MAX_REPORTED_TEAMS: usize = 64;

/// The largest part that `used` takes of any resource of `capacity`. A resource without capacity does not count.
fn dominant_part(used: &Resources, capacity: &Resources) -> f64 {
    let part = |used: u64, capacity: u64| match capacity {
        0 => 0.0,
        capacity => used as f64 / capacity as f64,
    };
    part(used.cpu, capacity.cpu)
        .max(part(used.mem, capacity.mem))
        .max(part(used.gpu, capacity.gpu))
}

/// Weights of the teams, lowered by their past use, and the capacity of each pool.
#[derive(Clone, Debug, Default)]
pub(crate) struct TeamWeights {
    teams: BTreeMap<String, f64>,
    /// Weight of work without a team of the document: the mean of the others.
    other: f64,
    pools: BTreeMap<String, Resources>,
}

impl TeamWeights {
    /// Reads the weights from the document, and the capacity from the workers that accept tasks.
    pub(crate) fn new(state: &State, wall_ms: i64) -> Self {
        let mut pools: BTreeMap<String, Resources> = BTreeMap::new();
        let mut total = Resources::default();
        for worker in state.workers.values().filter(|w| state.accepts_tasks(w)) {
            let capacity = &worker.incarnation.resources;
            total = total.plus(capacity);
            match pools.get_mut(&worker.incarnation.pool) {
                Some(pool) => *pool = pool.plus(capacity),
                None => {
                    pools.insert(worker.incarnation.pool.clone(), *capacity);
                }
            }
        }
        let known = &state.document.teams;
        let weights = known.iter().map(|t| (t.name.clone(), weight_of(t.weight)));
        let mut teams: BTreeMap<String, f64> = weights.collect();
        let sum: f64 = teams.values().sum();
        let other = if teams.is_empty() {
            1.0
        } else {
            sum / teams.len() as f64
        };
        if state.counts_past_use() {
            let half_life_ms = state.past_half_life_ms() as f64;
            let part = |team: &str| {
                let past_use = state.past_use(team, wall_ms);
                dominant_part(&past_use, &total) / half_life_ms
            };
            // The mean of the parts relative to the weights, weighted by these, is the plain sum.
            let mean = teams.keys().map(|t| part(t)).sum();
            for (team, weight) in &mut teams {
                *weight *= past_factor(part(team) * sum / *weight, mean);
            }
        }
        Self {
            teams,
            other,
            pools,
        }
    }

    /// Weight of a team, lowered by its past use.
    pub(crate) fn weight(&self, team: &str) -> f64 {
        self.teams.get(team).copied().unwrap_or(self.other)
    }

    /// Capacity of the workers of a pool that accept tasks.
    pub(crate) fn capacity(&self, pool: &str) -> Resources {
        self.pools.get(pool).copied().unwrap_or_default()
    }
}

/// A team with a weight of 0 has the smallest share instead of none, so that its work starts at some time.
fn weight_of(weight: u64) -> f64 {
    weight.max(1) as f64
}

/// Factor of the weight of a team that used `used` of what its weight entitles it to, where all teams together used
/// `mean`. A team that used no more than the mean keeps its weight, and gets no more than that.
fn past_factor(used: f64, mean: f64) -> f64 {
    match used > mean {
        true => ((mean + MINOR_USE) / (used + MINOR_USE)).max(MIN_PAST_FACTOR),
        false => 1.0,
    }
}

/// Use and share of one team in one pool during a pass.
struct Lane {
    weight: f64,
    capacity: Resources,
    used: Resources,
    /// Index of the pool.
    pool: usize,
}

/// Number of a team in a pool, in [`Shares`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LaneIndex(usize);

/// Shares of the teams that have running or waiting work, by pool.
pub(crate) struct Shares<'a> {
    weights: &'a TeamWeights,
    lanes: Vec<Lane>,
    indices: BTreeMap<(&'a str, &'a str), LaneIndex>,
    /// Sum of the weights of the teams with work in each pool.
    sums: Vec<f64>,
    pools: BTreeMap<&'a str, usize>,
}

impl<'a> Shares<'a> {
    /// Creates shares without any work.
    pub(crate) fn new(weights: &'a TeamWeights) -> Self {
        Self {
            weights,
            lanes: Vec::new(),
            indices: BTreeMap::new(),
            sums: Vec::new(),
            pools: BTreeMap::new(),
        }
    }

    /// Number of a team in a pool. The team counts among those with work from then on.
    pub(crate) fn lane(&mut self, pool: &'a str, team: &'a str) -> LaneIndex {
        if let Some(lane) = self.indices.get(&(pool, team)) {
            return *lane;
        }
        let weight = self.weights.weight(team);
        let next_pool = self.sums.len();
        let pool_index = *self.pools.entry(pool).or_insert(next_pool);
        match self.sums.get_mut(pool_index) {
            Some(sum) => *sum += weight,
            None => self.sums.push(weight),
        }
        let lane = LaneIndex(self.lanes.len());
        self.lanes.push(Lane {
            weight,
            capacity: self.weights.capacity(pool),
            used: Resources::default(),
            pool: pool_index,
        });
        self.indices.insert((pool, team), lane);
        lane
    }

    /// Adds resources that tasks of the team use.
    pub(crate) fn add(&mut self, lane: LaneIndex, used: &Resources) {
        if let Some(lane) = self.lanes.get_mut(lane.0) {
            lane.used = lane.used.plus(used);
        }
    }

    /// Part of the pool's capacity that the team uses, relative to what its weight entitles it to among the teams
    /// with work: 1 if it uses as much as that.
    pub(crate) fn share(&self, lane: LaneIndex) -> f64 {
        let Some(lane) = self.lanes.get(lane.0) else {
            return 0.0;
        };
        let sum = self.sums.get(lane.pool).copied().unwrap_or(lane.weight);
        dominant_part(&lane.used, &lane.capacity) * sum / lane.weight
    }
}

/// What a team uses and has used, for logs, metrics and dumps.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TeamShare {
    /// Name of the team.
    pub team: String,
    /// Its weight in the document.
    pub weight: u64,
    /// Its weight after past use has lowered it.
    pub lowered: f64,
    /// Largest part of any resource of the cell that its running tasks use.
    pub used: f64,
    /// Its past use, as the time in milliseconds for which it would have used the whole cell.
    pub past_ms: f64,
}

impl Leader {
    /// What the teams of the document use and have used, for the first 64 by name. Empty unless weights
    /// order waiting work.
    pub fn team_shares(&self, state: &State, wall_ms: i64) -> Vec<TeamShare> {
        if !self.settings.order.weighted {
            return Vec::new();
        }
        let weights = TeamWeights::new(state, wall_ms);
        let total = weights
            .pools
            .values()
            .fold(Resources::default(), |sum, pool| sum.plus(pool));
        let teams = weights.teams.keys().take(MAX_REPORTED_TEAMS);
        let share = |team: &String| TeamShare {
            team: team.clone(),
            weight: state.document.team(team).map_or(0, |t| t.weight),
            lowered: weights.weight(team),
            used: dominant_part(&state.usage.get(team).copied().unwrap_or_default(), &total),
            past_ms: dominant_part(&state.past_use(team, wall_ms), &total),
        };
        teams.map(share).collect()
    }
}
