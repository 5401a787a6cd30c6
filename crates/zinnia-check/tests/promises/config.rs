//! Keys and documents: P3 and P10.

use zinnia_check::Invariant;

use crate::record::*;

#[test]
fn work_needs_a_valid_key_of_its_team() {
    run(vec![
        Case::good(
            "a withdrawal takes effect in time; a cut-off VM follows after reconnection",
            vec![
                granted(0, Some("ink")),
                unreachable(1, 2),
                withdrawn(10),
                accepted(2_010, 1, Some("k")),
                accepted(500_000, 2, Some("k")),
                reachable(500_001, 2),
                accepted(502_001, 2, Some("k")),
            ],
        ),
        Case::good(
            "an open kind",
            vec![opened(0, Some("ink")), accepted(1, 1, None)],
        ),
        Case::good(
            "a kind that is open no longer, on a VM that cannot know yet",
            vec![
                opened(0, Some("ink")),
                opened(10, None),
                accepted(2_010, 1, None),
            ],
        ),
        Case::bad(
            "a withdrawn key works for too long",
            Invariant::P3,
            3,
            vec![
                granted(0, Some("ink")),
                withdrawn(10),
                accepted(2_011, 1, Some("k")),
            ],
        ),
        Case::bad(
            "a reconnected VM accepts a withdrawn key for too long",
            Invariant::P3,
            4,
            vec![
                granted(0, Some("ink")),
                unreachable(1, 2),
                withdrawn(10),
                reachable(500_001, 2),
                accepted(502_002, 2, Some("k")),
            ],
        ),
        Case::bad(
            "a VM was cut off after it had to know of the withdrawal",
            Invariant::P3,
            4,
            vec![
                granted(0, Some("ink")),
                withdrawn(10),
                unreachable(3_000, 1),
                accepted(3_001, 1, Some("k")),
            ],
        ),
        Case::bad(
            "a VM accepts keys after the isolation period",
            Invariant::P3,
            2,
            vec![
                granted(0, Some("ink")),
                unreachable(1, 1),
                accepted(600_002, 1, Some("k")),
            ],
        ),
        Case::bad(
            "an unknown key",
            Invariant::P3,
            1,
            vec![accepted(1, 1, Some("k"))],
        ),
        Case::bad(
            "a key of another team",
            Invariant::P3,
            2,
            vec![granted(0, Some("tap")), accepted(1, 1, Some("k"))],
        ),
        Case::bad(
            "an operator key",
            Invariant::P3,
            2,
            vec![granted(0, None), accepted(1, 1, Some("k"))],
        ),
        Case::bad("no key", Invariant::P3, 1, vec![accepted(1, 1, None)]),
        Case::bad(
            "a kind that is open no longer",
            Invariant::P3,
            2,
            vec![
                opened(0, Some("ink")),
                opened(10, None),
                accepted(2_011, 1, None),
            ],
        ),
    ]);
}

#[test]
fn accepted_document_takes_effect_and_stays() {
    run(vec![
        Case::good(
            "in force in time; a cut-off VM follows; a killed VM owes nothing",
            vec![
                in_force(0, 1, 1, 1),
                in_force(0, 2, 1, 1),
                in_force(0, 3, 1, 1),
                unreachable(1, 2),
                killed(1, 3),
                document(10, 2, 5),
                in_force(2_010, 1, 2, 5),
                reachable(500_000, 2),
                in_force(502_000, 2, 2, 5),
            ],
        ),
        Case::bad(
            "in force too late",
            Invariant::P10,
            2,
            vec![
                in_force(0, 1, 1, 1),
                document(10, 2, 5),
                in_force(2_011, 1, 2, 5),
            ],
        ),
        Case::bad(
            "never in force on a VM that was reconnected",
            Invariant::P10,
            2,
            vec![unreachable(1, 2), document(10, 2, 5), reachable(500_000, 2)],
        ),
        Case::bad(
            "a VM goes back",
            Invariant::P10,
            2,
            vec![in_force(1, 1, 2, 5), in_force(2, 1, 1, 1)],
        ),
        Case::bad(
            "two edits win the same version",
            Invariant::P10,
            2,
            vec![document(1, 2, 5), document(2, 2, 6)],
        ),
        Case::bad(
            "a VM has another document in force",
            Invariant::P10,
            2,
            vec![document(1, 2, 5), in_force(2, 1, 2, 6)],
        ),
    ]);
}
