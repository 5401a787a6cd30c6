//! Fair shares on a full cell: lending unused capacity and reclaiming it.

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

/// Largest allowed deviation from the fair share, 30 s after the cell became full.
const MAX_DEVIATION: f64 = 0.02;
const SETTLE_MS: u64 = 30_000;
const WORKERS: usize = 10;
const WORKER: Resources = resources(16_000, 32_768, 0);

struct Case {
    name: &'static str,
    shares: [u32; 3],
    /// Need of each task, by team.
    needs: [Resources; 3],
    /// Whether each team submits jobs.
    has_jobs: [bool; 3],
    /// Expected fraction of the cell by dominant resource, by team.
    fractions: [f64; 3],
    /// Run time of the tasks; `None` if they do not end during the test.
    run_ms: Option<u64>,
    class: Class,
}

/// Guards against teams that do not reach their fair share, and against lent capacity that is not
/// reclaimed.
#[test]
fn full_cell_is_split_by_share() {
    let cores = |n: u64| resources(n * 500, n * 512, 0);
    let base = || Case {
        name: "",
        shares: [3, 2, 1],
        needs: [cores(1); 3],
        has_jobs: [true; 3],
        fractions: [3.0 / 6.0, 2.0 / 6.0, 1.0 / 6.0],
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
            has_jobs: [false, true, true],
            fractions: [0.0, 2.0 / 3.0, 1.0 / 3.0],
            ..base()
        },
        Case {
            name: "different dominant resources",
            shares: [1, 1, 1],
            // One team is bound by processors and one by memory. With equal shares, both should use
            // the same fraction of their dominant resource.
            needs: [
                resources(500, 64, 0),
                resources(32, 1_024, 0),
                resources(16, 32, 0),
            ],
            has_jobs: [true, true, false],
            fractions: [0.0, 0.0, 0.0],
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
        // The first team fills the cell before the others submit jobs.
        for n in (0..3).filter(|&n| case.has_jobs[n]) {
            // Enough jobs to keep the cell full for the whole test.
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
        let total = WORKER.saturating_mul(WORKERS as u64);
        let fraction = |n: usize| sim.team_use(names[n]).dominant_share(&total);
        if case.fractions == [0.0; 3] {
            let deviation = (fraction(0) - fraction(1)).abs();
            assert!(
                deviation < MAX_DEVIATION,
                "{}: {} {}",
                case.name,
                fraction(0),
                fraction(1)
            );
            continue;
        }
        for (n, expected) in case.fractions.iter().enumerate() {
            let deviation = (fraction(n) - expected).abs();
            assert!(
                deviation < MAX_DEVIATION,
                "{}: team {n} has {}",
                case.name,
                fraction(n)
            );
        }
    }
}

/// Guards against reclaiming capacity from services and from tasks that must not be repeated.
#[test]
fn services_and_unrepeatable_tasks_are_not_reclaimed() {
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

/// Guards against teams that keep preempting each other after the shares are met.
#[test]
fn reclaiming_stops_once_shares_are_met() {
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
    let reclaims = |a: &Action| {
        matches!(
            a,
            Action::Stop {
                reason: StopReason::Share,
                ..
            }
        )
    };
    let before = sim.actions(reclaims);
    assert_eq!(before, 14);
    sim.run(120_000);
    assert_eq!(sim.actions(reclaims), before);
}

/// Guards against a team that exceeds its allotment, that starts tasks above a lowered allotment,
/// or that announces less than its demand.
#[test]
fn allotments_limit_teams() {
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
    let demand = |a: &Action| match a {
        Action::Demand { amount, .. } => Some(*amount),
        _ => None,
    };
    let last_demand = sim.log.iter().filter_map(|(_, a)| demand(a)).next_back();
    // The demand is all queued and running tasks, up to the limit of the document.
    assert_eq!(last_demand, Some(resources(3_000, 10_240, 0)));
    let amount = resources(1_000, 65_536, 0);
    sim.event(zinnia_sched::Event::Allotment {
        team: team("a"),
        amount,
    });
    sim.run(6_000);
    assert_eq!(sim.running(id), 2);
}

/// Guards against a baseline policy that lends unused capacity like the default policy.
#[test]
fn equal_split_lends_nothing() {
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
