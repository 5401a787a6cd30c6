//! Intake of new jobs by what the leader can start and end in its own time.
//!
//! While the leader keeps up, all jobs pass. Once its own work is delayed, the intake is limited to the rate at
//! which it ends tasks then; the limit rises again while there is no delay, and is dropped when nothing is
//! refused any more. Teams that ask share the limit by their weights. What a team leaves goes to the others, so a
//! team is refused only beyond its share.

use std::collections::BTreeMap;

use zinnia_types::Time;

use crate::Document;
use crate::JobSpec;

/// Settings of the intake of new jobs.
#[derive(Clone, Debug)]
pub struct IntakeSettings {
    /// Delay of the leader's own work, in milliseconds, from which it counts as overloaded. It is a quarter of
    /// the shortest election timeout, so that followers and workers still hear of the leader in time.
    pub max_delay_ms: u64,
    /// Lowest limit, in tasks per second.
    pub min_per_s: f64,
    /// Time in milliseconds over which the delay and the rate of ends are measured.
    pub window_ms: u64,
    /// Time in milliseconds without a refusal after which the limit is dropped.
    pub calm_ms: u64,
}

impl Default for IntakeSettings {
    fn default() -> Self {
        Self {
            max_delay_ms: 100,
            min_per_s: 20.0,
            window_ms: 500,
            calm_ms: 3_000,
        }
    }
}

/// Part of the measured rate of ends to which an overloaded leader limits the intake, so that what waits becomes
/// less.
const HEADWAY: f64 = 0.9;
/// Lowest part of the limit, or of what was asked for, that is left after a window with a delay. One window with
/// few ends, such as one in which long tasks run, must not stop the intake.
const DECREASE: f64 = 0.6;
/// Factor by which the limit rises in each window without a delay.
const INCREASE: f64 = 1.1;
/// Time in seconds for which a team may save its share. Callers come in groups.
const BURST_S: f64 = 0.5;
/// Time in milliseconds after its last request for which a team counts as one that asks.
const ASKING_MS: u64 = 1_000;
/// Most tasks that one job counts with. A large job must not exhaust its team for long.
const MAX_JOB_TASKS: f64 = 100.0;

/// A team that asks.
#[derive(Clone, Copy, Debug)]
struct TeamIntake {
    weight: f64,
    /// Tasks that it may submit now.
    tokens: f64,
    last_asked: Time,
    /// Tasks that were refused in the current window and in the one before.
    refused: [f64; 2],
}

/// The limit of the intake, and its division between the teams.
#[derive(Debug, Default)]
pub struct Intake {
    settings: IntakeSettings,
    /// Limit in tasks per second; `None` while the leader keeps up.
    limit: Option<f64>,
    teams: BTreeMap<String, TeamIntake>,
    /// Tasks that the teams have left to others.
    spare: f64,
    last_refill: Time,
    last_refusal: Time,
    window_start: Time,
    /// Longest delay in the current window.
    delay_ms: u64,
    /// Tasks that have ended, and those that callers asked to accept, in the current window.
    ended: f64,
    asked: f64,
}

