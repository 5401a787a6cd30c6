//! Violations of invariants.

use std::fmt;

use serde::Serialize;
use zinnia_types::Time;

use crate::Event;
use crate::Invariant;

/// The first violation of an invariant in a record.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    /// The violated invariant.
    #[serde(rename = "promise")]
    pub invariant: Invariant,
    /// Time of the event, or of the end of the record, at which the violation was detected.
    pub at: Time,
    /// Description of the violation.
    pub message: String,
    /// The events that led to the violation, in the order of the record.
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

/// A violation that a rule found, with the indices in the record of the events that led to it.
#[derive(Debug)]
pub(crate) struct Finding {
    pub(crate) invariant: Invariant,
    pub(crate) message: String,
    pub(crate) event_indices: Vec<usize>,
}

impl Finding {
    pub(crate) fn new(
        invariant: Invariant,
        message: String,
        event_indices: impl IntoIterator<Item = usize>,
    ) -> Box<Self> {
        Box::new(Self {
            invariant,
            message,
            event_indices: event_indices.into_iter().collect(),
        })
    }

    /// Creates a finding and returns it as the error of a rule.
    pub(crate) fn error(
        invariant: Invariant,
        message: String,
        event_indices: impl IntoIterator<Item = usize>,
    ) -> Result<(), Box<Self>> {
        Err(Self::new(invariant, message, event_indices))
    }
}
