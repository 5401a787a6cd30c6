//! Rules on the keys with which work is accepted: invariant P3.

use std::collections::BTreeMap;

use zinnia_types::Name;
use zinnia_types::TeamId;
use zinnia_types::Time;
use zinnia_types::VmId;

use crate::EventKind;
use crate::Invariant;
use crate::checker::Context;
use crate::checker::Position;
use crate::violation::Finding;

/// Period in which work of a kind is accepted without a key for `team`, or for no team. It lasts
/// until the next period of the same kind starts.
#[derive(Clone, Copy, Debug)]
struct OpenPeriod {
    team: Option<TeamId>,
    starts_at: Time,
    event_index: usize,
}

#[derive(Debug, Default)]
pub(crate) struct Keys {
    /// Team of each granted key (`None` for an operator key), with the index of the event.
    granted: BTreeMap<String, (Option<TeamId>, usize)>,
    /// When each key was withdrawn, with the index of the event.
    withdrawn: BTreeMap<String, (Time, usize)>,
    /// Periods of each kind, in the order of time.
    open: BTreeMap<Name, Vec<OpenPeriod>>,
}

impl Keys {
    /// Updates keys and open kinds, and checks accepted work.
    pub(crate) fn observe(
        &mut self,
        position: Position,
        event_kind: &EventKind,
        context: &Context,
    ) -> Result<(), Box<Finding>> {
        match event_kind {
            EventKind::Granted { key, team } => {
                self.granted.insert(key.clone(), (*team, position.index));
                Ok(())
            }
            EventKind::Withdrawn { key } => {
                let entry = self.withdrawn.entry(key.clone());
                entry.or_insert((position.at, position.index));
                Ok(())
            }
            EventKind::Opened { kind, team } => {
                self.open.entry(*kind).or_default().push(OpenPeriod {
                    team: *team,
                    starts_at: position.at,
                    event_index: position.index,
                });
                Ok(())
            }
            EventKind::Accepted {
                vm,
                team,
                kind,
                key,
            } => match key {
                Some(key) => self.check_with_key(position, *vm, *team, key, context),
                None => self.check_without_key(position, *vm, *team, *kind, context),
            },
            _ => Ok(()),
        }
    }

    fn check_with_key(
        &self,
        position: Position,
        vm: VmId,
        team: TeamId,
        key: &str,
        context: &Context,
    ) -> Result<(), Box<Finding>> {
        let index = position.index;
        let Some(&(owner, granted)) = self.granted.get(key) else {
            let message = format!("VM {vm} accepted work with key {key}, which was never granted");
            return Finding::error(Invariant::P3, message, [index]);
        };
        if owner != Some(team) {
            let message = format!(
                "VM {vm} accepted work for team {team} with key {key}, whose team is {owner:?}"
            );
            return Finding::error(Invariant::P3, message, [granted, index]);
        }
        let contact = context.contacts.of(vm);
        let isolation_ms = context.settings.isolation_ms;
        if contact
            .until
            .is_some_and(|at| position.at > at.after(isolation_ms))
        {
            let message = format!(
                "VM {vm} accepted a key although it had been without contact to the quorum for too long"
            );
            return Finding::error(
                Invariant::P3,
                message,
                [index].into_iter().chain(contact.event_index),
            );
        }
        let Some(&(at, withdrawn)) = self.withdrawn.get(key) else {
            return Ok(());
        };
        if contact.may_be_unaware(at, context.settings.key_ms, isolation_ms, position.at) {
            return Ok(());
        }
        let elapsed = position.at.since(at);
        let message = format!("VM {vm} accepted key {key} {elapsed} ms after its withdrawal");
        let events = [granted, withdrawn, index]
            .into_iter()
            .chain(contact.event_index);
        Finding::error(Invariant::P3, message, events)
    }

    fn check_without_key(
        &self,
        position: Position,
        vm: VmId,
        team: TeamId,
        kind: Name,
        context: &Context,
    ) -> Result<(), Box<Finding>> {
        let periods = self.open.get(&kind).map(Vec::as_slice).unwrap_or_default();
        let contact = context.contacts.of(vm);
        let max_lag_ms = context.settings.document_ms;
        let isolation_ms = context.settings.isolation_ms;
        for (i, period) in periods.iter().enumerate().rev() {
            let next = periods.get(i + 1);
            let ended = next.is_some_and(|next| {
                !contact.may_be_unaware(next.starts_at, max_lag_ms, isolation_ms, position.at)
            });
            if ended {
                break;
            }
            if period.team == Some(team) {
                return Ok(());
            }
        }
        let message = format!("VM {vm} accepted work of kind {kind} for team {team} without a key");
        let opened = periods.last().map(|period| period.event_index);
        Finding::error(
            Invariant::P3,
            message,
            opened.into_iter().chain([position.index]),
        )
    }
}
