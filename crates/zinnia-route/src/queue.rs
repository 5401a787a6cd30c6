//! Weighted fair queue of the calls of one service.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use zinnia_types::TeamId;

use crate::CallId;
use crate::team::Team;

/// Queued calls, first in first out within a team.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    teams: BTreeMap<TeamId, VecDeque<CallId>>,
    len: usize,
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Number of queued calls of `team`.
    pub(crate) fn team_len(&self, team: TeamId) -> usize {
        self.teams.get(&team).map_or(0, VecDeque::len)
    }

    /// Teams with queued calls.
    pub(crate) fn teams(&self) -> impl Iterator<Item = TeamId> {
        self.teams.keys().copied()
    }

    pub(crate) fn push(&mut self, team: TeamId, id: CallId) {
        self.teams.entry(team).or_default().push_back(id);
        self.len += 1;
    }

    /// Requeues a call at the front of its team.
    pub(crate) fn push_front(&mut self, team: TeamId, id: CallId) {
        self.teams.entry(team).or_default().push_front(id);
        self.len += 1;
    }

    pub(crate) fn remove(&mut self, team: TeamId, id: CallId) {
        let Some(calls) = self.teams.get_mut(&team) else {
            return;
        };
        if let Some(index) = calls.iter().position(|c| *c == id) {
            calls.remove(index);
            self.len -= 1;
        }
        self.remove_if_empty(team);
    }

    /// Removes the next call in fair order: the oldest of the team with the lowest virtual time.
    pub(crate) fn pop(&mut self, teams: &BTreeMap<TeamId, Team>) -> Option<(TeamId, CallId)> {
        let virtual_time = |team: &TeamId| teams.get(team).map_or(0, |t| t.virtual_time);
        let team = *self.teams.keys().min_by_key(|team| virtual_time(team))?;
        let id = self.teams.get_mut(&team)?.pop_front()?;
        self.len -= 1;
        self.remove_if_empty(team);
        Some((team, id))
    }

    /// Removes the newest call of the team with the most queued calls relative to its share.
    ///
    /// Evicting there from a full queue keeps a burst of one team from displacing the calls of others.
    pub(crate) fn evict(&mut self, teams: &BTreeMap<TeamId, Team>) -> Option<CallId> {
        let share = |team: &TeamId| u64::from(teams.get(team).map_or(1, |t| t.share.max(1)));
        let backlog = |team: &TeamId, n: usize| n as u64 * 1_000_000 / share(team);
        let (team, _) = self
            .teams
            .iter()
            .max_by_key(|(team, calls)| backlog(team, calls.len()))?;
        let team = *team;
        let id = self.teams.get_mut(&team)?.pop_back()?;
        self.len -= 1;
        self.remove_if_empty(team);
        Some(id)
    }

    /// Removes and returns all calls.
    pub(crate) fn drain(&mut self) -> Vec<CallId> {
        self.len = 0;
        let teams = std::mem::take(&mut self.teams);
        teams.into_values().flatten().collect()
    }

    fn remove_if_empty(&mut self, team: TeamId) {
        if self.teams.get(&team).is_some_and(VecDeque::is_empty) {
            self.teams.remove(&team);
        }
    }
}
