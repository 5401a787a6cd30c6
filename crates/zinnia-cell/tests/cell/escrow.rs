//! Tests of the allotment policies.

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

/// Input of one domain and the expected decisions. The limit is 1,000 and there are two other
/// domains.
struct Case {
    name: &'static str,
    allotment: u64,
    used: u64,
    queued: u64,
    peak_demand: u64,
    /// Allotment and shortage of each other domain.
    others: [(u64, u64); 2],
    /// Decision of the demand policy.
    by_demand: Option<Transfer>,
    /// Decision of the equal split.
    by_split: Option<Transfer>,
    /// Amount that the scheduler may use.
    usable: u64,
}

/// A case in which the peak is the current demand and nothing is proposed or yielded.
fn case(name: &'static str, own: [u64; 3], others: [(u64, u64); 2]) -> Case {
    let [allotment, used, queued] = own;
    Case {
        name,
        allotment,
        used,
        queued,
        peak_demand: used + queued,
        others,
        by_demand: None,
        by_split: None,
        usable: allotment,
    }
}

fn take(n: u64) -> Option<Transfer> {
    Some(Transfer::Take(cpu_and_mem(n)))
}

fn give(n: u64) -> Option<Transfer> {
    Some(Transfer::Give(cpu_and_mem(n)))
}

/// Guards against a policy that gives away resources in use or takes resources that other domains
/// need more. The equal share is 333; of it the spare is 41 (1/8), the floor 9 and the step 20.
#[test]
fn policies_decide_as_expected() {
    let cases = [
        Case {
            by_demand: take(333),
            by_split: take(333),
            ..case(
                "no allotment: take the equal share",
                [0, 0, 0],
                [(0, 0), (0, 0)],
            )
        },
        Case {
            by_demand: take(141),
            ..case(
                "unmet demand: take the demand and the spare",
                [333, 333, 100],
                [(100, 0), (100, 0)],
            )
        },
        Case {
            by_demand: take(200),
            by_split: take(233),
            ..case(
                "unmet demand everywhere: shortages below the equal share first",
                [100, 100, 500],
                [(400, 300), (100, 500)],
            )
        },
        Case {
            by_demand: give(100),
            by_split: give(100),
            usable: 517,
            ..case(
                "above the equal share, unmet demand below it: yield the idle part",
                [800, 700, 300],
                [(100, 50), (100, 300)],
            )
        },
        Case {
            by_demand: give(324),
            ..case(
                "idle, unmet demand elsewhere: give all but the floor",
                [333, 0, 0],
                [(333, 500), (334, 500)],
            )
        },
        Case {
            peak_demand: 320,
            ..case(
                "idle after a burst: keep the peak demand",
                [333, 10, 0],
                [(333, 500), (334, 500)],
            )
        },
        Case {
            by_demand: give(101),
            by_split: give(150),
            ..case(
                "lowered limit: give back a proportional part of the excess",
                [600, 450, 500],
                [(300, 0), (300, 0)],
            )
        },
        Case {
            by_demand: give(10),
            by_split: give(10),
            ..case(
                "lowered limit: keep what is in use",
                [600, 590, 500],
                [(300, 0), (300, 0)],
            )
        },
        Case {
            by_split: take(13),
            ..case(
                "below the equal share by less than the step: take nothing",
                [320, 300, 0],
                [(333, 0), (333, 0)],
            )
        },
        Case {
            by_split: give(17),
            ..case(
                "above the equal share by less than the step: give nothing",
                [350, 0, 0],
                [(325, 0), (325, 0)],
            )
        },
        Case {
            by_split: give(5),
            ..case(
                "above the equal share by less than the step: yield nothing",
                [350, 345, 5],
                [(330, 50), (320, 0)],
            )
        },
        case(
            "a change smaller than the step",
            [320, 300, 0],
            [(340, 0), (340, 0)],
        ),
    ];
    let policies = [
        escrow::demand_policy(PolicySettings::default()),
        escrow::equal_split_policy(),
    ];
    for case in cases {
        let other = |name: &str, (allotment, shortage): (u64, u64)| OtherDomain {
            domain: domain(name),
            allotment: cpu_and_mem(allotment),
            shortage: cpu_and_mem(shortage),
        };
        let others = [other("b", case.others[0]), other("c", case.others[1])];
        let input = PolicyInput {
            domain: domain("a"),
            limit: cpu_and_mem(1_000),
            allotment: cpu_and_mem(case.allotment),
            used: cpu_and_mem(case.used),
            queued: cpu_and_mem(case.queued),
            peak_demand: cpu_and_mem(case.peak_demand),
            others: &others,
        };
        assert_eq!(policies[0](&input), case.by_demand, "{}", case.name);
        assert_eq!(policies[1](&input), case.by_split, "{}", case.name);
        let usable = escrow::usable_amount(&input, &PolicySettings::default());
        assert_eq!(usable, cpu_and_mem(case.usable), "{}", case.name);
    }
}

