//! Allotments of team limits to failure domains.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use zinnia_types::DomainId;
use zinnia_types::Resources;
use zinnia_types::TeamId;

use crate::Refusal;
use crate::Reply;

/// Part of a team's limit that a domain holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allotment {
    /// How much.
    pub amount: Resources,
    /// Log index at which it last changed; 0 when it never did.
    #[serde(rename = "seq")]
    pub log_index: u64,
}

/// One proposal to take or give.
pub(crate) struct TransferProposal {
    pub(crate) domain: DomainId,
    pub(crate) team: TeamId,
    pub(crate) amount: Resources,
    /// Value of [`Allotment::log_index`] that the proposer saw.
    pub(crate) from: u64,
    /// Index of the log entry.
    pub(crate) index: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Limits {
    teams: BTreeMap<TeamId, BTreeMap<DomainId, Allotment>>,
}

impl Limits {
    pub(crate) fn held(&self, domain: DomainId, team: TeamId) -> Allotment {
        let domains = self.teams.get(&team);
        let held = domains.and_then(|d| d.get(&domain));
        held.copied().unwrap_or_default()
    }

    /// What each domain holds of the team's limit.
    pub(crate) fn of_team(&self, team: TeamId) -> impl Iterator<Item = (DomainId, Allotment)> {
        let domains = self.teams.get(&team).into_iter().flatten();
        domains.map(|(&domain, &held)| (domain, held))
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (TeamId, DomainId, Allotment)> {
        let teams = self.teams.iter();
        teams.flat_map(|(&team, domains)| domains.iter().map(move |(&d, &held)| (team, d, held)))
    }

    /// Sum over all domains.
    pub(crate) fn sum(&self, team: TeamId) -> Resources {
        let amounts = self.of_team(team).map(|(_, held)| held.amount);
        amounts.fold(Resources::ZERO, |sum, amount| sum + amount)
    }

    pub(crate) fn take(&mut self, t: &TransferProposal, limit: Resources) -> Reply {
        let held = self.held(t.domain, t.team);
        if held.log_index != t.from {
            return Reply::Refused(Refusal::StaleAllotment(held));
        }
        let sum = self.sum(t.team);
        let Some(free) = limit.checked_sub(&sum) else {
            // Not even a dimension with room may grow: the team is over its limit as a whole.
            let excess = sum.saturating_sub(&limit);
            return Reply::Refused(Refusal::Excess { excess });
        };
        if !t.amount.fits(&free) {
            return Reply::Refused(Refusal::OverLimit { free });
        }
        self.set(t, held.amount + t.amount)
    }

    pub(crate) fn give(&mut self, t: &TransferProposal) -> Reply {
        let held = self.held(t.domain, t.team);
        if held.log_index != t.from {
            return Reply::Refused(Refusal::StaleAllotment(held));
        }
        let Some(left) = held.amount.checked_sub(&t.amount) else {
            return Reply::Refused(Refusal::HoldsLess(held));
        };
        self.set(t, left)
    }

    fn set(&mut self, t: &TransferProposal, amount: Resources) -> Reply {
        let held = Allotment {
            amount,
            log_index: t.index,
        };
        let domains = self.teams.entry(t.team).or_default();
        if amount == Resources::ZERO {
            // Without a record the sequence number starts from 0 again. A delayed `Take` of an
            // empty allotment may then still apply, which is harmless: it stays within the limit
            // and the holder sees it. A delayed `Give` has nothing to give.
            domains.remove(&t.domain);
            if domains.is_empty() {
                self.teams.remove(&t.team);
            }
            return Reply::Held(Allotment {
                amount,
                log_index: 0,
            });
        }
        domains.insert(t.domain, held);
        Reply::Held(held)
    }
}
