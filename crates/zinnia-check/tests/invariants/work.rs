//! Invariants on capacity, single runs, limits and leaving targets: P1, P2, P4 and P8.

use zinnia_check::Invariant;

use crate::record::*;

/// Guards against a checker that accepts an overloaded worker (P1).
#[test]
fn load_stays_within_capacity() {
    check_cases(vec![
        Case::valid(
            "capacity is reused after an attempt ends and after the worker restarts",
            vec![
                limit(0, 99),
                worker_up("w"),
                started(1, "w", attempt(0, 1), 8, true),
                ended(2, "w", attempt(0, 1)),
                started(3, "w", attempt(1, 1), 8, true),
                worker_down(4, "w", false),
                worker_up("w"),
                started(5, "w", attempt(2, 1), 8, true),
            ],
        ),
        Case::violation(
            "two tasks exceed the capacity of the worker",
            Invariant::P1,
            3,
            vec![
                limit(0, 99),
                worker_up("w"),
                started(1, "w", attempt(0, 1), 5, true),
                started(2, "w", attempt(1, 1), 4, true),
            ],
        ),
        Case::violation(
            "a worker that is down starts an attempt",
            Invariant::P1,
            1,
            vec![
                limit(0, 99),
                worker_up("w"),
                worker_down(1, "w", false),
                started(2, "w", attempt(0, 1), 1, true),
            ],
        ),
    ]);
}

/// Guards against a checker that accepts a task that runs twice at a time or finishes twice (P2).
#[test]
fn task_runs_in_one_place_and_finishes_once() {
    check_cases(vec![
        Case::valid(
            "a task moves after its end, and after its worker died",
            vec![
                limit(0, 99),
                worker_up("w"),
                worker_up("x"),
                started(1, "w", attempt(0, 1), 1, true),
                ended(2, "w", attempt(0, 1)),
                started(3, "x", attempt(0, 2), 1, true),
                worker_down(4, "x", false),
                started(5, "w", attempt(0, 3), 1, true),
                task_finished(6),
            ],
        ),
        Case::violation(
            "a task runs on two workers",
            Invariant::P2,
            2,
            vec![
                limit(0, 99),
                worker_up("w"),
                worker_up("x"),
                started(1, "w", attempt(0, 1), 1, true),
                ended(2, "x", attempt(0, 1)),
                started(3, "x", attempt(0, 2), 1, true),
            ],
        ),
        Case::violation(
            "an attempt is started again after its end",
            Invariant::P2,
            2,
            vec![
                limit(0, 99),
                worker_up("w"),
                started(1, "w", attempt(0, 1), 1, true),
                ended(2, "w", attempt(0, 1)),
                started(3, "w", attempt(0, 1), 1, true),
            ],
        ),
        Case::violation(
            "a task is finished twice",
            Invariant::P2,
            2,
            vec![task_finished(1), task_finished(2)],
        ),
        Case::violation(
            "a finished task is started",
            Invariant::P2,
            2,
            vec![
                limit(0, 99),
                worker_up("w"),
                task_finished(1),
                started(2, "w", attempt(0, 1), 1, true),
            ],
        ),
    ]);
}

/// Guards against a checker that accepts a team above its limit (P4).
#[test]
fn team_stays_within_its_limit() {
    check_cases(vec![
        Case::valid(
            "tasks above a lowered limit may finish",
            vec![
                limit(0, 8),
                worker_up("w"),
                worker_up("x"),
                started(1, "w", attempt(0, 1), 6, true),
                limit(10, 4),
                started(2_010, "x", attempt(1, 1), 2, true),
                ended(3_000, "w", attempt(0, 1)),
                started(3_001, "w", attempt(2, 1), 2, true),
            ],
        ),
        Case::valid(
            "the tasks of a dead worker no longer count",
            vec![
                limit(0, 8),
                worker_up("w"),
                started(1, "w", attempt(0, 1), 8, true),
                worker_down(2, "w", false),
                worker_up("w"),
                started(3, "w", attempt(1, 1), 8, true),
            ],
        ),
        Case::valid(
            "an isolated VM keeps applying the limit that it knows",
            vec![
                limit(0, 8),
                worker_up("w"),
                unreachable(5, 1),
                limit(10, 4),
                started(50_000, "w", attempt(0, 1), 8, true),
            ],
        ),
        Case::violation(
            "the running tasks exceed the limit",
            Invariant::P4,
            3,
            vec![
                limit(0, 6),
                worker_up("w"),
                started(1, "w", attempt(0, 1), 4, true),
                started(2, "w", attempt(1, 1), 3, true),
            ],
        ),
        Case::violation(
            "a start above a lowered limit",
            Invariant::P4,
            3,
            vec![
                limit(0, 8),
                worker_up("w"),
                started(1, "w", attempt(0, 1), 3, true),
                limit(10, 4),
                started(2_011, "w", attempt(1, 1), 2, true),
            ],
        ),
        Case::violation(
            "a killed VM does not excuse the use of an old limit",
            Invariant::P4,
            2,
            vec![
                limit(0, 8),
                worker_up("w"),
                killed(5, 1),
                limit(10, 4),
                started(2_011, "w", attempt(0, 1), 5, true),
            ],
        ),
        Case::violation(
            "a team without a limit",
            Invariant::P4,
            1,
            vec![worker_up("w"), started(1, "w", attempt(0, 1), 1, true)],
        ),
    ]);
}

/// Guards against a checker that accepts new work on a leaving target after the allowed delay (P8).
#[test]
fn leaving_target_gets_no_new_work() {
    check_cases(vec![
        Case::valid(
            "new work within the allowed delay, and after a restart",
            vec![
                limit(0, 99),
                worker_up("w"),
                leaving(10),
                started(2_010, "w", attempt(0, 1), 1, true),
                worker_down(3_000, "w", true),
                worker_up_at(3_001, "w"),
                started(3_002, "w", attempt(1, 1), 1, true),
            ],
        ),
        Case::violation(
            "a task after the allowed delay",
            Invariant::P8,
            2,
            vec![
                limit(0, 99),
                worker_up("w"),
                leaving(10),
                started(2_011, "w", attempt(0, 1), 1, true),
            ],
        ),
        Case::violation(
            "a call after the allowed delay",
            Invariant::P8,
            2,
            vec![
                worker_up("w"),
                leaving(10),
                called(20, 1, true, 7),
                sent(2_011, 1, "w", 7),
            ],
        ),
    ]);
}
