//! Requests and their answers: P5, P6, P7 and P9.

use zinnia_check::EventKind;
use zinnia_check::Invariant;
use zinnia_types::Code;
use zinnia_types::ExecutionStatus;

use crate::record::*;

#[test]
fn callers_get_their_own_answers() {
    run(vec![
        Case::good(
            "a retry answers, and a resend through another VM gets the same",
            vec![
                up("w"),
                up("x"),
                called(1, 1, true, 7),
                sent(2, 1, "w", 7),
                sent(3, 1, "x", 7),
                served(4, "x", 9),
                answered(5, 1, 9),
                called(6, 2, true, 7),
                answered(7, 2, 9),
            ],
        ),
        Case::good(
            "the answer of a VM arrives after it was killed",
            vec![
                up("w"),
                called(1, 1, true, 7),
                sent(2, 1, "w", 7),
                served(3, "w", 9),
                killed(4, 1),
                answered(5, 1, 9),
            ],
        ),
        Case::bad(
            "an answer that no worker gave",
            Invariant::P5,
            3,
            vec![
                up("w"),
                called(1, 1, true, 7),
                sent(2, 1, "w", 7),
                served(3, "w", 9),
                answered(4, 1, 8),
            ],
        ),
        Case::bad(
            "a worker got another request",
            Invariant::P5,
            2,
            vec![up("w"), called(1, 1, true, 7), sent(2, 1, "w", 6)],
        ),
        Case::bad(
            "the same id with another request gets the first one's answer",
            Invariant::P5,
            3,
            vec![
                up("w"),
                called(1, 1, true, 7),
                sent(2, 1, "w", 7),
                served(3, "w", 9),
                answered(4, 1, 9),
                called(5, 2, true, 6),
                answered(6, 2, 9),
            ],
        ),
        Case::bad(
            "two answers",
            Invariant::P5,
            3,
            vec![
                up("w"),
                called(1, 1, true, 7),
                sent(2, 1, "w", 7),
                served(3, "w", 9),
                answered(4, 1, 9),
                answered(5, 1, 9),
            ],
        ),
        Case::bad(
            "an answer to no call",
            Invariant::P5,
            1,
            vec![answered(1, 1, 9)],
        ),
        Case::bad(
            "a call to no VM",
            Invariant::P5,
            1,
            vec![up("w"), sent(1, 1, "w", 7)],
        ),
        Case::bad("no answer", Invariant::P5, 1, vec![called(1, 1, true, 7)]),
    ]);
}

#[test]
fn not_run_is_true() {
    let no = ExecutionStatus::NotRun;
    run(vec![
        Case::good(
            "refused as not run, and run by a resend",
            vec![
                up("w"),
                called(1, 1, true, 7),
                refused(2, 1, Code::Overloaded, no),
                called(3, 1, true, 7),
                sent(4, 1, "w", 7),
                refused(5, 1, Code::Timeout, ExecutionStatus::Unknown),
            ],
        ),
        Case::bad(
            "refused as not run after a worker ran it",
            Invariant::P6,
            3,
            vec![
                up("w"),
                called(1, 1, true, 7),
                sent(2, 1, "w", 7),
                refused(3, 1, Code::Timeout, no),
            ],
        ),
        Case::bad(
            "run after it was refused as not run",
            Invariant::P6,
            3,
            vec![
                up("w"),
                called(1, 1, true, 7),
                refused(2, 1, Code::Timeout, no),
                sent(3, 1, "w", 7),
            ],
        ),
        Case::bad(
            "an attempt is started after it was refused for good",
            Invariant::P6,
            2,
            vec![
                limit(0, 99),
                up("w"),
                deny(1, attempt(0, 1)),
                start(2, "w", attempt(0, 1), 1, true),
            ],
        ),
        Case::bad(
            "an attempt that ran is reported as refused",
            Invariant::P6,
            2,
            vec![
                limit(0, 99),
                up("w"),
                start(1, "w", attempt(0, 1), 1, true),
                end(2, "w", attempt(0, 1)),
                deny(3, attempt(0, 1)),
            ],
        ),
    ]);
}

#[test]
fn work_not_to_be_repeated_runs_once() {
    run(vec![
        Case::good(
            "a resend learns the outcome",
            vec![
                up("w"),
                called(1, 1, false, 7),
                called(2, 2, false, 7),
                sent(3, 1, "w", 7),
                served(4, "w", 9),
                answered(5, 1, 9),
                answered(6, 2, 9),
            ],
        ),
        Case::bad(
            "a resend runs it again",
            Invariant::P7,
            3,
            vec![
                up("w"),
                called(1, 1, false, 7),
                sent(2, 1, "w", 7),
                dropped(3, 1),
                called(4, 2, false, 7),
                sent(5, 2, "w", 7),
            ],
        ),
        Case::bad(
            "a task not to be repeated is run again",
            Invariant::P7,
            2,
            vec![
                limit(0, 99),
                up("w"),
                up("x"),
                start(1, "w", attempt(0, 1), 1, false),
                down(2, "w", false),
                start(3, "x", attempt(0, 2), 1, false),
            ],
        ),
    ]);
}

#[test]
fn graceful_shutdown_interrupts_nothing() {
    let open = |rest: Vec<(u64, EventKind)>| {
        let mut record = vec![
            up("w"),
            called(1, 1, true, 7),
            sent(2, 1, "w", 7),
            drain(3, 1),
        ];
        record.extend(rest);
        record
    };
    run(vec![
        Case::good(
            "the answer comes before the shutdown; later calls are refused",
            vec![
                up("w"),
                called(1, 1, true, 7),
                sent(2, 1, "w", 7),
                drain(3, 1),
                served(4, "w", 9),
                answered(5, 1, 9),
                called(6, 1, true, 7),
                refused(7, 1, Code::Draining, ExecutionStatus::NotRun),
                drained(8, 1),
                down(9, "w", true),
            ],
        ),
        Case::good("a killed VM owes no answer", open(vec![killed(4, 1)])),
        Case::good(
            "a kill is not graceful",
            open(vec![killed(4, 1), dropped(5, 1)]),
        ),
        Case::bad(
            "shut down with a call open",
            Invariant::P9,
            3,
            open(vec![drained(4, 1)]),
        ),
        Case::bad(
            "dropped while draining",
            Invariant::P9,
            3,
            open(vec![dropped(4, 1)]),
        ),
        Case::bad(
            "refused while draining",
            Invariant::P9,
            3,
            open(vec![refused(
                4,
                1,
                Code::Draining,
                ExecutionStatus::Unknown,
            )]),
        ),
        Case::bad(
            "a worker shuts down while it runs a call",
            Invariant::P9,
            2,
            open(vec![down(4, "w", true)]),
        ),
    ]);
}
