//! Allotments: the parts of team limits that failure domains hold.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use zinnia_types::DomainId;
use zinnia_types::Resources;
use zinnia_types::TeamId;

use crate::Refusal;
use crate::Reply;

/// Part of a team's limit that is allotted to a domain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allotment {
    /// Allotted resources.
    pub amount: Resources,
    /// Log index of the last change, which serves as the version for compare-and-set; 0 for an
    /// empty allotment.
    #[serde(rename = "seq")]
    pub log_index: u64,
}

/// A proposal to take from or give to the unallotted part of a limit.
pub(crate) struct TransferProposal {
    pub(crate) domain: DomainId,
    pub(crate) team: TeamId,
    pub(crate) amount: Resources,
    /// [`Allotment::log_index`] that the proposer read.
    pub(crate) expected_index: u64,
    /// Index of the log entry with the proposal.
    pub(crate) entry_index: u64,
}

/// Allotments of all teams; empty allotments are absent.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Limits {
    teams: BTreeMap<TeamId, BTreeMap<DomainId, Allotment>>,
}

impl Limits {
    pub(crate) fn allotment(&self, domain: DomainId, team: TeamId) -> Allotment {
        let domains = self.teams.get(&team);
        let allotment = domains.and_then(|d| d.get(&domain));
        allotment.copied().unwrap_or_default()
    }

    /// Non-empty allotments of the team.
    pub(crate) fn of_team(&self, team: TeamId) -> impl Iterator<Item = (DomainId, Allotment)> {
        let domains = self.teams.get(&team).into_iter().flatten();
        domains.map(|(&domain, &allotment)| (domain, allotment))
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (TeamId, DomainId, Allotment)> {
        let teams = self.teams.iter();
        teams.flat_map(|(&team, domains)| {
            domains
                .iter()
                .map(move |(&domain, &allotment)| (team, domain, allotment))
        })
    }

    /// Sum of the allotments of all domains.
    pub(crate) fn sum(&self, team: TeamId) -> Resources {
        let amounts = self.of_team(team).map(|(_, allotment)| allotment.amount);
        amounts.fold(Resources::ZERO, |sum, amount| sum + amount)
    }

    pub(crate) fn take(&mut self, t: &TransferProposal, limit: Resources) -> Reply {
        let allotment = self.allotment(t.domain, t.team);
        if allotment.log_index != t.expected_index {
            return Reply::Refused(Refusal::StaleAllotment(allotment));
        }
        let sum = self.sum(t.team);
        let Some(free) = limit.checked_sub(&sum) else {
            // While any dimension exceeds the limit, no dimension may grow.
            let excess = sum.saturating_sub(&limit);
            return Reply::Refused(Refusal::Excess { excess });
        };
        if !t.amount.fits(&free) {
            return Reply::Refused(Refusal::OverLimit { free });
        }
        self.set(t, allotment.amount + t.amount)
    }

    pub(crate) fn give(&mut self, t: &TransferProposal) -> Reply {
        let allotment = self.allotment(t.domain, t.team);
        if allotment.log_index != t.expected_index {
            return Reply::Refused(Refusal::StaleAllotment(allotment));
        }
        let Some(remaining) = allotment.amount.checked_sub(&t.amount) else {
            return Reply::Refused(Refusal::HoldsLess(allotment));
        };
        self.set(t, remaining)
    }

    fn set(&mut self, t: &TransferProposal, amount: Resources) -> Reply {
        let allotment = Allotment {
            amount,
            log_index: t.entry_index,
        };
        let domains = self.teams.entry(t.team).or_default();
        if amount == Resources::ZERO {
            // Removing the entry resets its index to 0, so that a delayed `Take` that was proposed
            // for an empty allotment may still apply. This is harmless: it stays within the limit
            // and the acting owner sees it. A delayed `Give` finds nothing to give.
            domains.remove(&t.domain);
            if domains.is_empty() {
                self.teams.remove(&t.team);
            }
            return Reply::Held(Allotment {
                amount,
                log_index: 0,
            });
        }
        domains.insert(t.domain, allotment);
        Reply::Held(allotment)
    }
}
