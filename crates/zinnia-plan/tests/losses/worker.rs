//! A worker as the platform's protocol describes it, independent of the code under test.

use std::collections::BTreeMap;

use zinnia_plan::ActiveRun;
use zinnia_plan::End;
use zinnia_plan::EndReason;
use zinnia_plan::Poll;
use zinnia_plan::Report;
use zinnia_plan::RunOrder;
use zinnia_plan::StartOrder;
use zinnia_plan::TaskId;

/// Longest lease that a worker accepts, in milliseconds on its own clock.
pub(crate) const MAX_LEASE_MS: u64 = 10_000;

/// Processor capacity in thousandths of a core.
pub(crate) const WORKER_CPU: u64 = 8_000;

/// The steady clock of one incarnation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    /// Reading at the start of the incarnation.
    pub(crate) origin: u64,
    /// Time of the start in the time of the simulation.
    pub(crate) started: u64,
    /// By how many thousandths the clock runs slow.
    pub(crate) lag: u64,
}

impl Clock {
    fn read(&self, now: u64) -> u64 {
        let passed = now - self.started;
        self.origin + passed - (passed * self.lag).div_ceil(1_000)
    }
}

/// A run that is active on a worker.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) number: u32,
    started: u64,
    /// Time of work; `None` for a task that is to last.
    work_ms: Option<u64>,
    cpu: u64,
}

/// Demand and time of work of a task.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Work {
    pub(crate) cpu: u64,
    /// `None` for a task that is to last.
    pub(crate) work_ms: Option<u64>,
}

/// Response to a start order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StartAnswer {
    /// The run is active; `new` if the order started it. Has a reading of the clock.
    Active {
        new: bool,
        clock_ms: u64,
    },
    Refused,
}

/// A poll whose answer waits for the end of a run.
#[derive(Clone, Debug)]
struct HeldPoll {
    call: u64,
    poll: Poll,
    until: u64,
}

/// An end `done` that was acknowledged.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AckedEnd {
    pub(crate) task: TaskId,
    /// When the run ended.
    pub(crate) at: u64,
}

/// One incarnation of a worker.
#[derive(Clone, Debug)]
pub(crate) struct Incarnation {
    pub(crate) born: i64,
    clock: Clock,
    /// Highest fencing token.
    fence: u64,
    /// Lease deadline on the clock of the worker.
    deadline: u64,
    /// When the lease was last found expired.
    lapsed: Option<u64>,
    pub(crate) runs: BTreeMap<TaskId, Run>,
    ends: Vec<(End, u64)>,
    end_count: u64,
    /// Highest run of each task that was stopped or has ended.
    closed: BTreeMap<TaskId, u32>,
    held: Vec<HeldPoll>,
    pub(crate) sequence: u64,
}

impl Incarnation {
    pub(crate) fn new(born: i64, clock: Clock) -> Self {
        Self {
            born,
            clock,
            fence: 0,
            deadline: 0,
            lapsed: None,
            runs: BTreeMap::new(),
            ends: Vec::new(),
            end_count: 0,
            closed: BTreeMap::new(),
            held: Vec::new(),
            sequence: 0,
        }
    }

    pub(crate) fn clock_ms(&self, now: u64) -> u64 {
        self.clock.read(now)
    }

    pub(crate) fn free_cpu(&self) -> u64 {
        let used: u64 = self.runs.values().map(|r| r.cpu).sum();
        WORKER_CPU.saturating_sub(used)
    }

    /// Whether an order with this token is to be carried out; remembers the highest one.
    fn accept_fence(&mut self, fence: u64) -> bool {
        let accepted = fence >= self.fence;
        self.fence = self.fence.max(fence);
        accepted
    }

    fn extend_lease(&mut self, deadline: u64, now: u64) {
        let longest = self.clock_ms(now) + MAX_LEASE_MS;
        self.deadline = self.deadline.max(deadline.min(longest));
    }

    /// Carries out a start order.
    pub(crate) fn start(&mut self, order: &StartOrder, work: Work, now: u64) -> StartAnswer {
        let (task, run) = (order.common.task, order.common.run);
        if !self.accept_fence(order.common.fence) || order.deadline_ms <= self.clock_ms(now) {
            return StartAnswer::Refused;
        }
        self.extend_lease(order.deadline_ms, now);
        let clock_ms = self.clock_ms(now);
        if self.runs.get(&task).is_some_and(|r| r.number == run) {
            return StartAnswer::Active {
                new: false,
                clock_ms,
            };
        }
        let is_old = self.closed.get(&task).is_some_and(|&closed| run <= closed);
        if is_old || self.free_cpu() < work.cpu {
            return StartAnswer::Refused;
        }
        let started = Run {
            number: run,
            started: now,
            work_ms: work.work_ms,
            cpu: work.cpu,
        };
        self.runs.insert(task, started);
        StartAnswer::Active {
            new: true,
            clock_ms,
        }
    }

