//! Tests of the allotments of team limits.

use zinnia_cell::Allotment;
use zinnia_cell::Owner;

use crate::build::*;

fn take(domain_name: &str, amount: u64, term: u64, from_index: u64) -> Command {
    Command::Take {
        domain: domain(domain_name),
        team: team("ink"),
        amount: cpu_and_mem(amount),
        term,
        from: from_index,
    }
}

fn give(domain_name: &str, amount: u64, term: u64, from_index: u64) -> Command {
    Command::Give {
        domain: domain(domain_name),
        team: team("ink"),
        amount: cpu_and_mem(amount),
        term,
        from: from_index,
    }
}

fn allotment(amount: u64, log_index: u64) -> Allotment {
    Allotment {
        amount: cpu_and_mem(amount),
        log_index,
    }
}

/// Guards against allotments that together exceed the limit, and against delayed or repeated
/// transfers that are applied (invariant P4).
#[test]
fn allotments_stay_within_the_limit() {
    let stale = |current| Reply::Refused(Refusal::StaleAllotment(current));
    let owner = Owner {
        vm: VmId(1),
        term: 1,
    };
    // Entries 1 to 5 set up the cell, so the first step has log index 6.
    let script = vec![
        step(
            "a takes",
            take("a", 60, 1, 0),
            Reply::Held(allotment(60, 6)),
        ),
        step(
            "b takes more than is unallotted",
            take("b", 41, 2, 0),
            Reply::Refused(Refusal::OverLimit {
                free: cpu_and_mem(40),
            }),
        ),
        step(
            "b takes the rest",
            take("b", 40, 2, 0),
            Reply::Held(allotment(40, 8)),
        ),
        step(
            "a gives",
            give("a", 10, 1, 6),
            Reply::Held(allotment(50, 9)),
        ),
        step(
            "the same proposal again",
            give("a", 10, 1, 6),
            stale(allotment(50, 9)),
        ),
        step(
            "a gives more than its allotment",
            give("a", 51, 1, 9),
            Reply::Refused(Refusal::HoldsLess(allotment(50, 9))),
        ),
        step(
            "a former acting owner takes",
            take("a", 1, 7, 9),
            Reply::Refused(Refusal::StaleTerm { owner: Some(owner) }),
        ),
        step(
            "a former acting owner gives",
            give("a", 10, 7, 9),
            Reply::Refused(Refusal::StaleTerm { owner: Some(owner) }),
        ),
    ];
    let mut cell = cell();
    run(&mut cell, script);
    assert_eq!(
        cell.usable_allotment(domain("a"), team("ink")),
        cpu_and_mem(50)
    );
    assert_eq!(cell.unallotted(team("ink")), cpu_and_mem(10));
}

/// Guards against a former acting owner that gives away an allotment which its successor uses.
#[test]
fn takeover_fences_transfers() {
    let mut cell = cell();
    apply(&mut cell, &take("a", 60, 1, 0));
    apply(&mut cell, &set_owner("a", 2, 1));
    let reply = apply(&mut cell, &give("a", 60, 1, 6));
    assert!(matches!(reply, Reply::Refused(Refusal::StaleTerm { .. })));
    assert_eq!(
        cell.usable_allotment(domain("a"), team("ink")),
        cpu_and_mem(60)
    );
}

/// Guards against takes and task starts before the excess over a lowered limit has been given back.
#[test]
fn excess_over_a_lowered_limit_blocks_takes() {
    let mut cell = cell();
    apply(&mut cell, &take("a", 30, 1, 0));
    apply(&mut cell, &take("b", 30, 2, 0));
    apply(&mut cell, &apply_document("low", 1, &document(40, 50)));
    let ink = team("ink");
    assert_eq!(cell.excess(ink), cpu_and_mem(20));
    assert_eq!(cell.usable_allotment(domain("a"), ink), Resources::ZERO);
    assert_eq!(cell.allotment(domain("a"), ink), allotment(30, 6));
    let excess = Reply::Refused(Refusal::Excess {
        excess: cpu_and_mem(20),
    });
    assert_eq!(apply(&mut cell, &take("a", 1, 1, 6)), excess);
    apply(&mut cell, &give("b", 20, 2, 7));
    assert_eq!(cell.usable_allotment(domain("a"), ink), cpu_and_mem(30));
    assert_eq!(cell.usable_allotment(domain("b"), ink), cpu_and_mem(10));
    // A team that is removed from the document has a limit of zero, so it cannot start tasks.
    apply(&mut cell, &apply_document("none", 2, &Default::default()));
    assert_eq!(cell.usable_allotment(domain("a"), ink), Resources::ZERO);
    let reply = apply(&mut cell, &take("a", 1, 1, 6));
    assert_eq!(reply, Reply::Refused(Refusal::UnknownTeam(ink)));
}
