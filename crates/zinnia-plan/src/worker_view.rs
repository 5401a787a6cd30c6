//! Answers of workers to polls, and the leader's view of one worker incarnation.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use zinnia_types::JobId;
use zinnia_types::Time;

use crate::End;
use crate::Resources;
use crate::Settings;
use crate::State;
use crate::Step;
use crate::TaskId;
use crate::Worker;
use crate::inherited::Inherited;
use crate::inherited::Predecessor;
use crate::lease;
use crate::lease::CLOCK_MARGIN_MS;
use crate::lease::MAX_CLOCK_LAG_PERCENT;
use crate::slow_workers::Pace;
use crate::worker_index::WorkerIndex;

/// Longest time that the reading of a clock in an answer of a worker takes to arrive.
pub(crate) const MAX_ANSWER_DELAY_MS: u64 = 3_000;

/// Longest time by which a heartbeat may be delayed.
const MAX_HEARTBEAT_DELAY_MS: u64 = 12_000;

/// A task counts as stalled when it makes no progress in its estimated run time divided by this.
const MIN_SPEED_DIVISOR: u64 = 6;

/// How many times longer a run on a worker that is slow after its start may go without progress. It is bounded,
/// so that a run that hangs there is found.
const COLD_STALL_FACTOR: u64 = 4;

/// State of a run that is active on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ActiveRun {
    /// Task that the run belongs to.
    pub task: TaskId,
    /// Number of the run within the task.
    pub run: u32,
    /// Latest checkpoint; empty if there is none.
    pub checkpoint: String,
    /// Progress in percent.
    pub percent: u64,
    /// Tail latency in milliseconds for a task that serves requests, processor use in thousandths
    /// of a core for any other task.
    pub load: u64,
}

/// A worker's answer to a poll.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Start time of the incarnation that answers, if included.
    pub born: Option<i64>,
    /// Reading of the worker's clock, in milliseconds.
    pub clock_ms: u64,
    /// Active runs.
    pub running: Vec<ActiveRun>,
    /// Run ends that the leader has not acknowledged yet.
    pub ended: Vec<End>,
    /// Whether the worker may have more ends than the report includes.
    pub partial: bool,
}

/// State of a start order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OrderState {
    /// The order was sent and is not answered yet.
    Open,
    /// The worker accepted the order.
    Accepted {
        /// When the answer arrived.
        at: Time,
        /// Reading of the worker's clock in the answer, in milliseconds.
        clock_ms: u64,
    },
    /// The order failed without an answer; the worker may still carry it out.
    Unknown,
}

/// A start order that was sent to a worker.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SentOrder {
    pub(crate) fence: u64,
    pub(crate) sent_at: Time,
    pub(crate) state: OrderState,
}

/// Latest reported progress of a run.
#[derive(Clone, Debug)]
pub(crate) struct Progress {
    pub(crate) percent: u64,
    /// Reading of the worker's clock when the percentage last changed. Readings of one clock show
    /// how long a run makes no progress also if a report is late.
    pub(crate) changed_ms: u64,
    /// Reading of the worker's clock in the last report of the run.
    pub(crate) reported_ms: u64,
    pub(crate) checkpoint: String,
    pub(crate) pace: Pace,
}

impl Progress {
    /// Whether the run makes no progress although its worker answers.
    ///
    /// Best-effort tasks and members of a gang may legitimately wait, for processor time or for
    /// each other. A long-running task stays at 100 percent. A short task counts as stalled earlier
    /// than a long one, since it progresses faster.
    /// `factor` extends the time for a worker that is slow.
    pub(crate) fn is_stalled(&self, step: &Step, settings: &Settings, factor: u64) -> bool {
        let may_wait = step.best_effort || (step.gang && self.percent == 0);
        let limit_ms = match step.long_running {
            true => settings.max_stall_ms,
            false => (step.estimate_ms / MIN_SPEED_DIVISOR).max(settings.min_stall_ms),
        };
        let unchanged_ms = self.reported_ms.saturating_sub(self.changed_ms);
        let limit_ms = limit_ms.min(settings.max_stall_ms).saturating_mul(factor);
        !may_wait && self.percent < 100 && unchanged_ms >= limit_ms
    }
}

