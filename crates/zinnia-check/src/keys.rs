//! Which work is accepted with which key: P3.

use std::collections::BTreeMap;

use zinnia_types::Name;
use zinnia_types::TeamId;
use zinnia_types::Time;
use zinnia_types::VmId;

use crate::EventKind;
use crate::Invariant;
use crate::checker::Context;
use crate::checker::Place;
use crate::violation::Found;

/// A team for which a kind is open, from one event on.
#[derive(Clone, Copy, Debug)]
struct Open {
    team: Option<TeamId>,
    at: Time,
    n: usize,
}

#[derive(Debug, Default)]
pub(crate) struct Keys {
    granted: BTreeMap<String, (Option<TeamId>, usize)>,
    withdrawn: BTreeMap<String, (Time, usize)>,
    open: BTreeMap<Name, Vec<Open>>,
}

impl Keys {
    pub(crate) fn observe(
        &mut self,
        place: Place,
        fact: &EventKind,
        context: &Context,
    ) -> Result<(), Box<Found>> {
        match fact {
            EventKind::Granted { key, team } => {
                self.granted.insert(key.clone(), (*team, place.n));
                Ok(())
            }
            EventKind::Withdrawn { key } => {
                let entry = self.withdrawn.entry(key.clone());
                entry.or_insert((place.at, place.n));
                Ok(())
            }
            EventKind::Opened { kind, team } => {
                self.open.entry(*kind).or_default().push(Open {
                    team: *team,
                    at: place.at,
                    n: place.n,
                });
                Ok(())
            }
            EventKind::Accepted {
                vm,
                team,
                kind,
                key,
            } => match key {
                Some(key) => self.with_key(place, *vm, *team, key, context),
                None => self.without_key(place, *vm, *team, *kind, context),
            },
            _ => Ok(()),
        }
    }

    fn with_key(
        &self,
        place: Place,
        vm: VmId,
        team: TeamId,
        key: &str,
        context: &Context,
    ) -> Result<(), Box<Found>> {
        let n = place.n;
        let Some(&(owner, granted)) = self.granted.get(key) else {
            let message = format!("VM {vm} accepted work with key {key}, which nobody granted");
            return Found::err(Invariant::P3, message, [n]);
        };
        if owner != Some(team) {
            let message = format!("VM {vm} accepted work for {team} with key {key} of {owner:?}");
            return Found::err(Invariant::P3, message, [granted, n]);
        }
        let reach = context.reach.of(vm);
        let isolation = context.settings.isolation_ms;
        if reach.until.is_some_and(|at| place.at > at.after(isolation)) {
            let message = format!("VM {vm} accepted a key after it was cut off for too long");
            return Found::err(Invariant::P3, message, [n].into_iter().chain(reach.event));
        }
        let Some(&(at, withdrawn)) = self.withdrawn.get(key) else {
            return Ok(());
        };
        if reach.may_lack(at, context.settings.key_ms, isolation, place.at) {
            return Ok(());
        }
        let late = place.at.since(at);
        let message = format!("VM {vm} accepted key {key} {late} ms after its withdrawal");
        let events = [granted, withdrawn, n].into_iter().chain(reach.event);
        Found::err(Invariant::P3, message, events)
    }

    fn without_key(
        &self,
        place: Place,
        vm: VmId,
        team: TeamId,
        kind: Name,
        context: &Context,
    ) -> Result<(), Box<Found>> {
        let all = self.open.get(&kind).map(Vec::as_slice).unwrap_or_default();
        let reach = context.reach.of(vm);
        let lag = context.settings.document_ms;
        let isolation = context.settings.isolation_ms;
        for (i, open) in all.iter().enumerate().rev() {
            let next = all.get(i + 1);
            let over = next.is_some_and(|next| !reach.may_lack(next.at, lag, isolation, place.at));
            if over {
                break;
            }
            if open.team == Some(team) {
                return Ok(());
            }
        }
        let message = format!("VM {vm} accepted {kind} for {team} without a key");
        let events = all.last().map(|open| open.n);
        Found::err(Invariant::P3, message, events.into_iter().chain([place.n]))
    }
}
