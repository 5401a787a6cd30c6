//! What must hold at each step, and the timeline of a simulation.

use std::collections::BTreeMap;
use std::fmt;

use zinnia_plan::TaskId;
use zinnia_types::JobId;

use crate::schedule::Schedule;

/// Longest time after the last loss until a task that is to last runs again: `contactMs` and 7 s.
pub(crate) const LOSS_BOUND_MS: u64 = 3_000 + 7_000;

/// Time after its last run in which a task that is to last may be without one.
const PAUSE_BOUND_MS: u64 = 6_000;

/// How long there must be room for a task that does not run.
const ROOM_MS: u64 = 3_000;

/// Longest time after the answer to a cancellation in which a task of the job may start.
const CANCEL_BOUND_MS: u64 = 3_000;

/// Kind of a violation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Kind {
    /// Two runs of a task at the same time.
    Twice,
    /// A start after the end of the task was taken note of.
    AfterDone,
    /// A task that is to last does not run again in time.
    Late,
    /// A job that is to last is shown as ended.
    GivenUp,
    /// A task starts long after the cancellation of its job was answered.
    Unasked,
}

/// A violation of a rule.
#[derive(Clone, Debug)]
pub(crate) struct Violation {
    pub(crate) kind: Kind,
    pub(crate) task: TaskId,
}

/// A task that is to last.
#[derive(Clone, Copy, Debug)]
struct Lasting {
    /// When it was accepted, or when its last run ended.
    idle_since: u64,
    reported: bool,
}

/// Events and violations.
#[derive(Default)]
pub(crate) struct Checks {
    lasting: BTreeMap<TaskId, Lasting>,
    /// Times of all starts of a task.
    starts: BTreeMap<TaskId, Vec<u64>>,
    /// When the cancellation of a job was first answered.
    cancelled: BTreeMap<JobId, u64>,
    last_loss: u64,
    /// When there was last no room for a lasting task.
    last_full: u64,
    events: Vec<(u64, String)>,
    pub(crate) violations: Vec<Violation>,
}

impl Checks {
    pub(crate) fn note(&mut self, now: u64, text: impl Into<String>) {
        self.events.push((now, text.into()));
    }

    /// Records a loss, which excuses that tasks do not run until some time after its `end`.
    pub(crate) fn loss(&mut self, now: u64, end: u64, text: impl Into<String>) {
        self.last_loss = self.last_loss.max(end);
        self.note(now, text);
    }

    pub(crate) fn accepted(&mut self, task: TaskId, now: u64) {
        let lasting = Lasting {
            idle_since: now,
            reported: false,
        };
        self.lasting.entry(task).or_insert(lasting);
    }

    /// Records that the job of a lasting task is not open any more.
    pub(crate) fn given_up(&mut self, task: TaskId, now: u64) {
        if self.lasting.remove(&task).is_some() {
            self.fail(Kind::GivenUp, now, task, "its job is shown as ended");
        }
    }

    /// Records a violation.
    pub(crate) fn fail(&mut self, kind: Kind, now: u64, task: TaskId, text: &str) {
        self.note(now, format!("VIOLATION {kind:?} {task}: {text}"));
        self.violations.push(Violation { kind, task });
    }

    /// Records a start. `others` are the workers where the task runs already.
    pub(crate) fn started(
        &mut self,
        task: TaskId,
        run: u32,
        on: &str,
        others: &[String],
        now: u64,
    ) {
        self.note(now, format!("{task} run {run} starts on {on}"));
        self.starts.entry(task).or_default().push(now);
        if !others.is_empty() {
            let text = format!("run {run} on {on}, while it runs on {others:?}");
            self.fail(Kind::Twice, now, task, &text);
        }
    }

    /// Records that the cancellation of a job was answered.
    pub(crate) fn cancelled(&mut self, job: JobId, now: u64) {
        self.cancelled.entry(job).or_insert(now);
    }

    pub(crate) fn is_cancelled(&self, job: JobId) -> bool {
        self.cancelled.contains_key(&job)
    }

    /// Checks a start whose order was not delayed.
    pub(crate) fn check_cancelled(&mut self, task: TaskId, now: u64) {
        let cancelled = self.cancelled.get(&task.job).copied();
        if let Some(at) = cancelled.filter(|at| now > at + CANCEL_BOUND_MS) {
            let text = format!("it starts after the cancellation was answered at {at}");
            self.fail(Kind::Unasked, now, task, &text);
        }
    }

    /// Records that an end `done` was taken note of, which was at `ended`.
    pub(crate) fn done_acked(&mut self, task: TaskId, ended: u64, now: u64) {
        let starts = self.starts.get(&task);
        if starts.is_some_and(|list| list.iter().any(|&at| at > ended)) {
            let text = format!("it ended as done at {ended}, and was started after that");
            self.fail(Kind::AfterDone, now, task, &text);
        }
    }

    /// Checks that the lasting tasks run; `has_room` tells whether they could.
    pub(crate) fn check_lasting(
        &mut self,
        is_running: impl Fn(TaskId) -> bool,
        has_room: bool,
        now: u64,
    ) {
        if !has_room {
            self.last_full = now;
        }
        let is_calm = now > self.last_loss + LOSS_BOUND_MS;
        let excused = !is_calm || now < self.last_full + ROOM_MS;
        let mut late = Vec::new();
        for (&task, lasting) in &mut self.lasting {
            if is_running(task) {
                lasting.idle_since = now;
                lasting.reported = false;
                continue;
            }
            let idle_ms = now - lasting.idle_since;
            if !excused && idle_ms > PAUSE_BOUND_MS && !lasting.reported {
                lasting.reported = true;
                late.push((task, idle_ms));
            }
        }
        for (task, idle_ms) in late {
            let since_ms = now - self.last_loss;
            let text = format!("no run for {idle_ms} ms, {since_ms} ms after the last loss");
            self.fail(Kind::Late, now, task, &text);
        }
    }
}

/// Result of one simulation.
pub(crate) struct Outcome {
    pub(crate) schedule: Schedule,
    pub(crate) checks: Checks,
}

impl Outcome {
    /// Kinds of the violations.
    pub(crate) fn kinds(&self) -> Vec<Kind> {
        let mut kinds: Vec<Kind> = self.checks.violations.iter().map(|v| v.kind).collect();
        kinds.sort();
        kinds.dedup();
        kinds
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Schedule { class, seed, .. } = &self.schedule;
        writeln!(f, "{class:?}, seed {seed}: {:?}", self.schedule.faults)?;
        // Most events concern short tasks.
        let tasks: Vec<String> = self.checks.lasting.keys().map(|t| t.to_string()).collect();
        let failed = self.checks.violations.iter().map(|v| v.task.to_string());
        let shown: Vec<String> = tasks.into_iter().chain(failed).collect();
        let is_shown = |text: &str| {
            let is_start = text.contains(" run ") && !text.starts_with("VIOLATION");
            !is_start || shown.iter().any(|t| text.contains(t.as_str()))
        };
        for (at, text) in self.checks.events.iter().filter(|(_, text)| is_shown(text)) {
            writeln!(f, "{at:>7} ms  {text}")?;
        }
        Ok(())
    }
}
