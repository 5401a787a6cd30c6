//! Tests of preemption: urgent tasks start within 1.5 s on a full cell, and only preemptible tasks
//! are affected.

#[cfg(test)]
mod common;

use common::Simulation;
use common::UNLIMITED;
use common::job;
use common::resources;
use zinnia_sched::Action;
use zinnia_types::Class;
use zinnia_types::Job;
use zinnia_types::Urgency;

/// Maximum time from submission to the start decision.
const BOUND_MS: u64 = 1_500;

struct Case {
    name: &'static str,
    /// Job that fills the cell of two workers with 4 cores and 8 GiB each.
    filler: Job,
    urgent: Job,
    starts: bool,
    checkpoints: usize,
    throttled: bool,
}

/// Guards against urgent tasks that wait for less urgent ones, and against preemption of services
/// and non-repeatable tasks.
#[test]
fn urgent_tasks_start_in_time() {
    let filler = || Job {
        tasks: 8,
        need: resources(1_000, 2_048, 0),
        ..job("filler", "a")
    };
    let urgent = || Job {
        urgency: Urgency::Urgent,
        need: resources(1_000, 2_048, 0),
        ..job("urgent", "b")
    };
    let base = || Case {
        name: "",
        filler: filler(),
        urgent: urgent(),
        starts: true,
        checkpoints: 0,
        throttled: false,
    };
    let cases = [
        Case {
            name: "checkpoints one normal task",
            checkpoints: 1,
            ..base()
        },
        Case {
            name: "checkpoints as many as needed on one worker",
            urgent: Job {
                need: resources(3_000, 6_000, 0),
                ..urgent()
            },
            checkpoints: 3,
            ..base()
        },
        Case {
            name: "throttles when only CPU is short",
            filler: Job {
                need: resources(1_000, 1_024, 0),
                ..filler()
            },
            throttled: true,
            ..base()
        },
        Case {
            name: "throttles non-repeatable tasks",
            filler: Job {
                need: resources(1_000, 1_024, 0),
                repeat: false,
                ..filler()
            },
            throttled: true,
            ..base()
        },
        Case {
            name: "never stops non-repeatable tasks",
            filler: Job {
                repeat: false,
                ..filler()
            },
            starts: false,
            ..base()
        },
        Case {
            name: "never stops services",
            filler: Job {
                class: Class::Service,
                ..filler()
            },
            starts: false,
            ..base()
        },
        Case {
            name: "never stops other urgent tasks",
            filler: Job {
                urgency: Urgency::Urgent,
                ..filler()
            },
            starts: false,
            ..base()
        },
        Case {
            name: "preempts for a whole gang",
            urgent: Job {
                class: Class::Gang,
                tasks: 3,
                need: resources(2_000, 4_096, 0),
                ..urgent()
            },
            checkpoints: 6,
            ..base()
        },
        Case {
            name: "preempts for a gang on both workers",
            urgent: Job {
                class: Class::Gang,
                tasks: 2,
                need: resources(3_000, 2_048, 0),
                ..urgent()
            },
            checkpoints: 6,
            ..base()
        },
    ];
    for case in cases {
        let mut sim = Simulation::new(&[("a", 1, UNLIMITED), ("b", 1, UNLIMITED)]);
        sim.behaviour = Box::new(|_, _, _| (None, Ok(())));
        sim.add(0, resources(4_000, 8_192, 0));
        sim.add(1, resources(4_000, 8_192, 0));
        let filler = sim.submit(case.filler);
        assert_eq!(
            sim.running(filler),
            8,
            "{}: the cell is not full",
            case.name
        );
        let tasks = case.urgent.tasks as usize;
        let id = sim.submit(case.urgent);
        sim.run(BOUND_MS);
        let wanted = if case.starts { tasks } else { 0 };
        assert_eq!(sim.running(id), wanted, "{}", case.name);
        let stops = sim.actions(|a| matches!(a, Action::Stop { .. }));
        assert_eq!(stops, case.checkpoints, "{}", case.name);
        let throttles = sim.actions(|a| matches!(a, Action::Throttle { .. }));
        assert_eq!(throttles > 0, case.throttled, "{}", case.name);
    }
}

