//! Policies for allotments.

use proptest::prelude::*;
use zinnia_cell::escrow;
use zinnia_cell::escrow::OtherDomain;
use zinnia_cell::escrow::PEAK_ROUNDS;
use zinnia_cell::escrow::PeakDemand;
use zinnia_cell::escrow::PolicyInput;
use zinnia_cell::escrow::PolicySettings;
use zinnia_cell::escrow::Transfer;

use crate::build::*;
use crate::rounds;
use crate::rounds::Outcome;

/// One domain's view: the limit is 1,000 and there are two other domains.
struct Case {
    name: &'static str,
    held: u64,
    used: u64,
    wanted: u64,
    peak: u64,
    /// What the others hold and by how much they are short.
    others: [(u64, u64); 2],
    demand: Option<Transfer>,
    equal: Option<Transfer>,
    /// What the scheduler may use.
    usable: u64,
}

/// A case in which the peak is the demand and nothing is proposed or yielded.
fn case(name: &'static str, own: [u64; 3], others: [(u64, u64); 2]) -> Case {
    let [held, used, wanted] = own;
    Case {
        name,
        held,
        used,
        wanted,
        peak: used + wanted,
        others,
        demand: None,
        equal: None,
        usable: held,
    }
}

fn take(n: u64) -> Option<Transfer> {
    Some(Transfer::Take(cores(n)))
}

fn give(n: u64) -> Option<Transfer> {
    Some(Transfer::Give(cores(n)))
}

/// Guards against a policy that gives away what is used or takes what others need more. The equal
/// share is 333, the spare of an eighth 41, the floor 9 and the step 20.
#[test]
fn decisions() {
    let cases = [
        Case {
            demand: take(333),
            equal: take(333),
            ..case("nothing held: the equal share", [0, 0, 0], [(0, 0), (0, 0)])
        },
        Case {
            demand: take(141),
            ..case(
                "short: the demand and the spare",
                [333, 333, 100],
                [(100, 0), (100, 0)],
            )
        },
        Case {
            demand: take(200),
            equal: take(233),
            ..case(
                "all short: those below the equal share first",
                [100, 100, 500],
                [(400, 300), (100, 500)],
            )
        },
        Case {
            demand: give(100),
            equal: give(100),
            usable: 517,
            ..case(
                "above the equal share and others below are short: yield what is idle",
                [800, 700, 300],
                [(100, 50), (100, 300)],
            )
        },
        Case {
            demand: give(324),
            ..case(
                "idle while others are short: all but the floor",
                [333, 0, 0],
                [(333, 500), (334, 500)],
            )
        },
        Case {
            peak: 320,
            ..case(
                "idle after a wave: the peak stays",
                [333, 10, 0],
                [(333, 500), (334, 500)],
            )
        },
        Case {
            demand: give(101),
            equal: give(150),
            ..case(
                "a lowered limit: a part of the excess in proportion, if idle",
                [600, 450, 500],
                [(300, 0), (300, 0)],
            )
        },
        Case {
            demand: give(10),
            equal: give(10),
            ..case(
                "a lowered limit: nothing that is used",
                [600, 590, 500],
                [(300, 0), (300, 0)],
            )
        },
        Case {
            equal: take(13),
            ..case(
                "a reserve below the step is not taken",
                [320, 300, 0],
                [(333, 0), (333, 0)],
            )
        },
        Case {
            equal: give(17),
            ..case("nor given", [350, 0, 0], [(325, 0), (325, 0)])
        },
        Case {
            equal: give(5),
            ..case("nor yielded", [350, 345, 5], [(330, 50), (320, 0)])
        },
        case(
            "a change below the step",
            [320, 300, 0],
            [(340, 0), (340, 0)],
        ),
    ];
    let policies = [
        escrow::demand_policy(PolicySettings::default()),
        escrow::equal_split_policy(),
    ];
    for case in cases {
        let other = |at: &str, (held, short): (u64, u64)| OtherDomain {
            domain: domain(at),
            allotment: cores(held),
            shortage: cores(short),
        };
        let others = [other("b", case.others[0]), other("c", case.others[1])];
        let situation = PolicyInput {
            domain: domain("a"),
            limit: cores(1_000),
            allotment: cores(case.held),
            used: cores(case.used),
            queued: cores(case.wanted),
            peak_demand: cores(case.peak),
            others: &others,
        };
        assert_eq!(policies[0](&situation), case.demand, "{}", case.name);
        assert_eq!(policies[1](&situation), case.equal, "{}", case.name);
        let usable = escrow::usable_amount(&situation, &PolicySettings::default());
        assert_eq!(usable, cores(case.usable), "{}", case.name);
    }
}

/// Guards against proposals that the log refuses, as it does while any dimension is exceeded.
#[test]
fn nothing_is_taken_while_one_dimension_is_exceeded() {
    let full = Resources {
        mem: 1_200,
        ..Resources::ZERO
    };
    let situation = PolicyInput {
        domain: domain("a"),
        limit: cores(1_000),
        allotment: full,
        used: full,
        queued: cores(10),
        peak_demand: full + cores(10),
        others: &[],
    };
    assert_eq!(
        escrow::demand_policy(PolicySettings::default())(&situation),
        None
    );
    assert_eq!(escrow::equal_split_policy()(&situation), None);
}

