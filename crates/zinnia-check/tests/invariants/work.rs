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
                up("w"),
                start(1, "w", attempt(0, 1), 8, true),
                end(2, "w", attempt(0, 1)),
                start(3, "w", attempt(1, 1), 8, true),
                down(4, "w", false),
                up("w"),
                start(5, "w", attempt(2, 1), 8, true),
            ],
        ),
        Case::violation(
            "two tasks exceed the capacity of the worker",
            Invariant::P1,
            3,
            vec![
                limit(0, 99),
                up("w"),
                start(1, "w", attempt(0, 1), 5, true),
                start(2, "w", attempt(1, 1), 4, true),
            ],
        ),
        Case::violation(
            "a worker that is down starts an attempt",
            Invariant::P1,
            1,
            vec![
                limit(0, 99),
                up("w"),
                down(1, "w", false),
                start(2, "w", attempt(0, 1), 1, true),
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
                up("w"),
                up("x"),
                start(1, "w", attempt(0, 1), 1, true),
                end(2, "w", attempt(0, 1)),
                start(3, "x", attempt(0, 2), 1, true),
                down(4, "x", false),
                start(5, "w", attempt(0, 3), 1, true),
                finished(6),
            ],
        ),
        Case::violation(
            "a task runs on two workers",
            Invariant::P2,
            2,
            vec![
                limit(0, 99),
                up("w"),
                up("x"),
                start(1, "w", attempt(0, 1), 1, true),
                end(2, "x", attempt(0, 1)),
                start(3, "x", attempt(0, 2), 1, true),
            ],
        ),
        Case::violation(
            "an attempt is started again after its end",
            Invariant::P2,
            2,
            vec![
                limit(0, 99),
                up("w"),
                start(1, "w", attempt(0, 1), 1, true),
                end(2, "w", attempt(0, 1)),
                start(3, "w", attempt(0, 1), 1, true),
            ],
        ),
        Case::violation(
            "a task is finished twice",
            Invariant::P2,
            2,
            vec![finished(1), finished(2)],
        ),
        Case::violation(
            "a finished task is started",
            Invariant::P2,
            2,
            vec![
                limit(0, 99),
                up("w"),
                finished(1),
                start(2, "w", attempt(0, 1), 1, true),
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
                up("w"),
                up("x"),
                start(1, "w", attempt(0, 1), 6, true),
                limit(10, 4),
                start(2_010, "x", attempt(1, 1), 2, true),
                end(3_000, "w", attempt(0, 1)),
                start(3_001, "w", attempt(2, 1), 2, true),
            ],
        ),
        Case::valid(
            "the tasks of a dead worker no longer count",
            vec![
                limit(0, 8),
                up("w"),
                start(1, "w", attempt(0, 1), 8, true),
                down(2, "w", false),
                up("w"),
                start(3, "w", attempt(1, 1), 8, true),
            ],
        ),
        Case::valid(
            "an isolated VM keeps applying the limit that it knows",
            vec![
                limit(0, 8),
                up("w"),
                unreachable(5, 1),
                limit(10, 4),
                start(50_000, "w", attempt(0, 1), 8, true),
            ],
        ),
        Case::violation(
            "the running tasks exceed the limit",
            Invariant::P4,
            3,
            vec![
                limit(0, 6),
                up("w"),
                start(1, "w", attempt(0, 1), 4, true),
                start(2, "w", attempt(1, 1), 3, true),
            ],
        ),
        Case::violation(
            "a start above a lowered limit",
            Invariant::P4,
            3,
            vec![
                limit(0, 8),
                up("w"),
                start(1, "w", attempt(0, 1), 3, true),
                limit(10, 4),
                start(2_011, "w", attempt(1, 1), 2, true),
            ],
        ),
        Case::violation(
            "a killed VM does not excuse the use of an old limit",
            Invariant::P4,
            2,
            vec![
                limit(0, 8),
                up("w"),
                killed(5, 1),
                limit(10, 4),
                start(2_011, "w", attempt(0, 1), 5, true),
            ],
        ),
        Case::violation(
            "a team without a limit",
            Invariant::P4,
            1,
            vec![up("w"), start(1, "w", attempt(0, 1), 1, true)],
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
                up("w"),
                leaving(10),
                start(2_010, "w", attempt(0, 1), 1, true),
                down(3_000, "w", true),
                up_at(3_001, "w"),
                start(3_002, "w", attempt(1, 1), 1, true),
            ],
        ),
        Case::violation(
            "a task after the allowed delay",
            Invariant::P8,
            2,
            vec![
                limit(0, 99),
                up("w"),
                leaving(10),
                start(2_011, "w", attempt(0, 1), 1, true),
            ],
        ),
        Case::violation(
            "a call after the allowed delay",
            Invariant::P8,
            2,
            vec![
                up("w"),
                leaving(10),
                called(20, 1, true, 7),
                sent(2_011, 1, "w", 7),
            ],
        ),
    ]);
}
