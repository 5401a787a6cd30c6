//! Teams: shares, allotments, usage and queues.

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

/// Attempts in the order in which they are preempted: the least urgent and then the youngest first.
pub(crate) type PreemptionOrder = BTreeSet<(Urgency, Reverse<Time>, AttemptId)>;

/// State of one team in this domain.
#[derive(Debug)]
pub(crate) struct Team {
    pub(crate) id: TeamId,
    /// Share in the current document; 0 if the document does not name the team.
    pub(crate) share: u32,
    /// Limit over all domains; `None` until a document is applied, zero if the document does not name the
    /// team.
    pub(crate) limit: Option<Resources>,
    /// Whether the current document names the team.
    pub(crate) is_named: bool,
    /// Part of the limit that is allotted to this domain.
    pub(crate) allotment: Resources,
    pub(crate) quota: Quota,
    /// Fraction of the cell that the team should use now, given the demand of all teams.
    pub(crate) fair_share: f64,
    /// Charges of all its attempts.
    pub(crate) used: Resources,
    /// Part of `used` that is charged for attempts that are stopping.
    pub(crate) stopping: Resources,
    /// Sum of the needs of its ready tasks.
    pub(crate) queued_need: Resources,
    pub(crate) queue: TeamQueue,
    pub(crate) preemptible: PreemptionOrder,
    /// Gangs that can be preempted as a whole, with the charges of their running tasks.
    pub(crate) preemptible_gangs: BTreeMap<JobId, Resources>,
    /// Gang that waits for room in the allotment, and the amount that is reserved for it.
    pub(crate) gang_reservation: Option<(JobId, Resources)>,
    /// Time since which it has been below its fair share.
    pub(crate) short_since: Option<Time>,
    /// Last announced demand, and when it was announced.
    pub(crate) last_demand: Option<(Resources, Time)>,
    /// Token bucket that limits retries.
    retry_tokens: f64,
    /// When the token bucket was last refilled.
    tokens_updated: Time,
}

impl Team {
    fn new(id: TeamId) -> Self {
        Self {
            id,
            share: 0,
            limit: None,
            is_named: false,
            allotment: Resources::ZERO,
            quota: Quota {
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

    /// Part of the allotment that `job` can still use. The capacity of unreported workers counts as
    /// used.
    pub(crate) fn available(&self, unreported: &Resources, job: JobId) -> Resources {
        let used = self.used + *unreported;
        let reserved = match self.gang_reservation {
            Some((owner, amount)) if owner != job => amount,
            _ => Resources::ZERO,
        };
        self.allotment.saturating_sub(&(used + reserved))
    }

    /// Usage relative to its quota of `total`. The team with the lowest ratio is served first.
    pub(crate) fn usage_ratio(&self, total: &Resources) -> f64 {
        let used = self.used.dominant_share(total);
        if self.quota.fraction > 0.0 {
            used / self.quota.fraction
        } else {
            f64::MAX
        }
    }

    /// Takes one token for a retry and returns the delay in milliseconds until it is available.
    pub(crate) fn take_retry(&mut self, settings: &RetrySettings, now: Time) -> u64 {
        let refilled =
            now.since(self.tokens_updated) as f64 / settings.refill_interval.max(1) as f64;
        self.retry_tokens = (self.retry_tokens + refilled).min(f64::from(settings.burst_size));
        self.tokens_updated = now;
        self.retry_tokens -= 1.0;
        if self.retry_tokens >= 0.0 {
            return 0;
        }
        (-self.retry_tokens * settings.refill_interval as f64) as u64
    }
}

/// All teams, indexed by slot.
#[derive(Debug, Default)]
pub(crate) struct Teams {
    pub(crate) list: Vec<Team>,
    slots: HashMap<TeamId, usize>,
}

impl Teams {
    /// Slot of a team. A new team is created without an allotment.
    pub(crate) fn slot(&mut self, id: TeamId, settings: &RetrySettings) -> usize {
        if let Some(&slot) = self.slots.get(&id) {
            return slot;
        }
        let mut team = Team::new(id);
        team.retry_tokens = f64::from(settings.burst_size);
        self.list.push(team);
        self.slots.insert(id, self.list.len() - 1);
        self.list.len() - 1
    }

    pub(crate) fn get(&self, id: TeamId) -> Option<&Team> {
        self.slots.get(&id).map(|&slot| &self.list[slot])
    }

    /// Applies the shares and limits of a document. Teams that it does not name cannot start tasks; their
    /// jobs wait for a document that names them.
    pub(crate) fn apply(&mut self, document: &Document, split: &SplitFn, settings: &RetrySettings) {
        for team in &mut self.list {
            team.share = 0;
            team.limit = Some(Resources::ZERO);
            team.is_named = false;
        }
        for configured in &document.teams {
            let slot = self.slot(configured.name, settings);
            let team = &mut self.list[slot];
            team.share = configured.share;
            team.limit = Some(configured.limit);
            team.is_named = true;
        }
        let shares = document.teams.iter().map(|t| u64::from(t.share)).sum();
        for team in &mut self.list {
            let team_share = TeamShare {
                share: team.share,
                total_shares: shares,
                team_count: document.teams.len(),
            };
            team.quota = if team.share == 0 {
                Quota {
                    fraction: 0.0,
                    may_borrow: true,
                }
            } else {
                split(&team_share)
            };
        }
    }
}
