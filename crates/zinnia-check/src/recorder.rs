//! A record of events that several observers append to concurrently.

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

/// A record to which the workers, callers and VMs of one process append events. Clones share the
/// record.
///
/// Events are kept in the order in which they are appended. An observer must therefore append an
/// event before it does anything that another observer could see.
#[derive(Clone, Debug, Default)]
pub struct Recorder {
    events: Arc<Mutex<Vec<Event>>>,
}

impl Recorder {
    /// Appends an event.
    pub fn record(&self, at: Time, event_kind: EventKind) {
        self.lock().push(Event {
            at,
            kind: event_kind,
        });
    }

    /// Returns a copy of the events recorded so far.
    pub fn events(&self) -> Vec<Event> {
        self.lock().clone()
    }

    /// Checks the invariants against the record, which ends at `now`.
    ///
    /// # Errors
    ///
    /// Returns the first [`Violation`] in the record.
    pub fn check(&self, settings: Settings, now: Time) -> Result<(), Box<Violation>> {
        check(settings, &self.events(), now)
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Event>> {
        // A poisoned lock is safe to use: an observer that panicked has appended its whole event or
        // nothing.
        self.events.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
