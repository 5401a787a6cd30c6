//! Applies the rules of all invariants to a record.

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
use crate::quorum_contact::QuorumContacts;
use crate::tasks::Tasks;
use crate::violation::Finding;
use crate::workers::Workers;

/// Settings and VM contacts that several rules use.
#[derive(Debug)]
pub(crate) struct Context {
    pub(crate) settings: Settings,
    pub(crate) contacts: QuorumContacts,
}

/// Index and time of an event in the record.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Position {
    pub(crate) index: usize,
    pub(crate) at: Time,
}

/// Checks the invariants incrementally, one event at a time.
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
    first_violation: Option<Box<Violation>>,
}

impl Checker {
    /// Creates a checker with an empty record.
    pub fn new(settings: Settings) -> Self {
        Self {
            context: Context {
                settings,
                contacts: QuorumContacts::default(),
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
            first_violation: None,
        }
    }

    /// Returns the events observed so far.
    pub fn events(&self) -> &[Event] {
        &self.events
    }

    /// Returns how many events were checked against each invariant.
    ///
    /// The record did not exercise an invariant that is absent.
    pub fn counts(&self) -> &BTreeMap<Invariant, u64> {
        &self.counts
    }

    /// Appends an event to the record and checks it. An event with an earlier time than its
    /// predecessor, as concurrent recorders may produce, is given the time of the predecessor.
    ///
    /// # Errors
    ///
    /// Returns the first [`Violation`] in the record; every later call returns the same one.
    pub fn observe(&mut self, event: Event) -> Result<(), Box<Violation>> {
        if let Some(violation) = &self.first_violation {
            return Err(violation.clone());
        }
        self.now = self.now.max(event.at);
        let position = Position {
            index: self.events.len(),
            at: self.now,
        };
        self.events.push(event);
        let result = self.apply_rules(position);
        self.record_violation(result, position.at)
    }

    /// Ends the record at `now` and checks for missing events: answers to callers, and documents
    /// that must be in force by then.
    ///
    /// # Errors
    ///
    /// Returns the first [`Violation`] in the record.
    pub fn finish(&mut self, now: Time) -> Result<(), Box<Violation>> {
        if let Some(violation) = &self.first_violation {
            return Err(violation.clone());
        }
        let mut result = self.documents.check_in_force(now, &self.context);
        if result.is_ok() {
            result = self.calls.check_all_answered();
        }
        self.record_violation(result, now)
    }

    fn apply_rules(&mut self, position: Position) -> Result<(), Box<Finding>> {
        // Checked before the event is applied: the event must not make up for a deadline that
        // passed before it.
        self.documents.check_in_force(position.at, &self.context)?;
        let event_kind: &EventKind = &self.events[position.index].kind;
        for &invariant in Invariant::violable_by(event_kind) {
            *self.counts.entry(invariant).or_default() += 1;
        }
        self.context
            .contacts
            .observe(position.index, position.at, event_kind);
        let context = &self.context;
        self.workers.observe(position, event_kind, context)?;
        self.tasks.observe(position, event_kind)?;
        self.limits.observe(position, event_kind, context)?;
        self.calls.observe(position, event_kind)?;
        self.keys.observe(position, event_kind, context)?;
        self.documents.observe(position, event_kind)
    }

    fn record_violation(
        &mut self,
        result: Result<(), Box<Finding>>,
        at: Time,
    ) -> Result<(), Box<Violation>> {
        let Err(finding) = result else {
            return Ok(());
        };
        let mut indices = finding.event_indices;
        indices.sort_unstable();
        indices.dedup();
        let trace = indices.iter().filter_map(|&index| self.events.get(index));
        let violation = Box::new(Violation {
            invariant: finding.invariant,
            at,
            message: finding.message,
            trace: trace.cloned().collect(),
        });
        self.first_violation = Some(violation.clone());
        Err(violation)
    }
}

/// Checks the invariants against a complete record that ends at `now`.
///
/// # Errors
///
/// Returns the first [`Violation`] in the record.
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
