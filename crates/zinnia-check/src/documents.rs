//! Rules on the document versions that are in force: invariant P10.

use std::collections::BTreeMap;

use zinnia_types::Time;
use zinnia_types::VmId;

use crate::EventKind;
use crate::Invariant;
use crate::checker::Context;
use crate::checker::Position;
use crate::violation::Finding;

#[derive(Debug, Default)]
pub(crate) struct Documents {
    /// Digest of each version, with the index of the first event that contains it.
    digests: BTreeMap<u64, (u64, usize)>,
    /// When each version was accepted, with the index of the event.
    accepted: BTreeMap<u64, (Time, usize)>,
    /// Version in force on each VM, with the index of the event.
    in_force: BTreeMap<VmId, (u64, usize)>,
}

impl Documents {
    /// Updates the versions and checks that none reverts or changes its content.
    pub(crate) fn observe(
        &mut self,
        position: Position,
        event_kind: &EventKind,
    ) -> Result<(), Box<Finding>> {
        match event_kind {
            EventKind::Document { version, digest } => {
                let entry = self.accepted.entry(*version);
                entry.or_insert((position.at, position.index));
                self.check_digest(position, *version, *digest)
            }
            EventKind::InForce {
                vm,
                version,
                digest,
            } => {
                let last = self.in_force.insert(*vm, (*version, position.index));
                if let Some((last, index)) = last.filter(|(last, _)| last > version) {
                    let message =
                        format!("VM {vm} reverted from document version {last} to {version}");
                    return Finding::error(Invariant::P10, message, [index, position.index]);
                }
                self.check_digest(position, *version, *digest)
            }
            _ => Ok(()),
        }
    }

    /// Checks that all events with this version refer to the same document.
    fn check_digest(
        &mut self,
        position: Position,
        version: u64,
        digest: u64,
    ) -> Result<(), Box<Finding>> {
        let &mut (known_digest, index) = self
            .digests
            .entry(version)
            .or_insert((digest, position.index));
        if known_digest == digest {
            return Ok(());
        }
        let message = format!("document version {version} refers to two different documents");
        Finding::error(Invariant::P10, message, [index, position.index])
    }

    /// Checks that every VM with contact to the quorum has the newest document in force that was
    /// accepted longer than the allowed delay before `now`.
    pub(crate) fn check_in_force(&self, now: Time, context: &Context) -> Result<(), Box<Finding>> {
        let max_lag_ms = context.settings.document_ms;
        let enforceable = self.accepted.iter().rev();
        let mut enforceable = enforceable.filter(|(_, (at, _))| now > at.after(max_lag_ms));
        let Some((&version, &(at, index))) = enforceable.next() else {
            return Ok(());
        };
        for (vm, contact) in context.contacts.iter() {
            let isolated = contact.until.is_some();
            if isolated || contact.may_be_unaware(at, max_lag_ms, 0, now) {
                continue;
            }
            let current = self.in_force.get(&vm).copied();
            if current.is_some_and(|(current, _)| current >= version) {
                continue;
            }
            let message = format!(
                "VM {vm} still has document version {} in force {} ms after version {version} was accepted",
                current.map_or(0, |(current, _)| current),
                now.since(at)
            );
            let events = [index].into_iter().chain(current.map(|(_, index)| index));
            return Finding::error(Invariant::P10, message, events.chain(contact.event_index));
        }
        Ok(())
    }
}
