//! Sequences of losses that once broke a check, each played with several seeds for all else.

use crate::schedule::Fault;
use crate::schedule::Fault::LeaderLost;
use crate::schedule::Fault::StepDown;
use crate::schedule::Schedule;
use crate::schedule::Victim;
use crate::sim;

/// Number of seeds with which each sequence is played.
const SEEDS: u64 = 24;

/// A sequence of losses.
struct Case {
    name: &'static str,
    faults: Vec<(u64, Fault)>,
}

const fn lost(task: usize, back_ms: Option<u64>) -> Fault {
    Fault::WorkerLost {
        victim: Victim::Holder(task),
        back_ms,
        reset: false,
    }
}

/// The worker of the fault before is lost for good.
const LOST_AGAIN: Fault = Fault::WorkerLost {
    victim: Victim::Last,
    back_ms: None,
    reset: false,
};

fn check(cases: &[Case]) {
    let mut failed = Vec::new();
    for case in cases {
        for seed in 0..SEEDS {
            let outcome = sim::simulate(Schedule::of(&case.faults, seed));
            if !outcome.checks.violations.is_empty() {
                failed.push((case.name, seed, outcome));
            }
        }
    }
    let names: Vec<_> = failed.iter().map(|(name, seed, _)| (name, seed)).collect();
    if let Some((name, seed, outcome)) = failed.first() {
        panic!("failed: {names:?}\nthe first is {name}, seed {seed}: {outcome}");
    }
}

/// Guards against runs that stay assigned to an incarnation that is lost soon after its start.
#[test]
fn replaced_worker_is_lost() {
    check(&[
        Case {
            name: "right after its first answer",
            faults: vec![(6_106, lost(1, Some(1_044))), (7_410, LOST_AGAIN)],
        },
        Case {
            name: "before its first answer",
            faults: vec![(6_106, lost(1, Some(1_044))), (7_200, LOST_AGAIN)],
        },
        Case {
            name: "after its first answer, and the leader later",
            faults: vec![
                (4_003, lost(3, Some(6_630))),
                (10_893, LOST_AGAIN),
                (18_493, LeaderLost { back_ms: 2_502 }),
            ],
        },
    ]);
}

/// Guards against a new leader that does not know which runs the earlier incarnation had received.
#[test]
fn worker_replaced_under_new_leader_is_lost() {
    check(&[
        Case {
            name: "the leader is lost after the worker",
            faults: vec![
                (5_417, lost(0, Some(2_681))),
                (7_498, LeaderLost { back_ms: 532 }),
                (8_148, LOST_AGAIN),
            ],
        },
        Case {
            name: "the leader is lost just before the worker",
            faults: vec![
                (4_669, LeaderLost { back_ms: 2_426 }),
                (4_703, lost(2, Some(586))),
                (5_689, LOST_AGAIN),
            ],
        },
        Case {
            name: "the worker is back before the new leader",
            faults: vec![
                (16_101, LeaderLost { back_ms: 1_973 }),
                (16_181, lost(2, Some(327))),
                (16_908, LOST_AGAIN),
            ],
        },
    ]);
}

/// Guards against leaders that step down, which excuses no delay, and leave the next one to wait anew.
#[test]
fn leaders_step_down_after_loss() {
    check(&[
        Case {
            name: "three times, after the silence is known",
            faults: vec![
                (6_824, lost(0, None)),
                (9_524, StepDown),
                (12_260, StepDown),
                (15_000, StepDown),
            ],
        },
        Case {
            name: "once, early",
            faults: vec![(6_000, lost(0, None)), (6_500, StepDown)],
        },
    ]);
}

/// Guards against a leader that steps down before it can notice that a worker is lost.
#[test]
fn leader_steps_down_before_silence_is_noticed() {
    check(&[Case {
        name: "1.6 s after the loss",
        faults: vec![(6_445, lost(0, None)), (8_045, StepDown)],
    }]);
}

/// Guards against a member that counts the silence of a worker from its own restart.
#[test]
fn restarted_member_leads() {
    check(&[Case {
        name: "the leader is lost with a worker, is back, and leads again",
        faults: vec![
            (4_853, lost(3, None)),
            (4_853, LeaderLost { back_ms: 2_955 }),
            (10_537, StepDown),
        ],
    }]);
}

/// Guards against a job that is given up because its workers were lost, which is no fault of the job.
#[test]
fn job_outlives_losses_of_its_workers() {
    check(&[Case {
        name: "three workers that come back later",
        faults: vec![
            (6_000, lost(0, Some(9_000))),
            (22_000, lost(0, Some(9_000))),
            (38_000, lost(0, Some(9_000))),
        ],
    }]);
}
