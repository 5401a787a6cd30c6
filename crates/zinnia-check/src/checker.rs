//! Runs all rules over a record.

use std::collections::BTreeMap;

use zinnia_types::Time;

use crate::Event;
use crate::EventKind;
use crate::Invariant;
use crate::Settings;
use crate::Violation;
use crate::calls::Calls;
use crate::documents::Documents;
use crate::keys::Keys;
use crate::limits::Limits;
use crate::reach::Reaches;
use crate::tasks::Tasks;
use crate::violation::Found;
use crate::workers::Workers;

/// What all rules share.
#[derive(Debug)]
pub(crate) struct Context {
    pub(crate) settings: Settings,
    pub(crate) reach: Reaches,
}

/// Where and when in the record a rule stands.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Place {
    /// Number of the event.
    pub(crate) n: usize,
    pub(crate) at: Time,
}

/// Checks a record event by event.
#[derive(Debug)]
pub struct Checker {
    context: Context,
    events: Vec<Event>,
    workers: Workers,
    tasks: Tasks,
    limits: Limits,
    calls: Calls,
    keys: Keys,
    documents: Documents,
    now: Time,
    counts: BTreeMap<Invariant, u64>,
    first: Option<Box<Violation>>,
}

impl Checker {
    /// A checker that has seen nothing.
    pub fn new(settings: Settings) -> Self {
        Self {
            context: Context {
                settings,
                reach: Reaches::default(),
            },
            events: Vec::new(),
            workers: Workers::default(),
            tasks: Tasks::default(),
            limits: Limits::default(),
            calls: Calls::default(),
            keys: Keys::default(),
            documents: Documents::default(),
            now: Time::default(),
            counts: BTreeMap::new(),
            first: None,
        }
    }

    /// Everything observed so far.
    pub fn events(&self) -> &[Event] {
        &self.events
    }

    /// How many observations were held against each invariant.
    ///
    /// An invariant that is missing here was not tested by the record.
    pub fn counts(&self) -> &BTreeMap<Invariant, u64> {
        &self.counts
    }

    /// Adds an event. One whose time is before that of the event that precedes it, as concurrent
    /// recorders may produce, counts at the time of that event.
    ///
    /// # Errors
    ///
    /// Returns the first [`Violation`] of the record, and keeps returning it from then on.
    pub fn observe(&mut self, event: Event) -> Result<(), Box<Violation>> {
        if let Some(first) = &self.first {
            return Err(first.clone());
        }
        self.now = self.now.max(event.at);
        let place = Place {
            n: self.events.len(),
            at: self.now,
        };
        self.events.push(event);
        let found = self.run(place);
        self.keep(found, place.at)
    }

    /// Ends the record at `now`: whatever should have taken place by then must have.
    ///
    /// # Errors
    ///
    /// Returns the first [`Violation`] of the record.
    pub fn finish(&mut self, now: Time) -> Result<(), Box<Violation>> {
        if let Some(first) = &self.first {
            return Err(first.clone());
        }
        let mut found = self.documents.overdue(now, &self.context);
        if found.is_ok() {
            found = self.calls.open();
        }
        self.keep(found, now)
    }

    fn run(&mut self, place: Place) -> Result<(), Box<Found>> {
        // Deadlines that passed before this event count as they stood until then.
        self.documents.overdue(place.at, &self.context)?;
        let fact: &EventKind = &self.events[place.n].kind;
        for &invariant in Invariant::of(fact) {
            *self.counts.entry(invariant).or_default() += 1;
        }
        self.context.reach.observe(place.n, place.at, fact);
        let context = &self.context;
        self.workers.observe(place, fact, context)?;
        self.tasks.observe(place, fact)?;
        self.limits.observe(place, fact, context)?;
        self.calls.observe(place, fact)?;
        self.keys.observe(place, fact, context)?;
        self.documents.observe(place, fact)
    }

    fn keep(&mut self, found: Result<(), Box<Found>>, at: Time) -> Result<(), Box<Violation>> {
        let Err(found) = found else {
            return Ok(());
        };
        let mut numbers = found.events;
        numbers.sort_unstable();
        numbers.dedup();
        let trace = numbers.iter().filter_map(|&n| self.events.get(n));
        let first = Box::new(Violation {
            invariant: found.invariant,
            at,
            message: found.message,
            trace: trace.cloned().collect(),
        });
        self.first = Some(first.clone());
        Err(first)
    }
}

/// Checks a whole record that ends at `now`.
///
/// # Errors
///
/// Returns the first [`Violation`].
///
/// # Examples
///
/// ```
/// let record: Vec<zinnia_check::Event> = Vec::new();
/// let settings = zinnia_check::Settings::default();
/// assert!(zinnia_check::check(settings, &record, zinnia_types::Time(0)).is_ok());
/// ```
pub fn check(settings: Settings, record: &[Event], now: Time) -> Result<(), Box<Violation>> {
    let mut checker = Checker::new(settings);
    for event in record {
        checker.observe(event.clone())?;
    }
    checker.finish(now)
}