/// The leader's view of one worker incarnation.
#[derive(Debug)]
pub(crate) struct WorkerView {
    /// Number of the worker.
    pub(crate) index: WorkerIndex,
    pub(crate) born: i64,
    /// Fencing token for the next orders.
    pub(crate) fence: u64,
    /// Highest fencing token with which the worker answered a poll; 0 before the first
    /// answer, and again after the lease has expired.
    pub(crate) confirmed_fence: u64,
    /// Latest reading of the worker's clock, and the time by which it was taken.
    clock: Option<(u64, Time)>,
    /// Highest reading of the worker's clock, and when it arrived. Leases count from it.
    last_reading: Option<(u64, Time)>,
    /// Latest lease deadline, on the worker's clock, that may have been delivered to the worker.
    max_deadline: u64,
    /// Longest lease that no order of this leader to this incarnation granted.
    pub(crate) inherited: Inherited,
    /// Runs of the incarnation before, until this one has answered.
    pub(crate) predecessor: Option<Predecessor>,
    /// Whether the runs were released after the lease expired, and the worker has not answered
    /// since.
    pub(crate) lease_expired: bool,
    /// When an entry was proposed that stops the renewal of its leases, until it is applied.
    pub(crate) stop_proposed: Option<Time>,
    /// Whether it was reported that the worker does not answer.
    pub(crate) reported_silent: bool,
    /// Time of the latest answer or heartbeat.
    pub(crate) last_heard: Time,
    /// Sequence number of the latest heartbeat, and when it arrived.
    sequence: (u64, Time),
    /// Capacity in the latest heartbeat to this leader; it may still be on its way to the state.
    pub(crate) resources: Option<Resources>,
    /// When the open poll was sent; `None` without an open poll.
    pub(crate) open_poll: Option<Time>,
    /// Whether the open poll was sent to a worker without runs.
    pub(crate) has_open_idle_poll: bool,
    /// When the next poll is due.
    pub(crate) next_poll: Time,
    pub(crate) orders: BTreeMap<(TaskId, u32), SentOrder>,
    /// Runs whose orders have got no answer since the last pass.
    pub(crate) unanswered: Vec<(TaskId, u32)>,
    pub(crate) progress: BTreeMap<(TaskId, u32), Progress>,
    /// Runs that the worker has received since the last check.
    pub(crate) new_runs: Vec<(TaskId, u32)>,
    /// Runs in the latest report that are not assigned to the worker.
    pub(crate) strays: BTreeSet<(TaskId, u32)>,
    /// When a stop order was last sent for each run.
    pub(crate) stop_times: BTreeMap<(TaskId, u32), Time>,
    /// Jobs with a failed run on this worker since its last successful run.
    pub(crate) failed_jobs: BTreeSet<JobId>,
    /// Time until which the worker gets no new tasks.
    pub(crate) suspect_until: Time,
    /// Whether most runs in the latest report take far longer than usual.
    pub(crate) is_slow: bool,
    /// Number of consecutive failed orders and polls.
    pub(crate) failed_calls: u32,
    /// Time until which the worker is or was slow after its start; `None` if it never was.
    pub(crate) cold_until: Option<Time>,
}

impl WorkerView {
    /// Creates the view of an incarnation that has not answered this leader.
    pub(crate) fn new(
        index: WorkerIndex,
        born: i64,
        fence: u64,
        now: Time,
        inherited: Inherited,
    ) -> Self {
        Self {
            index,
            born,
            fence,
            confirmed_fence: 0,
            clock: None,
            last_reading: None,
            max_deadline: 0,
            inherited,
            predecessor: None,
            lease_expired: false,
            stop_proposed: None,
            reported_silent: false,
            last_heard: Time(0),
            sequence: (0, Time(0)),
            resources: None,
            open_poll: None,
            has_open_idle_poll: false,
            next_poll: now,
            orders: BTreeMap::new(),
            unanswered: Vec::new(),
            progress: BTreeMap::new(),
            new_runs: Vec::new(),
            strays: BTreeSet::new(),
            stop_times: BTreeMap::new(),
            failed_jobs: BTreeSet::new(),
            suspect_until: Time(0),
            is_slow: false,
            failed_calls: 0,
            cold_until: None,
        }
    }

