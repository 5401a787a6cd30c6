//! Guards against a service task that does not run again in time after losses and takeovers, since
//! a new acting owner counts the wait for silent workers from its own term, and against a task that
//! runs in two places.

#[cfg(test)]
mod domain;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use domain::Fault;
use domain::SimDomain;

/// A sequence of faults with a variable moment.
struct Case {
    name: &'static str,
    faults: fn(u64) -> Vec<(u64, Fault)>,
}

/// Moments of the sweep, in milliseconds.
const SWEEP_END_MS: u64 = 60_000;
const SWEEP_STEP_MS: usize = 2_700;
/// Number of random sequences of faults.
const PLAYS: u64 = 200;

/// Plays each case at each moment; returns the plays in which the task ran again too late.
fn late_plays(cases: &[Case]) -> Vec<String> {
    let mut late = Vec::new();
    for case in cases {
        for (seed, gap) in (0..).zip((0..SWEEP_END_MS).step_by(SWEEP_STEP_MS)) {
            let faults = (case.faults)(gap);
            if let Some(ms) = SimDomain::new(seed).play(&faults) {
                late.push(format!(
                    "{}, seed {seed}, moment {gap} ms: still not running {ms} ms after the last loss",
                    case.name
                ));
            }
        }
    }
    late
}

#[test]
fn a_task_runs_again_in_time_after_losses() {
    let cases = [
        Case {
            name: "worker, then acting owner",
            faults: |gap| vec![(0, Fault::LoseWorker), (gap, Fault::LoseOwner)],
        },
        Case {
            name: "acting owner, then worker",
            faults: |gap| vec![(0, Fault::LoseOwner), (gap, Fault::LoseWorker)],
        },
        Case {
            name: "worker, then two acting owners",
            faults: |gap| {
                vec![
                    (0, Fault::LoseWorker),
                    (gap, Fault::LoseOwner),
                    (gap + 25_000, Fault::LoseOwner),
                ]
            },
        },
        Case {
            name: "worker cut off and back, then acting owner",
            faults: |gap| vec![(0, Fault::CutWorker(gap)), (20_000, Fault::LoseOwner)],
        },
        Case {
            name: "worker back with a new boot number and lost again",
            faults: |gap| {
                vec![
                    (0, Fault::RebootWorker(gap)),
                    (gap + 3_000, Fault::LoseWorker),
                ]
            },
        },
        Case {
            name: "takeover without a loss, then worker",
            faults: |gap| vec![(0, Fault::HandOver), (gap, Fault::LoseWorker)],
        },
    ];
    let late = late_plays(&cases);
    assert!(late.is_empty(), "{late:#?}");
}

#[test]
fn a_task_runs_again_in_time_after_losses_with_an_election() {
    let cases = [Case {
        name: "worker, then acting owner and leader",
        faults: |gap| {
            vec![
                (0, Fault::LoseWorker),
                (gap, Fault::LoseOwner),
                (gap, Fault::LoseLeader),
            ]
        },
    }];
    let late = late_plays(&cases);
    assert!(late.is_empty(), "{late:#?}");
}

#[test]
fn a_takeover_without_a_loss_does_not_delay_a_restart() {
    let cases = [
        Case {
            name: "worker, then a hand-over",
            faults: |gap| vec![(0, Fault::LoseWorker), (gap, Fault::HandOver)],
        },
        Case {
            name: "worker, then a new term of the same acting owner",
            faults: |gap| vec![(0, Fault::LoseWorker), (gap, Fault::NewTerm)],
        },
        Case {
            name: "worker, then three hand-overs",
            faults: |gap| {
                vec![
                    (0, Fault::LoseWorker),
                    (gap, Fault::HandOver),
                    (gap + 15_000, Fault::HandOver),
                    (gap + 30_000, Fault::HandOver),
                ]
            },
        },
        Case {
            name: "worker cut off and back, with a hand-over between",
            faults: |gap| vec![(0, Fault::CutWorker(gap)), (20_000, Fault::HandOver)],
        },
        Case {
            name: "worker back with a new boot number and lost again, then a hand-over",
            faults: |gap| {
                vec![
                    (0, Fault::RebootWorker(2_000)),
                    (5_000, Fault::LoseWorker),
                    (5_000 + gap, Fault::HandOver),
                ]
            },
        },
    ];
    let late = late_plays(&cases);
    assert!(late.is_empty(), "{late:#?}");
}

#[test]
fn a_hand_over_soon_after_a_takeover_does_not_delay_a_restart() {
    let cases = [Case {
        name: "worker and acting owner, then a hand-over",
        faults: |gap| {
            vec![
                (0, Fault::LoseWorker),
                (0, Fault::LoseOwner),
                (gap, Fault::HandOver),
            ]
        },
    }];
    let late = late_plays(&cases);
    assert!(late.is_empty(), "{late:#?}");
}

/// Guards against a task that runs in two places when faults follow each other in any order; each
/// round of a play checks it.
#[test]
fn no_order_of_faults_runs_a_task_in_two_places() {
    let kinds = [
        Fault::CutWorker(6_000),
        Fault::CutWorker(14_000),
        Fault::CutWorker(24_000),
        Fault::CutWorker(45_000),
        Fault::RebootWorker(3_000),
        Fault::LoseOwner,
        Fault::LoseLeader,
        Fault::HandOver,
        Fault::NewTerm,
    ];
    for seed in 0..PLAYS {
        let mut random = StdRng::seed_from_u64(seed);
        let mut at = 0;
        let faults: Vec<_> = (0..12)
            .map(|_| {
                at += random.random_range(0..150) * 100;
                (at, kinds[random.random_range(0..kinds.len())])
            })
            .collect();
        SimDomain::new(seed).play(&faults);
    }
}

/// Guards against a worker whose leases are renewed while the entry that declares it silent is on
/// its way: the next acting owner would count a lease from before the renewal.
#[test]
fn a_delayed_declaration_covers_no_later_renewal() {
    for (seed, delay) in (0..).zip((1_000..9_000).step_by(1_000)) {
        for renewed_for in (500..delay).step_by(500) {
            let back = 10_500;
            let lost = back + renewed_for;
            let faults = [
                (0, Fault::CutWorker(back)),
                (lost, Fault::CutWorker(90_000)),
                (back + delay, Fault::HandOver),
            ];
            let mut domain = SimDomain::new(seed);
            domain.delay_ms = Some(delay);
            domain.play(&faults);
        }
    }
}