impl Intake {
    /// Creates an intake without a limit.
    pub fn new(settings: IntakeSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Limit in tasks per second, if there is one.
    pub fn limit_per_s(&self) -> Option<f64> {
        self.limit
    }

    /// Whether the leader takes in less than it is asked to.
    pub fn is_limited(&self) -> bool {
        self.limit.is_some()
    }

    /// Records that tasks have ended.
    pub fn record_ends(&mut self, count: usize) {
        self.ended += count as f64;
    }

    /// Records a typical delay of the leader's work, and adapts the limit at the end of each window.
    pub fn record_delay(&mut self, delay_ms: u64, now: Time) {
        self.delay_ms = self.delay_ms.max(delay_ms);
        let elapsed_ms = now.since(self.window_start);
        if elapsed_ms < self.settings.window_ms {
            return;
        }
        // After a pause of the whole process, such as a suspension, nothing was measured.
        if elapsed_ms < self.settings.window_ms.saturating_mul(2) {
            self.adapt(elapsed_ms, now);
        }
        self.window_start = now;
        self.delay_ms = 0;
        self.ended = 0.0;
        self.asked = 0.0;
        for team in self.teams.values_mut() {
            let [current, _] = team.refused;
            team.refused = [0.0, current];
        }
    }

    fn adapt(&mut self, elapsed_ms: u64, now: Time) {
        let per_s = |count: f64| count * 1e3 / elapsed_ms.max(1) as f64;
        if self.delay_ms > self.settings.max_delay_ms {
            if self.limit.is_none() {
                self.last_refusal = now;
                self.last_refill = now;
            }
            let highest = self.limit.unwrap_or_else(|| per_s(self.asked));
            let limit = (per_s(self.ended) * HEADWAY).clamp(highest * DECREASE, highest);
            self.limit = Some(limit.max(self.settings.min_per_s));
        } else if let Some(limit) = self.limit {
            let is_calm = now.since(self.last_refusal) >= self.settings.calm_ms;
            self.limit = (!is_calm).then_some(limit * INCREASE);
            if is_calm {
                self.teams.clear();
                self.spare = 0.0;
            }
        }
    }

    /// Decides on a new job. Returns after how many milliseconds its caller may try again if it is refused.
    pub fn refuse(
        &mut self,
        document: &Document,
        team: &str,
        spec: &JobSpec,
        now: Time,
    ) -> Option<u64> {
        let cost = cost_of(spec);
        self.asked += cost;
        let limit = self.limit?;
        let weight = document.team(team).map_or(1, |t| t.weight.max(1)) as f64;
        let entry = self.teams.entry(team.to_owned());
        let entry = entry.or_insert(TeamIntake {
            weight,
            tokens: 0.0,
            last_asked: now,
            refused: [0.0; 2],
        });
        entry.weight = weight;
        entry.last_asked = now;
        self.refill(limit, now);
        let total: f64 = self.teams.values().map(|t| t.weight).sum();
        let own = self.teams.get_mut(team)?;
        // A team may overdraw its share by one job, since a job may be larger than what it can save. Tasks that are
        // to last go before other work.
        if own.tokens > 0.0 || spec.steps.iter().any(|s| s.long_running) {
            own.tokens -= cost;
            return None;
        }
        if self.spare >= cost {
            self.spare -= cost;
            return None;
        }
        let [current, previous] = &mut own.refused;
        *current += cost;
        let ahead = current.max(*previous) - own.tokens;
        let share_per_s = (limit * weight / total.max(1.0)).max(f64::MIN_POSITIVE);
        self.last_refusal = now;
        Some(to_ms(ahead / share_per_s))
    }

    /// Gives back what a job took that is refused for another reason.
    pub fn give_back(&mut self, team: &str, spec: &JobSpec) {
        if let Some(own) = self.teams.get_mut(team) {
            own.tokens += cost_of(spec);
        }
    }

    /// Adds what has become free since the last refill.
    fn refill(&mut self, limit: f64, now: Time) {
        let elapsed_s = (now.since(self.last_refill) as f64 / 1e3).min(BURST_S);
        self.last_refill = now;
        self.teams
            .retain(|_, t| now.since(t.last_asked) < ASKING_MS || t.tokens < 0.0);
        let total: f64 = self.teams.values().map(|t| t.weight).sum();
        for team in self.teams.values_mut() {
            let share_per_s = limit * team.weight / total.max(1.0);
            let tokens = team.tokens + share_per_s * elapsed_s;
            let most = share_per_s * BURST_S;
            self.spare += (tokens - most).max(0.0);
            team.tokens = tokens.min(most);
        }
        self.spare = self.spare.min(limit * BURST_S);
    }
}

/// Tasks that a job counts with.
fn cost_of(spec: &JobSpec) -> f64 {
    let tasks = spec.steps.iter().map(|s| f64::from(s.count)).sum::<f64>();
    tasks.clamp(1.0, MAX_JOB_TASKS)
}

/// Converts seconds to milliseconds, at most an hour.
fn to_ms(seconds: f64) -> u64 {
    const MAX_MS: f64 = 3_600_000.0;
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the value is within bounds"
    )]
    let ms = (seconds * 1e3).clamp(0.0, MAX_MS) as u64;
    ms
}