    /// Whether the worker is slow after its start.
    pub(crate) fn is_cold(&self, now: Time) -> bool {
        self.cold_until.is_some_and(|until| now < until)
    }

    /// Records how much longer the worker was slow at `at`.
    pub(crate) fn record_cold(&mut self, cold_ms: u64, at: Time) {
        self.cold_until = match cold_ms {
            0 => self.cold_until.map(|until| until.min(at)),
            ms => Some(at.after(ms)),
        };
    }

    /// Factor by which a run on the worker may go longer without progress than on others. A run that was slow
    /// while the worker was cold has the longest usual time to progress once it is not.
    pub(crate) fn stall_factor(&self, settings: &Settings, now: Time) -> u64 {
        let is_warming = |until: Time| now < until.after(settings.max_stall_ms);
        match self.cold_until.is_some_and(is_warming) {
            true => COLD_STALL_FACTOR,
            false => 1,
        }
    }

    /// Time since the worker's last message; `None` without any.
    pub(crate) fn silent_ms(&self, now: Time) -> Option<u64> {
        (self.last_heard > Time(0)).then(|| now.since(self.last_heard))
    }

    /// Whether a heartbeat with this sequence number is not older than the latest one; records it if so.
    ///
    /// A lower number is accepted after the longest delay. Otherwise one heartbeat with a number far too
    /// large would silence the worker for good.
    pub(crate) fn accept_sequence(&mut self, sequence: u64, now: Time) -> bool {
        let (latest, at) = self.sequence;
        let accepted = sequence >= latest || now.since(at) > MAX_HEARTBEAT_DELAY_MS;
        if accepted {
            self.sequence = (sequence, now);
        }
        accepted
    }

    /// Records that no poll is open any more.
    pub(crate) fn close_poll(&mut self) {
        self.open_poll = None;
        self.has_open_idle_poll = false;
    }

    /// Records a reading of the worker's clock that arrived at `now`.
    pub(crate) fn read_clock(&mut self, clock_ms: u64, now: Time) {
        // A reading that was delayed in transit is below the estimate, so the larger value is kept.
        if self.min_clock(now).is_none_or(|known| clock_ms > known) {
            self.clock = Some((clock_ms, now));
        }
        if self.last_reading.is_none_or(|(last, _)| clock_ms > last) {
            self.last_reading = Some((clock_ms, now));
        }
    }

    /// Records the reading of the worker's clock in a heartbeat that arrived at `now`.
    ///
    /// A heartbeat may come from another writer. Its reading counts only if it fits those in the worker's own
    /// answers, since one too large would make the worker's lease look expired while its runs go on.
    pub(crate) fn read_heartbeat_clock(&mut self, clock_ms: u64, now: Time) {
        let Some((clock, at)) = self.clock else {
            return;
        };
        let latest = clock.saturating_add(now.since(at));
        if clock_ms <= latest.saturating_add(MAX_ANSWER_DELAY_MS) {
            self.read_clock(clock_ms, now);
        }
    }

    /// Lower bound of the worker's clock at `now`.
    pub(crate) fn min_clock(&self, now: Time) -> Option<u64> {
        let (clock, at) = self.clock?;
        let passed = now.since(at);
        let lag = passed.saturating_mul(MAX_CLOCK_LAG_PERCENT) / 100;
        Some(clock.saturating_add(passed - lag))
    }

    /// Highest reading of the worker's clock; 0 without any.
    pub(crate) fn last_reading_ms(&self) -> u64 {
        self.last_reading.map_or(0, |(clock_ms, _)| clock_ms)
    }

