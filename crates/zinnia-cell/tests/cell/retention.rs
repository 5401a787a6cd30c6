//! Tests of the retention bounds.

use serde_json::json;
use zinnia_cell::CallState;
use zinnia_cell::Refusal::*;
use zinnia_cell::Retention;

use crate::build::*;
use crate::work::*;

/// A cell with small retention bounds and a document in force.
fn cell_with_small_bounds() -> Cell {
    let mut cell = Cell::new(Retention {
        jobs: 5,
        jobs_ms: 1_000,
        // One team may record half of these.
        calls: 6,
        calls_ms: 1_000,
        call_bytes: 10,
        step_ms: 400,
        ..Retention::default()
    });
    apply(&mut cell, &apply_document("first", 0, &document(9, 9)));
    cell
}

/// Guards against an unbounded number of recorded calls, and against a record that is removed
/// early, which would let the call run twice.
#[test]
fn calls_are_bounded() {
    let mut cell = cell_with_small_bounds();
    let fresh = Reply::Call(CallState::Fresh);
    let script = vec![
        step("record", record_call("a", "x", 100), fresh.clone()),
        step(
            "finish",
            finish_call("a", "sixsix"),
            finished(Some("sixsix")),
        ),
        step("record", record_call("b", "x", 200), fresh.clone()),
        step(
            "finish",
            finish_call("b", "sevenxx"),
            finished(Some("sevenxx")),
        ),
        step(
            "oldest body is evicted",
            record_call("a", "x", 300),
            finished(None),
        ),
        step("record", record_call("c", "x", 400), fresh.clone()),
        step("full", record_call("d", "x", 500), refused(CallsFull)),
        step(
            "a clock far ahead expires nothing",
            record_call("d", "x", i64::MAX),
            refused(CallsFull),
        ),
        step(
            "and does not stop the cell clock",
            record_call("d", "x", 600),
            refused(CallsFull),
        ),
        step(
            "a clock far behind moves the cell clock back by one step",
            record_call("d", "x", i64::MIN),
            refused(CallsFull),
        ),
        step(
            "time passes",
            record_call("d", "x", 1_000),
            refused(CallsFull),
        ),
        step(
            "time passes",
            record_call("d", "x", 1_000),
            refused(CallsFull),
        ),
        step(
            "the first call has expired",
            record_call("d", "x", 1_150),
            fresh,
        ),
        step(
            "the second call has not",
            record_call("b", "x", 1_150),
            finished(Some("sevenxx")),
        ),
    ];
    run(&mut cell, script);
    assert_eq!(cell.call(team("ink"), "a"), None);
    // Another team has free slots and its own id space.
    let other = Command::RecordCall {
        team: team("tap"),
        id: "b".to_owned(),
        hash: Digest::of(b"y"),
        at_ms: 1_150,
    };
    assert_eq!(apply(&mut cell, &other), Reply::Call(CallState::Fresh));
    // A body that is too long is dropped and evicts no other.
    apply(&mut cell, &finish_call("d", &"x".repeat(11)));
    assert_eq!(
        apply(&mut cell, &record_call("d", "x", 1_150)),
        finished(None)
    );
    assert_eq!(
        apply(&mut cell, &record_call("b", "x", 1_150)),
        finished(Some("sevenxx"))
    );
    // After all records have expired, all slots are free again.
    for at_ms in [1_550, 1_950, 2_350] {
        apply(&mut cell, &record_call("e", "x", at_ms));
    }
    let dump = cell.dump();
    assert_eq!(
        (&dump["calls"], &dump["call_bytes"]),
        (&json!({"ink": 1}), &json!(0))
    );
    for id in ["f", "g"] {
        let reply = apply(&mut cell, &record_call(id, "x", 2_350));
        assert_eq!(reply, Reply::Call(CallState::Fresh));
    }
}

/// Guards against an unbounded number of ended jobs. They expire by age and by count.
#[test]
fn ended_jobs_are_bounded() {
    let mut cell = cell_with_small_bounds();
    let cases = [
        (100, 1..2),
        (200, 1..3),
        (300, 1..4),
        (700, 1..5),
        (1_100, 1..6),
        (1_250, 3..7),
        (1_300, 3..8),
        // Job 3 exceeds the count, not the age.
        (1_300, 4..9),
        // After an idle hour the two commands move the clock by 400 ms each.
        (3_600_000, 5..10),
    ];
    for (n, (at_ms, kept)) in (1..).zip(cases) {
        let mut one = job("ink", &n.to_string());
        one.accepted_ms = at_ms;
        apply(&mut cell, &accept_job(&one, "1", None));
        apply(&mut cell, &end_job(one.id, at_ms));
        let mut names: Vec<u32> = cell.ended_jobs().map(|e| e.name.parse().unwrap()).collect();
        names.sort_unstable();
        assert_eq!(names, kept.collect::<Vec<u32>>(), "after job {n}");
    }
}