/// Guards against a peak that falls at once or never.
#[test]
fn peak_lasts_some_rounds() {
    let mut peak = PeakDemand::default();
    assert_eq!(peak.observe(cores(9)), cores(9));
    for _ in 1..PEAK_ROUNDS {
        assert_eq!(peak.observe(cores(2)), cores(9));
    }
    assert_eq!(peak.observe(cores(1)), cores(2));
}

/// Bounds on what a load may cost. A round is a ping interval of 1 s, and 8 s is the time within
/// which a change of the configuration is in force.
struct Bound {
    name: &'static str,
    /// Rounds until a change is met; `None` where the load changes before anything can follow.
    wait: Option<u64>,
    /// Last round with a command.
    last: u64,
    /// Commands in all.
    commands: u64,
}

/// Guards against oscillation, against a demand that is never met and against a domain that
/// starves.
#[test]
fn allotments_follow_demand_without_oscillation() {
    let five = rounds::DOMAINS;
    // Each domain may move something in each of the 8 rounds after a change.
    let per_change = five * 8;
    let bounds = [
        Bound {
            name: "even demand",
            wait: Some(8),
            last: 8,
            commands: per_change,
        },
        Bound {
            name: "shift to the next domain",
            wait: Some(8),
            last: 160 + 8,
            commands: 5 * per_change,
        },
        Bound {
            name: "short waves",
            wait: None,
            last: 16,
            commands: per_change,
        },
        Bound {
            name: "small changes",
            wait: None,
            last: 8,
            commands: per_change,
        },
        Bound {
            name: "more than the limit",
            wait: Some(8),
            // Work above the equal share drains by a quarter each round, from all of the limit to
            // a fifth of it: 6 rounds.
            last: 60 + 6 + 8,
            commands: 2 * per_change,
        },
        Bound {
            name: "lowered limit",
            wait: Some(8),
            last: 40 + 8,
            commands: 2 * per_change,
        },
    ];
    let loads = rounds::loads();
    assert_eq!(loads.len(), bounds.len());
    for (load, bound) in loads.iter().zip(bounds) {
        assert_eq!(load.name, bound.name);
        let run = |policy| rounds::run(load, &policy).unwrap();
        let outcome: Outcome = run(escrow::demand_policy(PolicySettings::default()));
        let baseline = run(escrow::equal_split_policy());
        let name = bound.name;
        let slowest = outcome.waits.iter().max().copied();
        assert!(
            bound.wait.is_none_or(|wait| slowest <= Some(wait)),
            "{name} {outcome:?}"
        );
        assert!(outcome.last <= bound.last, "{name} {outcome:?}");
        assert!(outcome.commands <= bound.commands, "{name} {outcome:?}");
        // At worst the whole limit is in the wrong places for 8 rounds; for ever would be more.
        assert!(outcome.starved <= 8 * rounds::LIMIT, "{name} {outcome:?}");
        // Following demand must not run less than the equal split does, but for the moves of a
        // few rounds.
        let slack = rounds::LIMIT;
        assert!(
            outcome.unmet <= baseline.unmet + slack,
            "{name} {outcome:?} {baseline:?}"
        );
    }
}

/// Amounts of the size of real ones, and extreme ones.
fn amount() -> impl Strategy<Value = Resources> {
    let n = || prop_oneof![9 => 0..2_000_u64, 1 => Just(u64::MAX)];
    (n(), n(), n()).prop_map(|(cpu, mem, gpu)| Resources { cpu, mem, gpu })
}

proptest! {
    /// Guards against a gift of what is used, a take of what the pool has not, and overflow.
    #[test]
    fn proposals_fit(
        [limit, allotment, used, queued, peak_demand] in [amount(), amount(), amount(), amount(), amount()],
        others in prop::collection::vec((amount(), amount()), 0..4),
    ) {
        let other = |(allotment, shortage)| OtherDomain { domain: domain("b"), allotment, shortage };
        let others: Vec<OtherDomain> = others.into_iter().map(other).collect();
        let situation = PolicyInput {
            domain: domain("a"),
            limit,
            allotment,
            used,
            queued,
            peak_demand,
            others: &others,
        };
        let sum = others.iter().fold(allotment, |sum, o| sum + o.allotment);
        for policy in [escrow::demand_policy(PolicySettings::default()), escrow::equal_split_policy()] {
            match policy(&situation) {
                Some(Transfer::Give(n)) => prop_assert!(n.fits(&allotment.saturating_sub(&used))),
                Some(Transfer::Take(n)) => prop_assert!(n.fits(&limit.saturating_sub(&sum))),
                None => {}
            }
        }
        prop_assert!(escrow::usable_amount(&situation, &PolicySettings::default()).fits(&allotment));
    }
}
