//! Test cases of records, and short functions that create their events.

use zinnia_check::Event;
use zinnia_check::EventKind;
use zinnia_check::Invariant;
use zinnia_check::Settings;
use zinnia_check::check;
use zinnia_types::AttemptId;
use zinnia_types::Code;
use zinnia_types::ExecutionStatus;
use zinnia_types::JobId;
use zinnia_types::Name;
use zinnia_types::Resources;
use zinnia_types::TeamId;
use zinnia_types::Time;
use zinnia_types::VmId;
use zinnia_types::WorkerId;

/// A record with the expected result of the check.
pub(crate) struct Case {
    name: &'static str,
    record: Vec<(u64, EventKind)>,
    /// Invariant that the record violates, if any.
    violates: Option<Invariant>,
    /// Number of events in the trace of the violation.
    trace_length: usize,
}

impl Case {
    /// A record that satisfies all invariants.
    pub(crate) fn valid(name: &'static str, record: Vec<(u64, EventKind)>) -> Self {
        Self {
            name,
            record,
            violates: None,
            trace_length: 0,
        }
    }

    /// A record that violates an invariant, with the length of the trace.
    pub(crate) fn violation(
        name: &'static str,
        invariant: Invariant,
        trace_length: usize,
        record: Vec<(u64, EventKind)>,
    ) -> Self {
        Self {
            name,
            record,
            violates: Some(invariant),
            trace_length,
        }
    }
}

/// Time at which each record ends, in milliseconds.
const END_MS: u64 = 1_000_000;

/// Checks each record; also asserts that its events survive a round trip through JSON.
pub(crate) fn check_cases(cases: Vec<Case>) {
    for case in cases {
        let record: Vec<Event> = case
            .record
            .iter()
            .map(|(ms, kind)| Event::new(*ms, kind.clone()))
            .collect();
        let text = serde_json::to_string(&record).unwrap();
        assert_eq!(serde_json::from_str::<Vec<Event>>(&text).unwrap(), record);
        let result = check(Settings::default(), &record, Time(END_MS));
        let violation = result.as_ref().err();
        assert_eq!(
            violation.map(|v| v.invariant),
            case.violates,
            "{}: {violation:?}",
            case.name
        );
        assert_eq!(
            violation.map_or(0, |v| v.trace.len()),
            case.trace_length,
            "{}: {violation:?}",
            case.name
        );
    }
}

fn worker(name: &str) -> WorkerId {
    WorkerId::new(name).unwrap()
}

fn team(name: &str) -> TeamId {
    TeamId::new(name).unwrap()
}

fn cores(n: u64) -> Resources {
    Resources {
        cpu: n * 1_000,
        mem: n,
        gpu: 0,
    }
}

pub(crate) fn attempt(task: u32, number: u32) -> AttemptId {
    AttemptId {
        job: JobId(1),
        task,
        term: 1,
        number,
    }
}

/// Defines one function per line, which returns the time and the kind of an event.
macro_rules! events {
    ($($name:ident($($arg:ident: $type:ty),*) => $kind:expr;)*) => {
        $(pub(crate) fn $name(at: u64, $($arg: $type),*) -> (u64, EventKind) {
            use EventKind::*;
            (at, $kind)
        })*
    };
}

events! {
    worker_up_at(on: &str) => WorkerUp { worker: worker(on), capacity: cores(8) };
    worker_down(on: &str, graceful: bool) => WorkerDown { worker: worker(on), graceful };
    leaving() => Leaving { worker: worker("w") };
    limit(n: u64) => Limit { team: team("ink"), limit: cores(n) };
    ended(on: &str, attempt: AttemptId) => Ended { worker: worker(on), attempt };
    start_refused(attempt: AttemptId) => StartRefused { worker: worker("w"), attempt };
    task_finished() => TaskFinished { job: JobId(1), task: 0 };
    called(vm: u64, repeat: bool, request: u64) =>
        Called { call: call(), vm: VmId(vm), repeat, request };
    sent(vm: u64, on: &str, request: u64) =>
        Sent { call: call(), vm: VmId(vm), worker: worker(on), request };
    served(on: &str, response: u64) => Served { call: call(), worker: worker(on), response };
    answered(vm: u64, response: u64) => Answered { call: call(), vm: VmId(vm), response };
    refused(vm: u64, code: Code, ran: ExecutionStatus) => Refused { call: call(), vm: VmId(vm), code, ran };
    dropped(vm: u64) => Dropped { call: call(), vm: VmId(vm) };
    accepted(vm: u64, key: Option<&str>) =>
        Accepted { vm: VmId(vm), team: team("ink"), kind: kind(), key: key.map(str::to_owned) };
    granted(owner: Option<&str>) => Granted { key: "k".to_owned(), team: owner.map(team) };
    withdrawn() => Withdrawn { key: "k".to_owned() };
    opened(owner: Option<&str>) => Opened { kind: kind(), team: owner.map(team) };
    document(version: u64, digest: u64) => Document { version, digest };
    in_force(vm: u64, version: u64, digest: u64) => InForce { vm: VmId(vm), version, digest };
    reachable(vm: u64) => Reachable { vm: VmId(vm) };
    unreachable(vm: u64) => Unreachable { vm: VmId(vm) };
    killed(vm: u64) => Killed { vm: VmId(vm) };
    drain(vm: u64) => Drain { vm: VmId(vm) };
    drained(vm: u64) => Drained { vm: VmId(vm) };
}

fn call() -> String {
    "c".to_owned()
}

fn kind() -> Name {
    Name::new("proof").unwrap()
}

pub(crate) fn worker_up(on: &str) -> (u64, EventKind) {
    worker_up_at(0, on)
}

pub(crate) fn started(
    at: u64,
    on: &str,
    attempt: AttemptId,
    need: u64,
    repeat: bool,
) -> (u64, EventKind) {
    let kind = EventKind::Started {
        worker: worker(on),
        attempt,
        team: team("ink"),
        need: cores(need),
        repeat,
    };
    (at, kind)
}
