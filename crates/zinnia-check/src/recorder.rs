//! A record shared by concurrent observers.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use zinnia_types::Time;

use crate::Event;
use crate::EventKind;
use crate::Settings;
use crate::Violation;
use crate::check;

/// A record that workers, callers and VMs of one process append to. Clones share it.
///
/// The order of the record is the order of the appends, so an observer appends a fact before it
/// does anything that another one may observe.
#[derive(Clone, Debug, Default)]
pub struct Recorder {
    events: Arc<Mutex<Vec<Event>>>,
}

impl Recorder {
    /// Appends a fact.
    pub fn record(&self, at: Time, fact: EventKind) {
        self.lock().push(Event { at, kind: fact });
    }

    /// A copy of the record.
    pub fn events(&self) -> Vec<Event> {
        self.lock().clone()
    }

    /// Checks the record, which ends at `now`.
    ///
    /// # Errors
    ///
    /// Returns the first [`Violation`].
    pub fn check(&self, settings: Settings, now: Time) -> Result<(), Box<Violation>> {
        check(settings, &self.events(), now)
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Event>> {
        // An observer that panicked has either appended its event or not; both are consistent.
        self.events.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
