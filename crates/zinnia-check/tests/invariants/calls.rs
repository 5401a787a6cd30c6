//! Invariants on requests and their answers: P5, P6, P7 and P9.

use zinnia_check::EventKind;
use zinnia_check::Invariant;
use zinnia_types::Code;
use zinnia_types::ExecutionStatus;

use crate::record::*;

/// Guards against a checker that accepts a missing, foreign or repeated answer (P5).
#[test]
fn callers_get_their_own_answers() {
    check_cases(vec![
        Case::valid(
            "a retry on another worker answers, and a resend through another VM gets the same answer",
            vec![
                worker_up("w"),
                worker_up("x"),
                called(1, 1, true, 7),
                sent(2, 1, "w", 7),
                sent(3, 1, "x", 7),
                served(4, "x", 9),
                answered(5, 1, 9),
                called(6, 2, true, 7),
                answered(7, 2, 9),
            ],
        ),
        Case::valid(
            "the answer of a VM arrives after it was killed",
            vec![
                worker_up("w"),
                called(1, 1, true, 7),
                sent(2, 1, "w", 7),
                served(3, "w", 9),
                killed(4, 1),
                answered(5, 1, 9),
            ],
        ),
        Case::violation(
            "an answer that no worker produced",
            Invariant::P5,
            3,
            vec![
                worker_up("w"),
                called(1, 1, true, 7),
                sent(2, 1, "w", 7),
                served(3, "w", 9),
                answered(4, 1, 8),
            ],
        ),
        Case::violation(
            "a worker receives another request than was sent",
            Invariant::P5,
            2,
            vec![worker_up("w"), called(1, 1, true, 7), sent(2, 1, "w", 6)],
        ),
        Case::violation(
            "another request with the same id gets the answer of the first",
            Invariant::P5,
            3,
            vec![
                worker_up("w"),
                called(1, 1, true, 7),
                sent(2, 1, "w", 7),
                served(3, "w", 9),
                answered(4, 1, 9),
                called(5, 2, true, 6),
                answered(6, 2, 9),
            ],
        ),
        Case::violation(
            "two answers to one request",
            Invariant::P5,
            3,
            vec![
                worker_up("w"),
                called(1, 1, true, 7),
                sent(2, 1, "w", 7),
                served(3, "w", 9),
                answered(4, 1, 9),
                answered(5, 1, 9),
            ],
        ),
        Case::violation(
            "an answer without a request",
            Invariant::P5,
            1,
            vec![answered(1, 1, 9)],
        ),
        Case::violation(
            "a worker runs a request that was sent to no VM",
            Invariant::P5,
            1,
            vec![worker_up("w"), sent(1, 1, "w", 7)],
        ),
        Case::violation(
            "a request without an answer",
            Invariant::P5,
            1,
            vec![called(1, 1, true, 7)],
        ),
    ]);
}

/// Guards against a checker that accepts work which runs although it was refused as not run (P6).
#[test]
fn work_refused_as_not_run_does_not_run() {
    let not_run = ExecutionStatus::NotRun;
    check_cases(vec![
        Case::valid(
            "refused as not run, then run after a resend",
            vec![
                worker_up("w"),
                called(1, 1, true, 7),
                refused(2, 1, Code::Overloaded, not_run),
                called(3, 1, true, 7),
                sent(4, 1, "w", 7),
                refused(5, 1, Code::Timeout, ExecutionStatus::Unknown),
            ],
        ),
        Case::violation(
            "refused as not run after a worker ran it",
            Invariant::P6,
            3,
            vec![
                worker_up("w"),
                called(1, 1, true, 7),
                sent(2, 1, "w", 7),
                refused(3, 1, Code::Timeout, not_run),
            ],
        ),
        Case::violation(
            "run after it was refused as not run",
            Invariant::P6,
            3,
            vec![
                worker_up("w"),
                called(1, 1, true, 7),
                refused(2, 1, Code::Timeout, not_run),
                sent(3, 1, "w", 7),
            ],
        ),
        Case::violation(
            "an attempt is started after it was refused permanently",
            Invariant::P6,
            2,
            vec![
                limit(0, 99),
                worker_up("w"),
                start_refused(1, attempt(0, 1)),
                started(2, "w", attempt(0, 1), 1, true),
            ],
        ),
        Case::violation(
            "an attempt that ran is reported as refused",
            Invariant::P6,
            2,
            vec![
                limit(0, 99),
                worker_up("w"),
                started(1, "w", attempt(0, 1), 1, true),
                ended(2, "w", attempt(0, 1)),
                start_refused(3, attempt(0, 1)),
            ],
        ),
    ]);
}

/// Guards against a checker that accepts a second run of work that must not be repeated (P7).
#[test]
fn at_most_once_work_runs_once() {
    check_cases(vec![
        Case::valid(
            "a resend receives the outcome of the first run",
            vec![
                worker_up("w"),
                called(1, 1, false, 7),
                called(2, 2, false, 7),
                sent(3, 1, "w", 7),
                served(4, "w", 9),
                answered(5, 1, 9),
                answered(6, 2, 9),
            ],
        ),
        Case::violation(
            "a resend runs the request again",
            Invariant::P7,
            3,
            vec![
                worker_up("w"),
                called(1, 1, false, 7),
                sent(2, 1, "w", 7),
                dropped(3, 1),
                called(4, 2, false, 7),
                sent(5, 2, "w", 7),
            ],
        ),
        Case::violation(
            "a task not to be repeated is run again",
            Invariant::P7,
            2,
            vec![
                limit(0, 99),
                worker_up("w"),
                worker_up("x"),
                started(1, "w", attempt(0, 1), 1, false),
                worker_down(2, "w", false),
                started(3, "x", attempt(0, 2), 1, false),
            ],
        ),
    ]);
}

/// Guards against a checker that accepts a request that a graceful shutdown interrupted (P9).
#[test]
fn graceful_shutdown_interrupts_no_request() {
    let with_open_call = |rest: Vec<(u64, EventKind)>| {
        let mut record = vec![
            worker_up("w"),
            called(1, 1, true, 7),
            sent(2, 1, "w", 7),
            drain(3, 1),
        ];
        record.extend(rest);
        record
    };
    check_cases(vec![
        Case::valid(
            "the answer comes before the shutdown; later calls are refused",
            vec![
                worker_up("w"),
                called(1, 1, true, 7),
                sent(2, 1, "w", 7),
                drain(3, 1),
                served(4, "w", 9),
                answered(5, 1, 9),
                called(6, 1, true, 7),
                refused(7, 1, Code::Draining, ExecutionStatus::NotRun),
                drained(8, 1),
                worker_down(9, "w", true),
            ],
        ),
        Case::valid(
            "a killed VM need not answer",
            with_open_call(vec![killed(4, 1)]),
        ),
        Case::valid(
            "a connection that a killed VM drops is not a graceful shutdown",
            with_open_call(vec![killed(4, 1), dropped(5, 1)]),
        ),
        Case::violation(
            "shutdown with an open call",
            Invariant::P9,
            3,
            with_open_call(vec![drained(4, 1)]),
        ),
        Case::violation(
            "dropped while draining",
            Invariant::P9,
            3,
            with_open_call(vec![dropped(4, 1)]),
        ),
        Case::violation(
            "refused while draining",
            Invariant::P9,
            3,
            with_open_call(vec![refused(
                4,
                1,
                Code::Draining,
                ExecutionStatus::Unknown,
            )]),
        ),
        Case::violation(
            "a worker shuts down while it runs a call",
            Invariant::P9,
            2,
            with_open_call(vec![worker_down(4, "w", true)]),
        ),
    ]);
}
