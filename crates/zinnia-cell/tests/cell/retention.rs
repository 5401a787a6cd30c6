//! Bounds on what the cell remembers.

use serde_json::json;
use zinnia_cell::CallState;
use zinnia_cell::Refusal::*;
use zinnia_cell::Retention;

use crate::build::*;
use crate::work::*;

/// A cell that keeps little, with the document in force.
fn small() -> Cell {
    let mut cell = Cell::new(Retention {
        jobs: 5,
        jobs_ms: 1_000,
        // One team gets half of it.
        calls: 6,
        calls_ms: 1_000,
        call_bytes: 10,
        step_ms: 400,
        ..Retention::default()
    });
    apply(&mut cell, &edit("first", 0, &document(9, 9)));
    cell
}

/// Guards against unbounded state, and against a recorded call that is forgotten early.
#[test]
fn calls_are_bounded() {
    let mut cell = small();
    let fresh = Reply::Call(CallState::Fresh);
    let script = vec![
        step("record", record("a", "x", 100), fresh.clone()),
        step(
            "finish",
            finish_call("a", "sixsix"),
            finished(Some("sixsix")),
        ),
        step("record", record("b", "x", 200), fresh.clone()),
        step(
            "finish",
            finish_call("b", "sevenxx"),
            finished(Some("sevenxx")),
        ),
        step("oldest body is gone", record("a", "x", 300), finished(None)),
        step("record", record("c", "x", 400), fresh.clone()),
        step("full", record("d", "x", 500), refused(CallsFull)),
        step(
            "a wrong clock forgets nothing",
            record("d", "x", i64::MAX),
            refused(CallsFull),
        ),
        step(
            "nor does it stop the clock",
            record("d", "x", 600),
            refused(CallsFull),
        ),
        step(
            "a clock that is behind moves it back by one step only",
            record("d", "x", i64::MIN),
            refused(CallsFull),
        ),
        step("time passes", record("d", "x", 1_000), refused(CallsFull)),
        step("time passes", record("d", "x", 1_000), refused(CallsFull)),
        step("the first is forgotten", record("d", "x", 1_150), fresh),
        step(
            "but not the second",
            record("b", "x", 1_150),
            finished(Some("sevenxx")),
        ),
    ];
    run(&mut cell, script);
    assert_eq!(cell.call(team("ink"), "a"), None);
    // Another team has room left, and ids of its own.
    let other = Command::RecordCall {
        team: team("tap"),
        id: "b".to_owned(),
        hash: Digest::of(b"y"),
        at_ms: 1_150,
    };
    assert_eq!(apply(&mut cell, &other), Reply::Call(CallState::Fresh));
    // A body that is too long is left out and pushes out no other.
    apply(&mut cell, &finish_call("d", &"x".repeat(11)));
    assert_eq!(apply(&mut cell, &record("d", "x", 1_150)), finished(None));
    assert_eq!(
        apply(&mut cell, &record("b", "x", 1_150)),
        finished(Some("sevenxx"))
    );
    // Once all is forgotten, there is as much room as at first.
    for at_ms in [1_550, 1_950, 2_350] {
        apply(&mut cell, &record("e", "x", at_ms));
    }
    let dump = cell.dump();
    assert_eq!(
        (&dump["calls"], &dump["call_bytes"]),
        (&json!({"ink": 1}), &json!(0))
    );
    for id in ["f", "g"] {
        let reply = apply(&mut cell, &record(id, "x", 2_350));
        assert_eq!(reply, Reply::Call(CallState::Fresh));
    }
}

/// Guards against unbounded state, by age and by count.
#[test]
fn ended_jobs_are_bounded() {
    let mut cell = small();
    let cases = [
        (100, 1..2),
        (200, 1..3),
        (300, 1..4),
        (700, 1..5),
        (1_100, 1..6),
        (1_250, 3..7),
        (1_300, 3..8),
        // By age job 3 would stay.
        (1_300, 4..9),
        // The clock follows an idle hour in two steps of 400 ms, one per command.
        (3_600_000, 5..10),
    ];
    for (n, (at_ms, kept)) in (1..).zip(cases) {
        let mut one = job("ink", &n.to_string());
        one.accepted_ms = at_ms;
        apply(&mut cell, &accept(&one, "1", None));
        apply(&mut cell, &finish(one.id, at_ms));
        let mut names: Vec<u32> = cell.ended_jobs().map(|e| e.name.parse().unwrap()).collect();
        names.sort_unstable();
        assert_eq!(names, kept.collect::<Vec<u32>>(), "after job {n}");
    }
}