    /// Whether the worker has told its clock, without which it gets no lease.
    pub(crate) fn knows_clock(&self) -> bool {
        self.last_reading.is_some()
    }

    /// Latest deadline that may have been delivered to the worker; `None` without any.
    pub(crate) fn granted_deadline(&self) -> Option<u64> {
        (self.max_deadline > 0).then_some(self.max_deadline)
    }

    /// Returns the deadline, on the worker's clock, of a lease that lasts for `lease_ms` from the
    /// latest reading of that clock, and from `now` at most. `None` if the clock is unknown.
    ///
    /// A lease that counted from the time of sending would let an order to a lost worker delay the
    /// next start of its tasks.
    pub(crate) fn deadline(&mut self, lease_ms: u64, now: Time) -> Option<u64> {
        let (clock, at) = self.last_reading?;
        let deadline = clock.saturating_sub(at.since(now)).saturating_add(lease_ms);
        self.max_deadline = self.max_deadline.max(deadline);
        Some(deadline)
    }

    /// Records that the worker may have received a lease up to this time on its clock.
    pub(crate) fn extend_deadline(&mut self, clock_ms: u64) {
        self.max_deadline = self.max_deadline.max(clock_ms);
    }

    /// Runs whose start order the worker has certainly carried out.
    pub(crate) fn received_runs(&self) -> BTreeSet<(TaskId, u32)> {
        let is_accepted = |o: &SentOrder| matches!(o.state, OrderState::Accepted { .. });
        let accepted = self.orders.iter().filter(|(_, o)| is_accepted(o));
        let mut runs: BTreeSet<_> = accepted.map(|(key, _)| *key).collect();
        runs.extend(self.progress.keys());
        runs
    }

    /// Whether the start order of a run got no answer and may still reach the worker's next incarnation,
    /// whose fencing token and clock start anew.
    pub(crate) fn may_still_arrive(
        &self,
        run: (TaskId, u32),
        max_delay_ms: u64,
        now: Time,
    ) -> bool {
        let order = self.orders.get(&run);
        order.is_some_and(|o| {
            !matches!(o.state, OrderState::Accepted { .. }) && now.since(o.sent_at) < max_delay_ms
        })
    }

    /// Longest time until every lease that the worker may have received has expired.
    pub(crate) fn remaining_lease_ms(&self, now: Time) -> u64 {
        if self.confirmed_fence == 0 && now < self.inherited.until {
            return self.inherited.until.since(now);
        }
        let Some(clock) = self.min_clock(now) else {
            return 0;
        };
        let remaining_ms = self.max_deadline.saturating_sub(clock);
        lease::max_duration_ms(remaining_ms)
    }

    /// Whether every lease that the worker may have received has expired.
    pub(crate) fn leases_expired(&self, now: Time) -> bool {
        if now < self.inherited.until && self.confirmed_fence == 0 {
            return false;
        }
        match self.min_clock(now) {
            Some(clock) => clock > self.max_deadline.saturating_add(CLOCK_MARGIN_MS),
            None => true,
        }
    }
}

/// Returns the views of incarnations that are current in the state, each with the name and the state of
/// its worker.
pub(crate) fn current_workers<'v, 's>(
    views: &'v mut BTreeMap<String, WorkerView>,
    state: &'s State,
) -> impl Iterator<Item = (&'s str, &'v mut WorkerView, &'s Worker)> {
    // Both maps are sorted by name, so that a merge finds the pairs in one pass. A lookup of each name
    // would take most of the time of a pass in a cell with thousands of workers.
    let mut workers = state.workers.iter().peekable();
    views.iter_mut().filter_map(move |(name, view)| {
        while workers.next_if(|(other, _)| *other < name).is_some() {}
        let (name, worker) = workers.next_if(|(other, _)| *other == name)?;
        (worker.incarnation.born == view.born).then_some((name.as_str(), view, worker))
    })
}
