//! Which callers may read or cancel a job.

mod common;

use common::Simulation;
use common::document;
use common::job;
use common::step;
use zinnia_plan::Document;
use zinnia_plan::Queue;
use zinnia_plan::Record;
use zinnia_plan::Resources;
use zinnia_plan::Team;
use zinnia_types::JobId;

fn queue(name: &str, public: bool) -> Queue {
    Queue {
        name: name.to_owned(),
        prefix: format!("/{name}/"),
        public,
        ..document(None).queues[0].clone()
    }
}

fn team(name: &str) -> Team {
    Team {
        name: name.to_owned(),
        keys: vec![format!("key-{name}")],
        weight: 1,
        cap: Resources::default(),
    }
}

fn with(version: u64, queues: &[Queue], teams: &[&str]) -> Document {
    Document {
        version,
        queues: queues.to_vec(),
        teams: teams.iter().map(|t| team(t)).collect(),
        ..document(None)
    }
}

/// Guards against a job that is read or cancelled through another queue or with the key of another team, also after
/// a key was withdrawn; and against callers that do not find their job once its queue or team was renamed.
#[test]
fn job_is_found_by_its_queue_and_team() {
    struct Case {
        name: &'static str,
        /// The queue and the team of the submission.
        submitted: (&'static str, &'static str),
        /// Queues and teams of a later document, if there is one.
        later: Option<(Vec<Queue>, &'static [&'static str])>,
        /// The queue and the team of the caller.
        asked: (&'static str, &'static str),
        found: bool,
    }
    let both = || vec![queue("plan", false), queue("watch", true)];
    let cases = [
        Case {
            name: "its caller",
            submitted: ("plan", "kibo"),
            later: None,
            asked: ("plan", "kibo"),
            found: true,
        },
        Case {
            name: "another team",
            submitted: ("plan", "kibo"),
            later: None,
            asked: ("plan", "meru"),
            found: false,
        },
        Case {
            name: "another queue, without a key",
            submitted: ("plan", "kibo"),
            later: None,
            asked: ("watch", ""),
            found: false,
        },
        Case {
            name: "another queue, with its key",
            submitted: ("plan", "kibo"),
            later: None,
            asked: ("watch", "kibo"),
            found: false,
        },
        Case {
            name: "another queue under a later document",
            submitted: ("plan", "kibo"),
            later: Some((both(), &["kibo", "meru"])),
            asked: ("watch", ""),
            found: false,
        },
        Case {
            name: "a public queue, without the key of the submission",
            submitted: ("watch", "kibo"),
            later: None,
            asked: ("watch", ""),
            found: true,
        },
        Case {
            name: "the queue is renamed",
            submitted: ("plan", "kibo"),
            later: Some((
                vec![queue("layout", false), queue("watch", true)],
                &["kibo", "meru"],
            )),
            asked: ("layout", "kibo"),
            found: true,
        },
        Case {
            name: "the queue is renamed, another team asks",
            submitted: ("plan", "kibo"),
            later: Some((
                vec![queue("layout", false), queue("watch", true)],
                &["kibo", "meru"],
            )),
            asked: ("layout", "meru"),
            found: false,
        },
        Case {
            name: "a public queue is renamed",
            submitted: ("watch", ""),
            later: Some((
                vec![queue("plan", false), queue("look", true)],
                &["kibo", "meru"],
            )),
            asked: ("look", ""),
            found: true,
        },
        Case {
            name: "the team is renamed",
            submitted: ("plan", "kibo"),
            later: Some((both(), &["uhuru", "meru"])),
            asked: ("plan", "uhuru"),
            found: true,
        },
    ];
    for case in cases {
        let mut sim = Simulation::new(with(2, &both(), &["kibo", "meru"]));
        let (submitted, owner) = case.submitted;
        sim.apply(Record::Submit {
            id: JobId(1),
            queue: submitted.to_owned(),
            route: sim.state.document.queue(submitted).map(Queue::route),
            team: owner.to_owned(),
            spec: job(vec![step(1, 1_000)]),
        });
        if let Some((queues, teams)) = &case.later {
            sim.apply(Record::Document {
                raw: "raw".to_owned(),
                document: with(3, queues, teams),
            });
        }
        let (asked, caller) = case.asked;
        let queue = sim.state.document.queue(asked).expect("the queue exists");
        let job = &sim.state.jobs[&JobId(1)];
        let found = sim.state.may_access(job, queue, caller);
        assert_eq!(found, case.found, "{}", case.name);
    }
}