/// Guards against proposals that the log refuses, as it does while any dimension exceeds the limit.
#[test]
fn nothing_is_taken_while_one_dimension_is_exceeded() {
    let over_limit = Resources {
        mem: 1_200,
        ..Resources::ZERO
    };
    let input = PolicyInput {
        domain: domain("a"),
        limit: cpu_and_mem(1_000),
        allotment: over_limit,
        used: over_limit,
        queued: cpu_and_mem(10),
        peak_demand: over_limit + cpu_and_mem(10),
        others: &[],
    };
    assert_eq!(
        escrow::demand_policy(PolicySettings::default())(&input),
        None
    );
    assert_eq!(escrow::equal_split_policy()(&input), None);
}

/// Guards against a peak that drops out of the window too early or never.
#[test]
fn peak_lasts_some_rounds() {
    let mut peak = PeakDemand::default();
    assert_eq!(peak.observe(cpu_and_mem(9)), cpu_and_mem(9));
    for _ in 1..PEAK_ROUNDS {
        assert_eq!(peak.observe(cpu_and_mem(2)), cpu_and_mem(9));
    }
    assert_eq!(peak.observe(cpu_and_mem(1)), cpu_and_mem(2));
}

/// Bounds on the outcome of a load. A round is a ping interval of 1 s; a change of the
/// configuration takes effect within 8 s.
struct Bound {
    name: &'static str,
    /// Maximum rounds until a change is met; `None` if the load changes too fast to be followed.
    wait: Option<u64>,
    /// Maximum round in which a command is proposed.
    last_round: u64,
    /// Maximum number of commands.
    commands: u64,
}

/// Guards against oscillation of the allotments, against demand that is never met and against a
/// domain that starves.
#[test]
fn allotments_follow_demand_without_oscillation() {
    let domains = rounds::DOMAINS;
    // Each domain may propose a transfer in each of the 8 rounds after a change.
    let per_change = domains * 8;
    let bounds = [
        Bound {
            name: "even demand",
            wait: Some(8),
            last_round: 8,
            commands: per_change,
        },
        Bound {
            name: "shift to the next domain",
            wait: Some(8),
            last_round: 160 + 8,
            commands: 5 * per_change,
        },
        Bound {
            name: "short waves",
            wait: None,
            last_round: 16,
            commands: per_change,
        },
        Bound {
            name: "small changes",
            wait: None,
            last_round: 8,
            commands: per_change,
        },
        Bound {
            name: "more than the limit",
            wait: Some(8),
            // Usage above the equal share drains by a quarter per round. From the whole limit to a
            // fifth of it this takes 6 rounds.
            last_round: 60 + 6 + 8,
            commands: 2 * per_change,
        },
        Bound {
            name: "lowered limit",
            wait: Some(8),
            last_round: 40 + 8,
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
        assert!(outcome.last_round <= bound.last_round, "{name} {outcome:?}");
        assert!(outcome.commands <= bound.commands, "{name} {outcome:?}");
        // In the worst case the whole limit is misplaced for 8 rounds.
        assert!(outcome.starved <= 8 * rounds::LIMIT, "{name} {outcome:?}");
        // The demand policy must serve as much demand as the equal split, except during the
        // transfers of a few rounds.
        let slack = rounds::LIMIT;
        assert!(
            outcome.unmet <= baseline.unmet + slack,
            "{name} {outcome:?} {baseline:?}"
        );
    }
}

/// Realistic and extreme amounts.
fn amount() -> impl Strategy<Value = Resources> {
    let n = || prop_oneof![9 => 0..2_000_u64, 1 => Just(u64::MAX)];
    (n(), n(), n()).prop_map(|(cpu, mem, gpu)| Resources { cpu, mem, gpu })
}

proptest! {
    /// Guards against giving resources in use, taking more than is unallotted, and overflow.
    #[test]
    fn proposals_stay_within_bounds(
        [limit, allotment, used, queued, peak_demand] in
            [amount(), amount(), amount(), amount(), amount()],
        others in prop::collection::vec((amount(), amount()), 0..4),
    ) {
        let other = |(allotment, shortage)| OtherDomain {
            domain: domain("b"),
            allotment,
            shortage,
        };
        let others: Vec<OtherDomain> = others.into_iter().map(other).collect();
        let input = PolicyInput {
            domain: domain("a"),
            limit,
            allotment,
            used,
            queued,
            peak_demand,
            others: &others,
        };
        let sum = others.iter().fold(allotment, |sum, o| sum + o.allotment);
        for policy in [
            escrow::demand_policy(PolicySettings::default()),
            escrow::equal_split_policy(),
        ] {
            match policy(&input) {
                Some(Transfer::Give(n)) => prop_assert!(n.fits(&allotment.saturating_sub(&used))),
                Some(Transfer::Take(n)) => prop_assert!(n.fits(&limit.saturating_sub(&sum))),
                None => {}
            }
        }
        prop_assert!(escrow::usable_amount(&input, &PolicySettings::default()).fits(&allotment));
    }
}
