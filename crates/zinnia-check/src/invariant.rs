//! The invariants of a cell, and the kinds of events that can violate them.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use zinnia_types::ExecutionStatus;

use crate::EventKind;

/// An invariant from section 2 of the design page.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Invariant {
    /// The resources of the tasks that run on a worker never exceed its capacity.
    P1,
    /// A task never runs in two places at a time, and is recorded as finished only once.
    P2,
    /// Work is accepted only for the team of its key, and no longer after the key is withdrawn.
    P3,
    /// The resources of a team's running tasks never exceed the team's limit.
    P4,
    /// Every caller receives the complete answer to its own request.
    P5,
    /// A refusal that states "not run" is correct: the refused request or attempt does not run.
    P6,
    /// Work that must not be repeated runs at most once.
    P7,
    /// A target that is leaving receives no new work after a few seconds.
    P8,
    /// A graceful shutdown does not interrupt requests in flight.
    P9,
    /// An accepted document takes effect everywhere and never reverts.
    P10,
}

impl Invariant {
    /// All invariants in the order of their numbers.
    pub const ALL: [Self; 10] = [
        Self::P1,
        Self::P2,
        Self::P3,
        Self::P4,
        Self::P5,
        Self::P6,
        Self::P7,
        Self::P8,
        Self::P9,
        Self::P10,
    ];

    /// Returns the invariants that an event of this kind can violate.
    pub(crate) fn violable_by(event_kind: &EventKind) -> &'static [Self] {
        match event_kind {
            EventKind::Started { .. } => {
                &[Self::P1, Self::P2, Self::P4, Self::P6, Self::P7, Self::P8]
            }
            EventKind::TaskFinished { .. } => &[Self::P2],
            EventKind::StartRefused { .. } => &[Self::P6],
            EventKind::Sent { .. } => &[Self::P5, Self::P6, Self::P7, Self::P8],
            EventKind::Served { .. } | EventKind::Answered { .. } => &[Self::P5],
            EventKind::Refused {
                ran: ExecutionStatus::NotRun,
                ..
            } => &[Self::P6],
            EventKind::Accepted { .. } => &[Self::P3],
            EventKind::Drained { .. } | EventKind::WorkerDown { graceful: true, .. } => &[Self::P9],
            EventKind::Document { .. } | EventKind::InForce { .. } => &[Self::P10],
            _ => &[],
        }
    }
}

impl fmt::Display for Invariant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self, f)
    }
}
