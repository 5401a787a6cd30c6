//! Running work of teams against their limits: P4.

use std::collections::BTreeMap;

use zinnia_types::AttemptId;
use zinnia_types::Resources;
use zinnia_types::TeamId;
use zinnia_types::Time;
use zinnia_types::WorkerId;

use crate::EventKind;
use crate::Invariant;
use crate::checker::Context;
use crate::checker::Place;
use crate::violation::Found;

/// A limit with the time and the number of the event that set it.
#[derive(Clone, Copy, Debug)]
struct Limit {
    limit: Resources,
    at: Time,
    n: usize,
}

#[derive(Debug, Default)]
struct Team {
    /// All limits, the newest last.
    limits: Vec<Limit>,
    running: BTreeMap<(WorkerId, AttemptId), (Resources, usize)>,
    /// Sum of what runs.
    load: Resources,
}

#[derive(Debug, Default)]
pub(crate) struct Limits {
    teams: BTreeMap<TeamId, Team>,
}

impl Limits {
    pub(crate) fn observe(
        &mut self,
        place: Place,
        fact: &EventKind,
        context: &Context,
    ) -> Result<(), Box<Found>> {
        match fact {
            EventKind::Limit { team, limit } => {
                let team = self.teams.entry(*team).or_default();
                team.limits.push(Limit {
                    limit: *limit,
                    at: place.at,
                    n: place.n,
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
                let old = entry.running.insert((*worker, *attempt), (*need, place.n));
                entry.load += *need;
                entry.drop_load(old);
                entry.check(place, *team, *need, context)
            }
            EventKind::Ended { worker, attempt } => {
                for team in self.teams.values_mut() {
                    let old = team.running.remove(&(*worker, *attempt));
                    team.drop_load(old);
                }
                Ok(())
            }
            EventKind::WorkerUp { worker, .. } | EventKind::WorkerDown { worker, .. } => {
                for team in self.teams.values_mut() {
                    let gone = team.running.extract_if(.., |(w, _), _| w == worker);
                    for (_, old) in gone.collect::<Vec<_>>() {
                        team.drop_load(Some(old));
                    }
                }
                Ok(())
            }
            _ => Ok(()),
        }
    }
}

impl Team {
    fn drop_load(&mut self, old: Option<(Resources, usize)>) {
        if let Some((need, _)) = old {
            self.load = self.load.saturating_sub(&need);
        }
    }

    /// Checks a start of `need`, which is among the running work already.
    fn check(
        &self,
        place: Place,
        id: TeamId,
        need: Resources,
        context: &Context,
    ) -> Result<(), Box<Found>> {
        let Some(allowed) = self.allowed(place.at, context) else {
            let message = format!("{id} runs work, but no limit is recorded for it");
            return Found::err(Invariant::P4, message, [place.n]);
        };
        let load = self.load;
        // A lowered limit lets running work drain, so only what the start adds to counts.
        let over = |load: u64, allowed: u64, need: u64| need > 0 && load > allowed;
        if !over(load.cpu, allowed.cpu, need.cpu)
            && !over(load.mem, allowed.mem, need.mem)
            && !over(load.gpu, allowed.gpu, need.gpu)
        {
            return Ok(());
        }
        let message = format!("{id} may run {allowed:?} and runs {load:?}");
        let events = self.running.values().map(|&(_, n)| n);
        let limit = self.limits.last().map(|limit| limit.n);
        Found::err(Invariant::P4, message, events.chain(limit))
    }

    /// The largest limit that any VM may still have in force in good faith.
    fn allowed(&self, now: Time, context: &Context) -> Option<Resources> {
        let mut allowed = self.limits.last()?.limit;
        let lag = context.settings.document_ms;
        let isolation = context.settings.isolation_ms;
        for pair in self.limits.windows(2).rev() {
            let [old, new] = pair else {
                break;
            };
            let mut vms = context.reach.iter();
            let lacks = vms.any(|(_, reach)| reach.may_lack(new.at, lag, isolation, now));
            if !lacks && now > new.at.after(lag) {
                break;
            }
            allowed = Resources::elementwise_max(&allowed, &old.limit);
        }
        Some(allowed)
    }
}
