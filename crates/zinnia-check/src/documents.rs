//! Versions in force: P10.

use std::collections::BTreeMap;

use zinnia_types::Time;
use zinnia_types::VmId;

use crate::EventKind;
use crate::Invariant;
use crate::checker::Context;
use crate::checker::Place;
use crate::violation::Found;

#[derive(Debug, Default)]
pub(crate) struct Documents {
    /// Digest of each version and the event that named it first.
    digests: BTreeMap<u64, (u64, usize)>,
    /// When each version was accepted.
    accepted: BTreeMap<u64, (Time, usize)>,
    in_force: BTreeMap<VmId, (u64, usize)>,
}

impl Documents {
    pub(crate) fn observe(&mut self, place: Place, fact: &EventKind) -> Result<(), Box<Found>> {
        match fact {
            EventKind::Document { version, digest } => {
                let entry = self.accepted.entry(*version);
                entry.or_insert((place.at, place.n));
                self.agree(place, *version, *digest)
            }
            EventKind::InForce {
                vm,
                version,
                digest,
            } => {
                let last = self.in_force.insert(*vm, (*version, place.n));
                if let Some((last, n)) = last.filter(|(last, _)| last > version) {
                    let message = format!("VM {vm} went from version {last} back to {version}");
                    return Found::err(Invariant::P10, message, [n, place.n]);
                }
                self.agree(place, *version, *digest)
            }
            _ => Ok(()),
        }
    }

    /// Checks that a version stands for one document only.
    fn agree(&mut self, place: Place, version: u64, digest: u64) -> Result<(), Box<Found>> {
        let &mut (first, n) = self.digests.entry(version).or_insert((digest, place.n));
        if first == digest {
            return Ok(());
        }
        let message = format!("version {version} stands for two documents");
        Found::err(Invariant::P10, message, [n, place.n])
    }

    /// Checks that each VM has in force what was accepted long enough before `now`.
    pub(crate) fn overdue(&self, now: Time, context: &Context) -> Result<(), Box<Found>> {
        let lag = context.settings.document_ms;
        let due = self.accepted.iter().rev();
        let mut due = due.filter(|(_, (at, _))| now > at.after(lag));
        let Some((&version, &(at, n))) = due.next() else {
            return Ok(());
        };
        for (vm, reach) in context.reach.iter() {
            let cut = reach.until.is_some();
            if cut || reach.may_lack(at, lag, 0, now) {
                continue;
            }
            let held = self.in_force.get(&vm).copied();
            if held.is_some_and(|(held, _)| held >= version) {
                continue;
            }
            let message = format!(
                "VM {vm} has version {} in force {} ms after version {version} was accepted",
                held.map_or(0, |(held, _)| held),
                now.since(at)
            );
            let events = [n].into_iter().chain(held.map(|(_, n)| n));
            return Found::err(Invariant::P10, message, events.chain(reach.event));
        }
        Ok(())
    }
}
