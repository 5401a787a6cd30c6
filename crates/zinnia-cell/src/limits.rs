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
    /// Allotment of a team limit to a domain; empty if the domain has none.
    pub(crate) fn allotment(&self, domain: DomainId, team: TeamId) -> Allotment {
        let domains = self.teams.get(&team);
        let allotment = domains.and_then(|d| d.get(&domain));
        allotment.copied().unwrap_or_default()
    }

    /// Non-empty allotments of the team.
    pub(crate) fn team_allotments(
        &self,
        team: TeamId,
    ) -> impl Iterator<Item = (DomainId, Allotment)> {
        let domains = self.teams.get(&team).into_iter().flatten();
        domains.map(|(&domain, &allotment)| (domain, allotment))
    }

    /// All non-empty allotments.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (TeamId, DomainId, Allotment)> {
        let teams = self.teams.iter();
        teams.flat_map(|(&team, domains)| {
            domains
                .iter()
                .map(move |(&domain, &allotment)| (team, domain, allotment))
        })
    }

    /// Sum of the allotments of all domains.
    pub(crate) fn total_allotted(&self, team: TeamId) -> Resources {
        let amounts = self
            .team_allotments(team)
            .map(|(_, allotment)| allotment.amount);
        amounts.fold(Resources::ZERO, |sum, amount| sum + amount)
    }

    /// Enlarges an allotment by a part of the unallotted limit.
    pub(crate) fn take(&mut self, proposal: &TransferProposal, limit: Resources) -> Reply {
        let allotment = self.allotment(proposal.domain, proposal.team);
        if allotment.log_index != proposal.expected_index {
            return Reply::Refused(Refusal::StaleAllotment(allotment));
        }
        let total_allotted = self.total_allotted(proposal.team);
        let Some(free) = limit.checked_sub(&total_allotted) else {
            // While any dimension exceeds the limit, no dimension may grow.
            let excess = total_allotted.saturating_sub(&limit);
            return Reply::Refused(Refusal::Excess { excess });
        };
        if !proposal.amount.fits(&free) {
            return Reply::Refused(Refusal::OverLimit { free });
        }
        self.set(proposal, allotment.amount + proposal.amount)
    }

    /// Returns a part of an allotment to the unallotted limit.
    pub(crate) fn give(&mut self, proposal: &TransferProposal) -> Reply {
        let allotment = self.allotment(proposal.domain, proposal.team);
        if allotment.log_index != proposal.expected_index {
            return Reply::Refused(Refusal::StaleAllotment(allotment));
        }
        let Some(remaining) = allotment.amount.checked_sub(&proposal.amount) else {
            return Reply::Refused(Refusal::HoldsLess(allotment));
        };
        self.set(proposal, remaining)
    }

    fn set(&mut self, proposal: &TransferProposal, amount: Resources) -> Reply {
        let allotment = Allotment {
            amount,
            log_index: proposal.entry_index,
        };
        let domains = self.teams.entry(proposal.team).or_default();
        if amount == Resources::ZERO {
            // Removing the entry resets its index to 0, so that a delayed `Take` that was proposed
            // for an empty allotment may still apply. This is harmless: it stays within the limit
            // and the acting owner sees it. A delayed `Give` finds nothing to give.
            domains.remove(&proposal.domain);
            if domains.is_empty() {
                self.teams.remove(&proposal.team);
            }
            return Reply::Held(Allotment {
                amount,
                log_index: 0,
            });
        }
        domains.insert(proposal.domain, allotment);
        Reply::Held(allotment)
    }
}