/// Guards against checkpointing tasks for an urgent gang that cannot start anyway.
#[test]
fn nothing_is_preempted_for_a_gang_that_cannot_start() {
    let mut sim = Simulation::new(&[("a", 1, UNLIMITED), ("b", 1, UNLIMITED)]);
    sim.behaviour = Box::new(|_, _, _| (None, Ok(())));
    sim.add(0, resources(4_000, 8_192, 0));
    let service = Job {
        class: Class::Service,
        tasks: 4,
        ..job("service", "a")
    };
    sim.submit(service);
    sim.add(1, resources(4_000, 8_192, 0));
    sim.submit(Job {
        tasks: 4,
        ..job("filler", "a")
    });
    let id = sim.submit(Job {
        class: Class::Gang,
        urgency: Urgency::Urgent,
        tasks: 2,
        need: resources(3_000, 1_024, 0),
        ..job("gang", "b")
    });
    sim.run(5_000);
    assert_eq!(sim.running(id), 0);
    let stops = sim.actions(|a| matches!(a, Action::Stop { .. }));
    assert_eq!(stops, 0);
}

/// Guards against tasks that stay throttled after the urgent task has ended.
#[test]
fn throttles_are_lifted_after_the_urgent_task() {
    let mut sim = Simulation::new(&[("a", 1, UNLIMITED), ("b", 1, UNLIMITED)]);
    sim.behaviour = Box::new(|_, task, _| {
        let urgent = task.urgency == Urgency::Urgent;
        (urgent.then_some(1_000), Ok(()))
    });
    sim.add(0, resources(4_000, 8_192, 0));
    sim.submit(Job {
        tasks: 4,
        ..job("filler", "a")
    });
    let id = sim.submit(Job {
        urgency: Urgency::Urgent,
        need: resources(2_000, 1_024, 0),
        ..job("urgent", "b")
    });
    assert_eq!(sim.running(id), 1);
    sim.run(3_000);
    assert!(sim.ended.contains_key(&id));
    let used = sim.workers.values().next().map(common::SimWorker::used);
    assert_eq!(used, Some(resources(4_000, 4_096, 0)));
}

/// Guards against a duplicate answer to a throttle that arrives after the throttle was lifted.
/// Taking it as current would free CPU in the books only and overcommit the worker.
#[test]
fn late_throttle_answer_frees_no_capacity() {
    let mut sim = Simulation::new(&[("a", 1, UNLIMITED), ("b", 1, UNLIMITED)]);
    sim.behaviour = Box::new(|_, task, _| {
        let urgent = task.urgency == Urgency::Urgent;
        (urgent.then_some(1_000), Ok(()))
    });
    sim.add(0, resources(4_000, 8_192, 0));
    sim.submit(Job {
        tasks: 4,
        ..job("filler", "a")
    });
    sim.submit(Job {
        urgency: Urgency::Urgent,
        ..job("urgent", "b")
    });
    sim.run(3_000);
    let answer = |a: &Action| match a {
        Action::Throttle { attempt, cpu, .. } => Some((*attempt, *cpu)),
        _ => None,
    };
    let sent: Vec<_> = sim.log.iter().filter_map(|(_, a)| answer(a)).collect();
    assert!(sent.len() >= 2, "{sent:?}");
    let (attempt, cpu) = sent[0];
    sim.event(zinnia_sched::Event::Throttled { attempt, cpu });
    let id = sim.submit(Job {
        need: resources(500, 512, 0),
        ..job("next", "b")
    });
    assert_eq!(sim.running(id), 0);
}

/// Guards against urgent tasks that exceed their team's allotment, or that wait although their own
/// team has preemptible tasks.
#[test]
fn urgent_tasks_stay_within_the_allotment() {
    let mut sim = Simulation::new(&[("a", 1, resources(2_000, 8_192, 0))]);
    sim.behaviour = Box::new(|_, _, _| (None, Ok(())));
    sim.add(0, resources(8_000, 16_384, 0));
    let filler = sim.submit(Job {
        tasks: 4,
        ..job("filler", "a")
    });
    assert_eq!(sim.running(filler), 2);
    let id = sim.submit(Job {
        urgency: Urgency::Urgent,
        ..job("urgent", "a")
    });
    sim.run(BOUND_MS);
    assert_eq!((sim.running(filler), sim.running(id)), (1, 1));
}
