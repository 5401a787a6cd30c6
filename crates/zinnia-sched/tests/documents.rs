//! Jobs that meet a document which is no longer the one that admitted them.

#[cfg(test)]
mod common;

use common::Simulation;
use common::job;
use common::resources;
use common::team;
use zinnia_sched::Action;
use zinnia_sched::Event;
use zinnia_types::Document;
use zinnia_types::JobId;
use zinnia_types::Outcome;
use zinnia_types::Resources;
use zinnia_types::Team;

const WORKER: Resources = resources(4_000, 8_192, 0);

/// Number of starts of a job.
fn starts(sim: &Simulation, id: JobId) -> usize {
    sim.actions(|a| matches!(a, Action::Start { attempt, .. } if attempt.job == id))
}

/// Guards against accepted jobs that end for good because a document drops their team for a while, or renames
/// it. Without a limit they may not start, but the team may come back.
#[test]
fn waiting_jobs_outlive_removal_of_their_team() {
    struct Case {
        name: &'static str,
        /// Whether the job has been started before the team is dropped.
        started: bool,
    }
    let cases = [
        Case {
            name: "waiting",
            started: false,
        },
        Case {
            name: "started, and its worker is lost",
            started: true,
        },
    ];
    let limit = resources(8_000, 65_536, 8);
    let allot = |amount| Event::Allotment {
        team: team("a"),
        amount,
    };
    for case in cases {
        let mut sim = Simulation::new(&[("a", 1, limit), ("b", 1, limit)]);
        let publish = |names: &[&str]| {
            let entry = |name: &&str| Team {
                name: team(name),
                share: 1,
                limit,
                calls: 1,
            };
            Event::Document {
                document: Box::new(Document {
                    teams: names.iter().map(entry).collect(),
                    ..Document::default()
                }),
            }
        };
        if case.started {
            sim.add(0, WORKER);
        }
        let id = sim.submit(job("j", "a"));
        assert_eq!(starts(&sim, id), usize::from(case.started), "{}", case.name);
        sim.event(publish(&["b"]));
        sim.event(allot(Resources::ZERO));
        if case.started {
            sim.lapse(0);
        }
        sim.add(1, WORKER);
        sim.run(5_000);
        assert_eq!(sim.ended.get(&id), None, "{}: without the team", case.name);
        assert_eq!(starts(&sim, id), usize::from(case.started), "{}", case.name);
        sim.event(publish(&["a", "b"]));
        sim.event(allot(limit));
        sim.run(30_000);
        assert_eq!(sim.ended.get(&id), Some(&Outcome::Done), "{}", case.name);
    }
}
