//! Jobs of each class run to completion.

#[cfg(test)]
mod common;

use common::Simulation;
use common::UNLIMITED;
use common::job;
use common::resources;
use zinnia_types::Class;
use zinnia_types::Job;
use zinnia_types::Outcome;

struct Case {
    name: &'static str,
    job: Job,
    /// Attempts that run right after the submission.
    running: usize,
    outcome: Option<Outcome>,
}

/// Guards against jobs that are lost, run twice or never end.
#[test]
fn jobs_run_to_completion() {
    let base = || job("j", "a");
    let cases = [
        Case {
            name: "batch",
            job: Job { tasks: 3, ..base() },
            running: 3,
            outcome: Some(Outcome::Done),
        },
        Case {
            name: "gang",
            job: Job {
                class: Class::Gang,
                tasks: 4,
                ..base()
            },
            running: 4,
            outcome: Some(Outcome::Done),
        },
        Case {
            name: "batch that must not be repeated",
            job: Job {
                repeat: false,
                tasks: 2,
                ..base()
            },
            running: 2,
            outcome: Some(Outcome::Done),
        },
        Case {
            name: "gang that must not be repeated",
            job: Job {
                class: Class::Gang,
                repeat: false,
                tasks: 3,
                ..base()
            },
            running: 3,
            outcome: Some(Outcome::Done),
        },
        Case {
            name: "more tasks than fit at once",
            job: Job {
                need: resources(4_000, 1_024, 0),
                tasks: 3,
                ..base()
            },
            running: 2,
            outcome: Some(Outcome::Done),
        },
        Case {
            name: "memory need above every worker",
            job: Job {
                need: resources(1_000, 100_000, 0),
                ..base()
            },
            running: 0,
            outcome: Some(Outcome::NeverFits {
                why: "memory in MiB: a task needs 100000, the largest worker has 8192".to_owned(),
            }),
        },
        Case {
            name: "gang larger than the domain",
            job: Job {
                class: Class::Gang,
                need: resources(4_000, 1_024, 0),
                tasks: 3,
                ..base()
            },
            running: 0,
            outcome: Some(Outcome::NeverFits {
                why: "tasks: 3 must start at once, 2 fit into the empty domain".to_owned(),
            }),
        },
    ];
    for case in cases {
        let mut sim = Simulation::new(&[("a", 1, UNLIMITED)]);
        sim.add(0, resources(4_000, 8_192, 0));
        sim.add(1, resources(4_000, 8_192, 0));
        let id = sim.submit(case.job);
        assert_eq!(sim.running(id), case.running, "{}", case.name);
        sim.run(60_000);
        assert_eq!(sim.ended.get(&id), case.outcome.as_ref(), "{}", case.name);
        assert_eq!(sim.sched.running().count(), 0, "{}", case.name);
    }
}
