//! Past use of the teams: what their tasks used, weighted by how long ago that was.
//!
//! Amounts are part of the replicated state. They change only with log entries, by integer arithmetic, so that all
//! members hold the same ones whatever their processors.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::OrderSettings;
use crate::Resources;
use crate::State;

/// Steps in which an amount decays within a half-life.
const STEPS_PER_HALF_LIFE: u64 = 64;
/// Factor of one step, the 64th root of one half, as a fixed-point number.
const STEP_FACTOR: u128 = 4_248_701_965;
/// Number of fractional bits of [`STEP_FACTOR`].
const FACTOR_BITS: u32 = 32;
/// Number of steps after which nothing of an amount counts any more: 16 half-lives.
const MAX_STEPS: u64 = 16 * STEPS_PER_HALF_LIFE;
/// Number of teams whose past use is kept.
const MAX_TEAMS: usize = 1_000;

/// Resources multiplied by milliseconds of use, for each team.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PastUse {
    /// Half-life that the settings of the leader last set; 0 if past use does not count.
    #[serde(default)]
    setting_ms: u64,
    /// Half-life in force, of the document or else of the settings; 0 if past use does not count.
    half_life_ms: u64,
    /// When the amounts last decayed, in milliseconds since the Unix epoch.
    decayed_ms: i64,
    /// Time up to which the use of running tasks is charged.
    charged_ms: i64,
    teams: BTreeMap<String, Resources>,
}

impl PastUse {
    /// Whether nothing is kept, so that the state need not contain it.
    pub(crate) fn is_empty(&self) -> bool {
        self.setting_ms == 0 && self.half_life_ms == 0
    }

    /// Length of the steps in which amounts decay.
    fn step_ms(&self) -> u64 {
        (self.half_life_ms / STEPS_PER_HALF_LIFE).max(1)
    }

    /// Puts a half-life in force; 0 forgets all past use.
    fn set_half_life(&mut self, half_life_ms: u64, at_ms: i64) {
        if self.half_life_ms == half_life_ms {
            return;
        }
        if self.half_life_ms == 0 || half_life_ms == 0 {
            self.teams.clear();
            self.charged_ms = at_ms;
        }
        self.half_life_ms = half_life_ms;
        self.decayed_ms = at_ms;
    }

    /// Charges the use of the tasks that ran until `at_ms`, and lets the amounts decay.
    fn advance(&mut self, at_ms: i64, usage: &BTreeMap<String, Resources>) {
        if self.half_life_ms == 0 {
            return;
        }
        let step_ms = self.step_ms();
        let length_ms = i64::try_from(step_ms).unwrap_or(i64::MAX);
        let oldest_ms = at_ms.saturating_sub(length_ms.saturating_mul(MAX_STEPS as i64));
        self.decayed_ms = self.decayed_ms.max(oldest_ms);
        self.charged_ms = self.charged_ms.max(oldest_ms);
        while at_ms.saturating_sub(self.decayed_ms) >= length_ms {
            self.decayed_ms += length_ms;
            self.charge(self.decayed_ms, usage);
            self.decay();
        }
        self.charge(at_ms, usage);
    }

    /// Charges the use of running tasks up to `at_ms`.
    fn charge(&mut self, at_ms: i64, usage: &BTreeMap<String, Resources>) {
        let Some(ms) = elapsed_ms(self.charged_ms, at_ms) else {
            return;
        };
        self.charged_ms = at_ms;
        for (team, used) in usage.iter().filter(|(_, u)| **u != Resources::default()) {
            if let Some(amount) = self.teams.get_mut(team) {
                *amount = amount.plus(&used.times(ms));
            } else if self.teams.len() < MAX_TEAMS {
                self.teams.insert(team.clone(), used.times(ms));
            }
        }
    }

    fn decay(&mut self) {
        let decayed = |amount: u64| {
            let product = u128::from(amount) * STEP_FACTOR;
            u64::try_from(product >> FACTOR_BITS).unwrap_or(u64::MAX)
        };
        for amount in self.teams.values_mut() {
            *amount = Resources {
                cpu: decayed(amount.cpu),
                mem: decayed(amount.mem),
                gpu: decayed(amount.gpu),
            };
        }
        self.teams
            .retain(|_, amount| *amount != Resources::default());
    }
}

/// Time between two readings of the clock, if it is positive.
fn elapsed_ms(from_ms: i64, to_ms: i64) -> Option<u64> {
    let ms = u64::try_from(to_ms.saturating_sub(from_ms)).ok()?;
    (ms > 0).then_some(ms)
}

impl State {
    /// The half-life of past use that an entry of the leader should contain, if the state does not know it yet.
    /// All members must apply the same one, so the settings of a member count only through the log.
    pub fn past_use_change(&self, settings: &OrderSettings) -> Option<u64> {
        let setting_ms = settings.past_use_ms.unwrap_or(0);
        (setting_ms != self.past_use.setting_ms).then_some(setting_ms)
    }

    /// Charges the use of the tasks that ran until now. `setting_ms` is the half-life of the entry.
    pub(crate) fn advance_past_use(&mut self, setting_ms: Option<u64>) {
        if let Some(ms) = setting_ms {
            self.past_use.setting_ms = ms;
        }
        let half_life_ms = self
            .document
            .past_use_ms
            .unwrap_or(self.past_use.setting_ms);
        self.past_use.set_half_life(half_life_ms, self.at_ms);
        self.past_use.advance(self.at_ms, &self.usage);
    }

    /// Forgets the past use of teams that neither the document nor an open job names any more.
    pub(crate) fn forget_removed_teams(&mut self) {
        let mut past_use = std::mem::take(&mut self.past_use);
        past_use
            .teams
            .retain(|team, _| team.is_empty() || self.team(team).is_some());
        self.past_use = past_use;
    }

    /// Whether past use counts.
    pub fn counts_past_use(&self) -> bool {
        self.past_use.half_life_ms > 0
    }

    /// Half-life of past use; 0 if it does not count.
    pub(crate) fn past_half_life_ms(&self) -> u64 {
        self.past_use.half_life_ms
    }

    /// Past use of a team at `wall_ms`: resources multiplied by milliseconds, decayed. Includes the tasks that run.
    pub fn past_use(&self, team: &str, wall_ms: i64) -> Resources {
        if !self.counts_past_use() {
            return Resources::default();
        }
        let ended = self.past_use.teams.get(team).copied().unwrap_or_default();
        let running = self.usage.get(team).copied().unwrap_or_default();
        let since_ms = elapsed_ms(self.past_use.charged_ms, wall_ms).unwrap_or(0);
        ended.plus(&running.times(since_ms.min(self.past_use.half_life_ms)))
    }
}
