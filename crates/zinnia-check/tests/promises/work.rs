//! Capacity, single runs, limits and leaving targets: P1, P2, P4 and P8.

use zinnia_check::Invariant;

use crate::record::*;

#[test]
fn load_stays_within_capacity() {
    run(vec![
        Case::good(
            "room is reused after an end and after a restart",
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
        Case::bad(
            "two tasks exceed the worker",
            Invariant::P1,
            3,
            vec![
                limit(0, 99),
                up("w"),
                start(1, "w", attempt(0, 1), 5, true),
                start(2, "w", attempt(1, 1), 4, true),
            ],
        ),
        Case::bad(
            "a worker that is down runs something",
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

#[test]
fn task_runs_in_one_place_and_ends_once() {
    run(vec![
        Case::good(
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
        Case::bad(
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
        Case::bad(
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
        Case::bad(
            "a task is finished twice",
            Invariant::P2,
            2,
            vec![finished(1), finished(2)],
        ),
        Case::bad(
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

#[test]
fn team_stays_within_its_limit() {
    run(vec![
        Case::good(
            "a lowered limit drains",
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
        Case::good(
            "a dead worker's tasks count no longer",
            vec![
                limit(0, 8),
                up("w"),
                start(1, "w", attempt(0, 1), 8, true),
                down(2, "w", false),
                up("w"),
                start(3, "w", attempt(1, 1), 8, true),
            ],
        ),
        Case::good(
            "a cut-off VM goes on with the limit it knows",
            vec![
                limit(0, 8),
                up("w"),
                unreachable(5, 1),
                limit(10, 4),
                start(50_000, "w", attempt(0, 1), 8, true),
            ],
        ),
        Case::bad(
            "more than the limit",
            Invariant::P4,
            3,
            vec![
                limit(0, 6),
                up("w"),
                start(1, "w", attempt(0, 1), 4, true),
                start(2, "w", attempt(1, 1), 3, true),
            ],
        ),
        Case::bad(
            "growth above a lowered limit",
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
        Case::bad(
            "a killed VM excuses nothing",
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
        Case::bad(
            "a team without a limit",
            Invariant::P4,
            1,
            vec![up("w"), start(1, "w", attempt(0, 1), 1, true)],
        ),
    ]);
}

#[test]
fn leaving_target_gets_nothing_new() {
    run(vec![
        Case::good(
            "new work within the bound, and after a restart",
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
        Case::bad(
            "a task after the bound",
            Invariant::P8,
            2,
            vec![
                limit(0, 99),
                up("w"),
                leaving(10),
                start(2_011, "w", attempt(0, 1), 1, true),
            ],
        ),
        Case::bad(
            "a call after the bound",
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
