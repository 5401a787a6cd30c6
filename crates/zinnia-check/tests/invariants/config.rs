//! Invariants on keys and documents: P3 and P10.

use zinnia_check::Invariant;

use crate::record::*;

/// Guards against a checker that accepts work without a valid key of its team (P3).
#[test]
fn work_needs_a_valid_key_of_its_team() {
    check_cases(vec![
        Case::valid(
            "a withdrawal takes effect in time, and on an isolated VM after it reconnects",
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
        Case::valid(
            "a kind that is open needs no key",
            vec![opened(0, Some("ink")), accepted(1, 1, None)],
        ),
        Case::valid(
            "a kind that was closed recently, on a VM that need not know yet",
            vec![
                opened(0, Some("ink")),
                opened(10, None),
                accepted(2_010, 1, None),
            ],
        ),
        Case::violation(
            "a withdrawn key is accepted for too long",
            Invariant::P3,
            3,
            vec![
                granted(0, Some("ink")),
                withdrawn(10),
                accepted(2_011, 1, Some("k")),
            ],
        ),
        Case::violation(
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
        Case::violation(
            "a VM lost contact after it had to know of the withdrawal",
            Invariant::P3,
            4,
            vec![
                granted(0, Some("ink")),
                withdrawn(10),
                unreachable(3_000, 1),
                accepted(3_001, 1, Some("k")),
            ],
        ),
        Case::violation(
            "a VM accepts keys after the isolation period",
            Invariant::P3,
            2,
            vec![
                granted(0, Some("ink")),
                unreachable(1, 1),
                accepted(600_002, 1, Some("k")),
            ],
        ),
        Case::violation(
            "an unknown key",
            Invariant::P3,
            1,
            vec![accepted(1, 1, Some("k"))],
        ),
        Case::violation(
            "a key of another team",
            Invariant::P3,
            2,
            vec![granted(0, Some("tap")), accepted(1, 1, Some("k"))],
        ),
        Case::violation(
            "an operator key",
            Invariant::P3,
            2,
            vec![granted(0, None), accepted(1, 1, Some("k"))],
        ),
        Case::violation("no key", Invariant::P3, 1, vec![accepted(1, 1, None)]),
        Case::violation(
            "a kind that is no longer open",
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

/// Guards against a checker that accepts a document that is late, reverted or ambiguous (P10).
#[test]
fn accepted_document_takes_effect_and_stays() {
    check_cases(vec![
        Case::valid(
            "in force in time, and on an isolated VM after it reconnects; a killed VM is exempt",
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
        Case::violation(
            "in force too late",
            Invariant::P10,
            2,
            vec![
                in_force(0, 1, 1, 1),
                document(10, 2, 5),
                in_force(2_011, 1, 2, 5),
            ],
        ),
        Case::violation(
            "never in force on a VM that reconnected",
            Invariant::P10,
            2,
            vec![unreachable(1, 2), document(10, 2, 5), reachable(500_000, 2)],
        ),
        Case::violation(
            "a VM reverts to an older version",
            Invariant::P10,
            2,
            vec![in_force(1, 1, 2, 5), in_force(2, 1, 1, 1)],
        ),
        Case::violation(
            "two edits are accepted as the same version",
            Invariant::P10,
            2,
            vec![document(1, 2, 5), document(2, 2, 6)],
        ),
        Case::violation(
            "a VM has another document in force",
            Invariant::P10,
            2,
            vec![document(1, 2, 5), in_force(2, 1, 2, 6)],
        ),
    ]);
}