    /// Carries out a stop order.
    pub(crate) fn stop(&mut self, order: &RunOrder, now: u64) {
        if !self.accept_fence(order.fence) {
            return;
        }
        let closed = self.closed.entry(order.task).or_default();
        *closed = (*closed).max(order.run);
        let active = self.runs.get(&order.task);
        if active.is_some_and(|r| r.number == order.run) {
            self.end(order.task, EndReason::Stopped, now);
        }
    }

    /// Takes in a poll. Returns the ends that it acknowledges, or `None` if its token is too low.
    pub(crate) fn poll(&mut self, call: u64, poll: &Poll, now: u64) -> Option<Vec<AckedEnd>> {
        if !self.accept_fence(poll.fence) {
            return None;
        }
        if let Some(deadline) = poll.deadline_ms {
            self.extend_lease(deadline, now);
        }
        let acked = self.acknowledge(poll.acked_end);
        self.held.push(HeldPoll {
            call,
            poll: poll.clone(),
            until: now + poll.wait_ms,
        });
        Some(acked)
    }

    /// Forgets ends. Returns those `done` after which the lease has not expired.
    fn acknowledge(&mut self, upto: u64) -> Vec<AckedEnd> {
        let lapsed = self.lapsed;
        let is_acked = |(end, _): &&(End, u64)| end.number <= upto;
        let counts = |(end, at): &&(End, u64)| {
            end.reason == EndReason::Done && lapsed.is_none_or(|lapsed| lapsed < *at)
        };
        let acked = self.ends.iter().filter(is_acked).filter(counts);
        let acked = acked.map(|(end, at)| AckedEnd {
            task: end.task,
            at: *at,
        });
        let acked = acked.collect();
        self.ends.retain(|(end, _)| end.number > upto);
        acked
    }

    fn end(&mut self, task: TaskId, reason: EndReason, now: u64) {
        let Some(run) = self.runs.remove(&task) else {
            return;
        };
        let closed = self.closed.entry(task).or_default();
        *closed = (*closed).max(run.number);
        self.end_count += 1;
        let end = End {
            number: self.end_count,
            task,
            run: run.number,
            reason,
            checkpoint: String::new(),
        };
        self.ends.push((end, now));
    }

    /// Lets time pass: kills everything if the lease has expired, and ends what is complete. Returns
    /// the runs that ended.
    pub(crate) fn advance(&mut self, now: u64) -> Vec<(TaskId, u32, EndReason)> {
        let expired = self.clock_ms(now) >= self.deadline;
        if expired {
            self.lapsed = Some(now);
        }
        let is_complete = |r: &Run| r.work_ms.is_some_and(|ms| now - r.started >= ms);
        let due = self
            .runs
            .iter()
            .filter(|(_, r)| expired || is_complete(r))
            .map(|(&task, r)| (task, r.number));
        let due: Vec<(TaskId, u32)> = due.collect();
        let reason = match expired {
            true => EndReason::Lapsed,
            false => EndReason::Done,
        };
        let ended = due.into_iter().map(|(task, run)| {
            self.end(task, reason, now);
            (task, run, reason)
        });
        ended.collect()
    }

    /// Polls that are answered now, with their calls.
    pub(crate) fn answered_polls(&mut self, now: u64) -> Vec<(u64, Poll, Report)> {
        let has_ends = !self.ends.is_empty();
        let is_due = |held: &HeldPoll| has_ends || now >= held.until;
        let (due, held): (Vec<_>, Vec<_>) = self.held.drain(..).partition(is_due);
        self.held = held;
        let answers = due.into_iter();
        answers
            .map(|held| (held.call, held.poll, self.report(now)))
            .collect()
    }

    /// Calls of the polls that wait for an answer.
    pub(crate) fn held_calls(&self) -> impl Iterator<Item = u64> {
        self.held.iter().map(|held| held.call)
    }

    fn report(&self, now: u64) -> Report {
        let percent = |r: &Run| match r.work_ms {
            Some(ms) => (now - r.started) * 100 / ms.max(1),
            None => 100,
        };
        let running = self.runs.iter().map(|(&task, r)| ActiveRun {
            task,
            run: r.number,
            checkpoint: String::new(),
            percent: percent(r),
            load: 0,
        });
        Report {
            born: Some(self.born),
            clock_ms: self.clock_ms(now),
            running: running.collect(),
            ended: self.ends.iter().map(|(end, _)| end.clone()).collect(),
            partial: false,
        }
    }
}
