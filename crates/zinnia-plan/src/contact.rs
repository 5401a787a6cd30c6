//! What a leader knows of one life of a worker.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use zinnia_types::JobId;
use zinnia_types::Time;

use crate::End;
use crate::Incarnation;
use crate::Step;
use crate::TaskId;

/// Share by which a worker's clock may be slow, in percent.
const SLOW_PERCENT: u64 = 2;

/// A worker's announcement of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Heartbeat {
    /// The life that announces itself.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// Number of the announcement within the life.
    pub sequence: u64,
    /// The worker's clock in milliseconds.
    pub clock_ms: u64,
    /// Whether the worker is about to leave.
    pub draining: bool,
    /// Least time until it leaves, if it tells.
    pub remaining_ms: Option<u64>,
}

/// A run that a worker has at work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ActiveRun {
    /// Task.
    pub task: TaskId,
    /// Run.
    pub run: u32,
    /// Saved progress; empty for none.
    pub checkpoint: String,
    /// Progress in percent.
    pub percent: u64,
    /// Tail of the response times in milliseconds of a task that serves, thousandths of a core in
    /// use of any other task.
    pub load: u64,
}

/// What a worker answers when asked for its runs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Begin of the life that answers, if told.
    pub born: Option<i64>,
    /// The worker's clock in milliseconds.
    pub clock_ms: u64,
    /// Runs at work.
    pub running: Vec<ActiveRun>,
    /// Ends that are not noted yet.
    pub ended: Vec<End>,
    /// Whether there may be more ends than listed.
    pub partial: bool,
}

/// How far a start order has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Sent {
    /// No answer yet.
    Open,
    /// Accepted at this time.
    Accepted(Time),
    /// No answer came; it may still be carried out.
    Unknown,
}

/// A start order that was sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Order {
    pub(crate) fence: u64,
    pub(crate) sent: Sent,
}

/// Progress of a run as seen in reports.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    pub(crate) percent: u64,
    /// When the percentage last changed.
    pub(crate) since: Time,
    /// When it was last reported.
    pub(crate) seen: Time,
    pub(crate) checkpoint: String,
}

impl Progress {
    /// Whether the run makes no progress although its worker answers.
    ///
    /// Tasks that fill wait for room, and members of a gang for each other; a task that lasts is at
    /// work at 100 percent.
    pub(crate) fn is_stuck(&self, step: &Step, stuck_ms: u64) -> bool {
        let waits = step.best_effort || (step.gang && self.percent == 0);
        !waits && self.percent < 100 && self.seen.since(self.since) >= stuck_ms
    }
}

/// What a leader knows of one life of a worker.
#[derive(Debug)]
pub(crate) struct Contact {
    pub(crate) born: i64,
    /// Token for the next orders.
    pub(crate) fence: u64,
    /// Token with which a question for its runs was last answered.
    pub(crate) confirmed: u64,
    /// The worker's clock, and when it was read at the latest.
    clock: Option<(u64, Time)>,
    /// Latest deadline, on the worker's clock, that may have reached it.
    reach: u64,
    /// When everything that an earlier leader started has certainly lapsed.
    old_until: Time,
    /// Whether this leader has put the runs of a lost worker elsewhere.
    pub(crate) lapsed: bool,
    /// Latest answer or announcement.
    pub(crate) heard: Time,
    pub(crate) sequence: u64,
    /// When a question for its runs was sent, while it is open.
    pub(crate) holding: Option<Time>,
    /// When the next question is due.
    pub(crate) due: Time,
    pub(crate) orders: BTreeMap<(TaskId, u32), Order>,
    pub(crate) progress: BTreeMap<(TaskId, u32), Progress>,
    /// When a stop was last sent.
    pub(crate) stops: BTreeMap<(TaskId, u32), Time>,
    /// Jobs of which a run failed here since the last success.
    pub(crate) failed: BTreeSet<JobId>,
    /// Until when it gets no new tasks.
    pub(crate) suspect: Time,
    /// Failed exchanges in a row.
    pub(crate) misses: u32,
}

impl Contact {
    /// A life that may still have work of an earlier leader until `old_until`.
    pub(crate) fn new(born: i64, fence: u64, now: Time, old_until: Time) -> Self {
        Self {
            born,
            fence,
            confirmed: 0,
            clock: None,
            reach: 0,
            old_until,
            lapsed: false,
            heard: Time(0),
            sequence: 0,
            holding: None,
            due: now,
            orders: BTreeMap::new(),
            progress: BTreeMap::new(),
            stops: BTreeMap::new(),
            failed: BTreeSet::new(),
            suspect: Time(0),
            misses: 0,
        }
    }

    /// Notes a reading of the worker's clock that arrived at `now`.
    pub(crate) fn read_clock(&mut self, clock_ms: u64, now: Time) {
        // A reading that was long on its way shows less than the estimate; the larger one is kept.
        if self.earliest(now).is_none_or(|known| clock_ms > known) {
            self.clock = Some((clock_ms, now));
        }
    }

    /// The least that the worker's clock can show now.
    fn earliest(&self, now: Time) -> Option<u64> {
        let (clock, at) = self.clock?;
        let passed = now.since(at);
        Some(clock + passed - passed * SLOW_PERCENT / 100)
    }

    /// Deadline on the worker's clock for a lease of `lease_ms` from now, if its clock is known.
    pub(crate) fn deadline(&mut self, lease_ms: u64, now: Time) -> Option<u64> {
        let (clock, at) = self.clock?;
        let deadline = clock + now.since(at) + lease_ms;
        self.reach = self.reach.max(deadline);
        Some(deadline)
    }

    /// Notes that a lease up to this time on the worker's clock may have reached it.
    pub(crate) fn extend_reach(&mut self, clock_ms: u64) {
        self.reach = self.reach.max(clock_ms);
    }

    /// Whether every lease that may have reached the worker has run out.
    pub(crate) fn is_over(&self, now: Time) -> bool {
        /// Slack for the granularity of clocks.
        const MARGIN_MS: u64 = 100;
        if now < self.old_until && self.confirmed == 0 {
            return false;
        }
        match self.earliest(now) {
            Some(clock) => clock > self.reach + MARGIN_MS,
            None => true,
        }
    }
}
