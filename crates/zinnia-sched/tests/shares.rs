//! Shares on a full cell, lending and taking back.

#[cfg(test)]
mod common;

use common::Simulation;
use common::UNLIMITED;
use common::job;
use common::resources;
use common::team;
use zinnia_sched::Action;
use zinnia_sched::Policy;
use zinnia_sched::StopReason;
use zinnia_types::Class;
use zinnia_types::Job;
use zinnia_types::Resources;

/// Largest distance from share that is allowed 30 s after the cell became full.
const GOAL: f64 = 0.02;
const SETTLE_MS: u64 = 30_000;
const WORKERS: usize = 10;
const WORKER: Resources = resources(16_000, 32_768, 0);

struct Case {
    name: &'static str,
    shares: [u32; 3],
    /// Need of the tasks of each team.
    needs: [Resources; 3],
    /// Whether each team has work.
    works: [bool; 3],
    /// Part of the cell that each team should have of its dominant resource.
    parts: [f64; 3],
    /// How long tasks run; `None` for longer than the test.
    run_ms: Option<u64>,
    class: Class,
}

/// Guards against teams that stay away from their share, and against lent room that is not taken
/// back.
#[test]
fn a_full_cell_is_split_by_share() {
    let cores = |n: u64| resources(n * 500, n * 512, 0);
    let base = || Case {
        name: "",
        shares: [3, 2, 1],
        needs: [cores(1); 3],
        works: [true; 3],
        parts: [3.0 / 6.0, 2.0 / 6.0, 1.0 / 6.0],
        run_ms: None,
        class: Class::Batch,
    };
    let cases = [
        Case {
            name: "long tasks",
            ..base()
        },
        Case {
            name: "short tasks",
            run_ms: Some(4_000),
            ..base()
        },
        Case {
            name: "tasks of several sizes",
            needs: [cores(1), cores(2), cores(1)],
            run_ms: Some(9_000),
            ..base()
        },
        Case {
            name: "small gangs",
            class: Class::Gang,
            ..base()
        },
        Case {
            name: "the share of an idle team is lent",
            works: [false, true, true],
            parts: [0.0, 2.0 / 3.0, 1.0 / 3.0],
            ..base()
        },
        Case {
            name: "different dominant resources",
            shares: [1, 1, 1],
            // Processor, memory and both: all teams get the same dominant part, 1/2, as x + x / 2
            // of the processors and of the memory is used by two of them.
            needs: [
                resources(500, 64, 0),
                resources(32, 1_024, 0),
                resources(16, 32, 0),
            ],
            works: [true, true, false],
            parts: [0.0, 0.0, 0.0],
            run_ms: Some(5_000),
            class: Class::Batch,
        },
    ];
    for case in cases {
        let names = ["a", "b", "c"];
        let teams: Vec<_> = (0..3)
            .map(|n| (names[n], case.shares[n], UNLIMITED))
            .collect();
        let mut sim = Simulation::new(&teams);
        let run = case.run_ms;
        sim.behaviour = Box::new(move |_, _, _| (run, Ok(())));
        for n in 0..WORKERS {
            sim.add(n, WORKER);
        }
        // The first team with work fills the cell before the others come.
        for n in (0..3).filter(|&n| case.works[n]) {
            // Enough for the whole test.
            let jobs = if run.is_some() { 2_000 } else { 400 };
            for seq in 0..jobs {
                sim.submit(Job {
                    class: case.class,
                    tasks: 2,
                    need: case.needs[n],
                    ..job(&format!("{seq}"), names[n])
                });
            }
            sim.run(2_000);
        }
        sim.run(SETTLE_MS);
        let total = WORKER.times(WORKERS as u64);
        let part = |n: usize| sim.team_use(names[n]).dominant(&total);
        if case.parts == [0.0; 3] {
            let apart = (part(0) - part(1)).abs();
            assert!(apart < GOAL, "{}: {} {}", case.name, part(0), part(1));
            continue;
        }
        for (n, wanted) in case.parts.iter().enumerate() {
            let apart = (part(n) - wanted).abs();
            assert!(apart < GOAL, "{}: team {n} has {}", case.name, part(n));
        }
    }
}

/// Guards against shares that are taken back from work that must not be repeated or from services.
#[test]
fn shares_are_not_taken_back_from_what_must_go_on() {
    for (class, repeat) in [(Class::Service, true), (Class::Batch, false)] {
        let mut sim = Simulation::new(&[("a", 1, UNLIMITED), ("b", 1, UNLIMITED)]);
        sim.behaviour = Box::new(|_, _, _| (None, Ok(())));
        sim.add(0, resources(4_000, 8_192, 0));
        let first = sim.submit(Job {
            class,
            repeat,
            tasks: 4,
            ..job("first", "a")
        });
        sim.submit(Job {
            tasks: 4,
            ..job("second", "b")
        });
        sim.run(SETTLE_MS);
        assert_eq!(sim.running(first), 4);
    }
}

/// Guards against checkpoints back and forth once shares are met.
#[test]
fn shares_settle() {
    let mut sim = Simulation::new(&[("a", 1, UNLIMITED), ("b", 1, UNLIMITED)]);
    sim.behaviour = Box::new(|_, _, _| (None, Ok(())));
    for n in 0..4 {
        sim.add(n, resources(7_000, 65_536, 0));
    }
    for name in ["a", "b"] {
        sim.submit(Job {
            tasks: 60,
            ..job("work", name)
        });
        sim.run(10_000);
    }
    sim.run(SETTLE_MS);
    let share = |a: &Action| {
        matches!(
            a,
            Action::Stop {
                reason: StopReason::Share,
                ..
            }
        )
    };
    let before = sim.actions(share);
    assert_eq!(before, 14);
    sim.run(120_000);
    assert_eq!(sim.actions(share), before);
}

/// Guards against an allotment that is exceeded, a lowered one that still grows, and a wanted
/// amount that does not say what is missing.
#[test]
fn allotments_bound_teams() {
    let mut sim = Simulation::new(&[("a", 1, resources(3_000, 65_536, 0))]);
    sim.behaviour = Box::new(|_, _, _| (Some(5_000), Ok(())));
    sim.add(0, resources(16_000, 65_536, 0));
    let id = sim.submit(Job {
        tasks: 20,
        need: resources(500, 512, 0),
        ..job("work", "a")
    });
    assert_eq!(sim.running(id), 6);
    sim.run(1_000);
    let wants = |a: &Action| match a {
        Action::Demand { amount, .. } => Some(*amount),
        _ => None,
    };
    let wanted = sim.log.iter().filter_map(|(_, a)| wants(a)).next_back();
    // All that is queued and running, up to the limit of the document.
    assert_eq!(wanted, Some(resources(3_000, 10_240, 0)));
    let amount = resources(1_000, 65_536, 0);
    sim.event(zinnia_sched::Event::Allotment {
        team: team("a"),
        amount,
    });
    sim.run(6_000);
    assert_eq!(sim.running(id), 2);
}

/// Guards against baselines that do not differ from the policy that they are compared with.
#[test]
fn the_equal_split_lends_nothing() {
    let settings = zinnia_sched::Settings::default();
    let teams = [("a", 3, UNLIMITED), ("b", 1, UNLIMITED)];
    let mut sim = Simulation::with(&teams, settings, Policy::baseline());
    sim.behaviour = Box::new(|_, _, _| (None, Ok(())));
    sim.add(0, resources(8_000, 65_536, 0));
    let id = sim.submit(Job {
        tasks: 8,
        ..job("work", "a")
    });
    sim.run(1_000);
    assert_eq!(sim.running(id), 4);
}
