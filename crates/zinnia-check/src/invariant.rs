//! The invariants.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use zinnia_types::ExecutionStatus;

use crate::EventKind;

/// An invariant of section 2 of the design page.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Invariant {
    /// The load on a worker never exceeds its capacity.
    P1,
    /// A task never runs in two places and is recorded as finished once.
    P2,
    /// Work is accepted only for the team of its key; a withdrawn key stops working.
    P3,
    /// The running work of a team never exceeds its limit.
    P4,
    /// Every caller gets the complete answer to its own request.
    P5,
    /// A refusal that says "not run" is true.
    P6,
    /// What is marked not to be repeated runs at most once.
    P7,
    /// A target that is leaving gets no new work after a few seconds.
    P8,
    /// A graceful shutdown interrupts no request in flight.
    P9,
    /// An accepted document takes effect everywhere and never reverts.
    P10,
}

impl Invariant {
    /// All invariants in order.
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

    /// The invariants that an observation can violate.
    pub(crate) fn of(fact: &EventKind) -> &'static [Self] {
        match fact {
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
