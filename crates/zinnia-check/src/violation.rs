//! A violated invariant.

use std::fmt;

use serde::Serialize;
use zinnia_types::Time;

use crate::Event;
use crate::Invariant;

/// The first violation that a record shows.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    /// The invariant.
    #[serde(rename = "promise")]
    pub invariant: Invariant,
    /// When it was violated.
    pub at: Time,
    /// What is wrong.
    pub message: String,
    /// The events that led to it, in the order of the record.
    pub trace: Vec<Event>,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} at {} ms: {}",
            self.invariant, self.at.0, self.message
        )?;
        self.trace
            .iter()
            .try_for_each(|event| write!(f, "\n  {:>9} ms  {:?}", event.at.0, event.kind))
    }
}

impl std::error::Error for Violation {}

/// What a rule found: the invariant, a message and the numbers of the events that led to it.
#[derive(Debug)]
pub(crate) struct Found {
    pub(crate) invariant: Invariant,
    pub(crate) message: String,
    pub(crate) events: Vec<usize>,
}

impl Found {
    pub(crate) fn new(
        invariant: Invariant,
        message: String,
        events: impl IntoIterator<Item = usize>,
    ) -> Box<Self> {
        Box::new(Self {
            invariant,
            message,
            events: events.into_iter().collect(),
        })
    }

    /// A finding as the error of a rule.
    pub(crate) fn err(
        invariant: Invariant,
        message: String,
        events: impl IntoIterator<Item = usize>,
    ) -> Result<(), Box<Self>> {
        Err(Self::new(invariant, message, events))
    }
}
