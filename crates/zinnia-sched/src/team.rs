//! Teams: shares, allotments, use and queues.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use zinnia_types::AttemptId;
use zinnia_types::Document;
use zinnia_types::JobId;
use zinnia_types::Resources;
use zinnia_types::TeamId;
use zinnia_types::Time;
use zinnia_types::Urgency;

use crate::policy::Quota;
use crate::policy::SplitFn;
use crate::policy::TeamShare;
use crate::queue::TeamQueue;
use crate::settings::RetrySettings;

/// Attempts that may be checkpointed, the least urgent and then the youngest first.
pub(crate) type PreemptionOrder = BTreeSet<(Urgency, Reverse<Time>, AttemptId)>;

/// One team in this domain.
#[derive(Debug)]
pub(crate) struct Team {
    pub(crate) id: TeamId,
    pub(crate) share: u32,
    /// Fleet-wide limit; `None` until a document names the team.
    pub(crate) limit: Option<Resources>,
    pub(crate) allotment: Resources,
    pub(crate) portion: Quota,
    /// Part of the cell that it should use now, given what the others run and wait for.
    pub(crate) fair_share: f64,
    pub(crate) used: Resources,
    /// Part of `used` whose attempts were told to stop.
    pub(crate) stopping: Resources,
    /// Needs of tasks that wait.
    pub(crate) queued_need: Resources,
    pub(crate) queue: TeamQueue,
    pub(crate) preemptible: PreemptionOrder,
    /// Gangs that may be checkpointed as a whole, with what their running tasks use.
    pub(crate) preemptible_gangs: BTreeMap<JobId, Resources>,
    /// Part of the allotment that a gang waits for.
    pub(crate) gang_reservation: Option<(JobId, Resources)>,
    /// Since when it has been short of its share.
    pub(crate) short_since: Option<Time>,
    /// What was last announced as wanted, and when.
    pub(crate) last_demand: Option<(Resources, Time)>,
    retry_tokens: f64,
    tokens_updated: Time,
}

impl Team {
    fn new(id: TeamId) -> Self {
        Self {
            id,
            share: 0,
            limit: None,
            allotment: Resources::ZERO,
            portion: Quota {
                fraction: 0.0,
                may_borrow: true,
            },
            fair_share: 0.0,
            used: Resources::ZERO,
            stopping: Resources::ZERO,
            queued_need: Resources::ZERO,
            queue: TeamQueue::default(),
            preemptible: PreemptionOrder::new(),
            preemptible_gangs: BTreeMap::new(),
            gang_reservation: None,
            short_since: None,
            last_demand: None,
            retry_tokens: 0.0,
            tokens_updated: Time(0),
        }
    }

    /// What it may still start, given the capacity of workers that have not reported.
    pub(crate) fn available(&self, unreported: &Resources, job: JobId) -> Resources {
        let used = self.used + *unreported;
        let kept = match self.gang_reservation {
            Some((owner, amount)) if owner != job => amount,
            _ => Resources::ZERO,
        };
        self.allotment.saturating_sub(&(used + kept))
    }

    /// Use relative to its portion of `total`; the lowest is served first.
    pub(crate) fn usage_ratio(&self, total: &Resources) -> f64 {
        let used = self.used.dominant(total);
        if self.portion.fraction > 0.0 {
            used / self.portion.fraction
        } else {
            f64::MAX
        }
    }

    /// Takes one retry out of the team's budget, or says how many milliseconds are missing to it.
    pub(crate) fn take_retry(&mut self, set: &RetrySettings, now: Time) -> u64 {
        let earned = now.since(self.tokens_updated) as f64 / set.refill_interval.max(1) as f64;
        self.retry_tokens = (self.retry_tokens + earned).min(f64::from(set.burst_size));
        self.tokens_updated = now;
        self.retry_tokens -= 1.0;
        if self.retry_tokens >= 0.0 {
            return 0;
        }
        (-self.retry_tokens * set.refill_interval as f64) as u64
    }
}

/// All teams, in slots.
#[derive(Debug, Default)]
pub(crate) struct Teams {
    pub(crate) list: Vec<Team>,
    slots: HashMap<TeamId, usize>,
}

impl Teams {
    /// Slot of a team, which is created without any allotment when it is new.
    pub(crate) fn slot(&mut self, id: TeamId, set: &RetrySettings) -> usize {
        if let Some(&slot) = self.slots.get(&id) {
            return slot;
        }
        let mut team = Team::new(id);
        team.retry_tokens = f64::from(set.burst_size);
        self.list.push(team);
        self.slots.insert(id, self.list.len() - 1);
        self.list.len() - 1
    }

    pub(crate) fn get(&self, id: TeamId) -> Option<&Team> {
        self.slots.get(&id).map(|&slot| &self.list[slot])
    }

    /// Takes shares and limits over. Teams that the document no longer names may start nothing.
    pub(crate) fn apply(&mut self, document: &Document, split: &SplitFn, set: &RetrySettings) {
        for team in &mut self.list {
            team.share = 0;
            team.limit = Some(Resources::ZERO);
        }
        for named in &document.teams {
            let slot = self.slot(named.name, set);
            let team = &mut self.list[slot];
            team.share = named.share;
            team.limit = Some(named.limit);
        }
        let shares = document.teams.iter().map(|t| u64::from(t.share)).sum();
        for team in &mut self.list {
            let member = TeamShare {
                share: team.share,
                total_shares: shares,
                team_count: document.teams.len(),
            };
            team.portion = if team.share == 0 {
                Quota {
                    fraction: 0.0,
                    may_borrow: true,
                }
            } else {
                split(&member)
            };
        }
    }
}
