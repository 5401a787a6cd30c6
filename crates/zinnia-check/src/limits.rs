//! Rule on the running tasks of teams and their limits: invariant P4.

use std::collections::BTreeMap;

use zinnia_types::AttemptId;
use zinnia_types::Resources;
use zinnia_types::TeamId;
use zinnia_types::Time;
use zinnia_types::WorkerId;

use crate::EventKind;
use crate::Invariant;
use crate::checker::Context;
use crate::checker::Position;
use crate::violation::Finding;

/// Limit of a team, with the time and the index of the event that set it.
#[derive(Clone, Copy, Debug)]
struct Limit {
    limit: Resources,
    at: Time,
    event_index: usize,
}

#[derive(Debug, Default)]
struct Team {
    /// All limits that the team has had, the newest last.
    limits: Vec<Limit>,
    /// Resources of each running attempt, with the index of its start event.
    running: BTreeMap<(WorkerId, AttemptId), (Resources, usize)>,
    /// Total resources of the running attempts.
    load: Resources,
}

#[derive(Debug, Default)]
pub(crate) struct Limits {
    teams: BTreeMap<TeamId, Team>,
}

impl Limits {
    /// Updates the team that the event concerns and checks the limit at each start.
    pub(crate) fn observe(
        &mut self,
        position: Position,
        event_kind: &EventKind,
        context: &Context,
    ) -> Result<(), Box<Finding>> {
        match event_kind {
            EventKind::Limit { team, limit } => {
                let team = self.teams.entry(*team).or_default();
                team.limits.push(Limit {
                    limit: *limit,
                    at: position.at,
                    event_index: position.index,
                });
                Ok(())
            }
            EventKind::Started {
                worker,
                attempt,
                team,
                need,
                ..
            } => {
                let entry = self.teams.entry(*team).or_default();
                let removed = entry
                    .running
                    .insert((*worker, *attempt), (*need, position.index));
                entry.load += *need;
                entry.subtract_load(removed);
                entry.check_start(position, *team, *need, context)
            }
            EventKind::Ended { worker, attempt } => {
                for team in self.teams.values_mut() {
                    let removed = team.running.remove(&(*worker, *attempt));
                    team.subtract_load(removed);
                }
                Ok(())
            }
            EventKind::WorkerUp { worker, .. } | EventKind::WorkerDown { worker, .. } => {
                for team in self.teams.values_mut() {
                    let ended = team.running.extract_if(.., |(w, _), _| w == worker);
                    for (_, removed) in ended.collect::<Vec<_>>() {
                        team.subtract_load(Some(removed));
                    }
                }
                Ok(())
            }
            _ => Ok(()),
        }
    }
}

impl Team {
    fn subtract_load(&mut self, removed: Option<(Resources, usize)>) {
        if let Some((need, _)) = removed {
            self.load = self.load.saturating_sub(&need);
        }
    }

    /// Checks the limit after the start of an attempt that takes `need`, which `load` already
    /// includes.
    fn check_start(
        &self,
        position: Position,
        id: TeamId,
        need: Resources,
        context: &Context,
    ) -> Result<(), Box<Finding>> {
        let Some(allowed) = self.effective_limit(position.at, context) else {
            let message = format!("team {id} runs tasks, but the record contains no limit for it");
            return Finding::error(Invariant::P4, message, [position.index]);
        };
        let load = self.load;
        // Tasks that run when a limit is lowered may finish, so only the dimensions that this start
        // adds to are checked.
        let exceeds = |load: u64, allowed: u64, need: u64| need > 0 && load > allowed;
        if !exceeds(load.cpu, allowed.cpu, need.cpu)
            && !exceeds(load.mem, allowed.mem, need.mem)
            && !exceeds(load.gpu, allowed.gpu, need.gpu)
        {
            return Ok(());
        }
        let message =
            format!("the limit of team {id} is {allowed:?}, but its running tasks take {load:?}");
        let start_events = self.running.values().map(|&(_, index)| index);
        let limit = self.limits.last().map(|limit| limit.event_index);
        Finding::error(Invariant::P4, message, start_events.chain(limit))
    }

    /// Returns the largest limit that a VM may still legitimately enforce, because it does not have
    /// to know the newer ones yet.
    fn effective_limit(&self, now: Time, context: &Context) -> Option<Resources> {
        let mut allowed = self.limits.last()?.limit;
        let max_lag_ms = context.settings.document_ms;
        let isolation_ms = context.settings.isolation_ms;
        for pair in self.limits.windows(2).rev() {
            let [old, new] = pair else {
                break;
            };
            let mut vms = context.contacts.iter();
            let any_unaware = vms
                .any(|(_, contact)| contact.may_be_unaware(new.at, max_lag_ms, isolation_ms, now));
            if !any_unaware && now > new.at.after(max_lag_ms) {
                break;
            }
            allowed = Resources::elementwise_max(&allowed, &old.limit);
        }
        Some(allowed)
    }
}
