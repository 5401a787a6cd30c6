//! Decisions of a leader about workers that answer late, not at all, or under a new leader.

#![expect(clippy::expect_used, reason = "a broken test world must stop the test")]

mod common;

use common::AHEAD;
use common::World;
use common::document;
use common::incarnation;
use common::job;
use common::step;
use common::task;
use zinnia_plan::Leader;
use zinnia_plan::Policy;
use zinnia_plan::Settings;
use zinnia_plan::StartOutcome;
use zinnia_types::Time;

fn running(order: &zinnia_plan::StartOrder) -> (zinnia_plan::TaskId, u32) {
    (order.common.task, order.common.run)
}

const POLICY: Policy = Policy {
    base_ms: 100.0,
    worker_ms: 1.0,
    valid_ms: 1_500,
};

/// A world with one worker and one task at work on it.
fn at_work() -> (World, zinnia_plan::StartOrder) {
    let mut world = World::new(document(None));
    world.meet(&incarnation("w", 4_000));
    world.submit(job(vec![step(1, 1_000)]));
    let order = world.place().pop().expect("the task is placed");
    let clock_ms = world.now + AHEAD;
    world.outcome(&order, &StartOutcome::Accepted { clock_ms });
    (world, order)
}

/// Guards against a new leader that gives up the runs of a worker right after its first answer,
/// which carried no deadline of its own.
#[test]
fn a_new_leader_keeps_runs() {
    let (mut world, order) = at_work();
    world.now += 500;
    world.leader = Leader::new(Settings::default(), 2, Time(world.now));
    let poll = world.plan().polls.remove(0);
    world.now += 10;
    world.report(&poll, &[running(&order)], Vec::new());
    let plan = world.plan();
    assert_eq!(plan.records, [], "nothing has lapsed");
    assert!(world.state.task(task(0)).unwrap().worker.is_some());
}

/// Guards against tasks of a dead worker that are never started elsewhere, because each unanswered
/// question counted as a renewal of its lease; and against starting them before it has run out.
#[test]
fn a_silent_worker_lapses() {
    let (mut world, _) = at_work();
    let settings = Settings::default();
    let began = world.now;
    let mut lapsed = None;
    while lapsed.is_none() && world.now < began + 60_000 {
        world.now += 100;
        let plan = world.plan();
        for poll in &plan.polls {
            world.silent(poll);
        }
        for record in plan.records {
            world.apply(record);
            lapsed = Some(world.now - began);
        }
    }
    let after = lapsed.expect("the runs of a silent worker are given up");
    assert!(
        after > settings.lease_ms,
        "{after} ms: the lease may still run"
    );
    assert!(
        after < settings.lease_ms * 5 / 4 + settings.poll_wait_ms * 2,
        "{after} ms: long after the lease ran out"
    );
    assert!(world.state.task(task(0)).unwrap().worker.is_none());
}

/// Guards against a start on a draining worker by a leader that has not heard its announcement.
#[test]
fn a_new_leader_starts_nothing_on_a_draining_worker() {
    let mut world = World::new(document(None));
    let w = incarnation("w", 4_000);
    world.meet(&w);
    world.heartbeat(&w, 2, true);
    world.leader = Leader::new(Settings::default(), 2, Time(world.now));
    let poll = world.plan().polls.remove(0);
    world.report(&poll, &[], Vec::new());
    world.submit(job(vec![step(1, 1_000)]));
    assert!(world.place().is_empty());
}

/// Guards against a task that runs twice, because an order without an answer was taken to be lost.
#[test]
fn an_order_without_answer() {
    struct Case {
        name: &'static str,
        /// Whether the worker lists the run when asked with the raised token.
        listed: bool,
        assigned: bool,
    }
    let cases = [
        Case {
            name: "carried out",
            listed: true,
            assigned: true,
        },
        Case {
            name: "certain not to be carried out",
            listed: false,
            assigned: false,
        },
    ];
    for case in cases {
        let mut world = World::new(document(None));
        world.meet(&incarnation("w", 4_000));
        world.submit(job(vec![step(1, 1_000)]));
        let order = world.place().pop().expect("the task is placed");
        world.now += 900;
        world.outcome(&order, &StartOutcome::Unknown);
        assert!(
            world.state.task(task(0)).unwrap().worker.is_some(),
            "{}",
            case.name
        );
        world.now += 10;
        let mut plan = world.plan();
        assert!(
            plan.starts.is_empty(),
            "{}: no second start meanwhile",
            case.name
        );
        let poll = plan.polls.pop().expect("the worker is asked at once");
        assert!(
            poll.fence > order.common.fence,
            "{}: the token is raised",
            case.name
        );
        let list = if case.listed {
            vec![running(&order)]
        } else {
            Vec::new()
        };
        world.report(&poll, &list, Vec::new());
        let assigned = world.state.task(task(0)).unwrap().worker.is_some();
        assert_eq!(assigned, case.assigned, "{}", case.name);
    }
}

/// Guards against tickets that count from the question and have run out when a slow answer comes.
#[test]
fn a_ticket_counts_from_the_answer() {
    let mut world = World::new(document(Some(POLICY)));
    world.meet(&incarnation("w", 4_000));
    world.submit(job(vec![step(1, 1_000)]));
    let mut plan = world.plan();
    assert!(plan.starts.is_empty(), "no start without a ticket");
    let query = plan.queries.pop().expect("the policy is asked");
    world.now += 2_400;
    world.heartbeat(&incarnation("w", 4_000), 2, false);
    let granted = vec![("w".to_owned(), "ticket".to_owned())];
    world
        .leader
        .policy_answered(&query, Some(granted), Time(world.now));
    let orders = world.place();
    assert_eq!(orders.len(), 1);
    assert_eq!(orders[0].ticket, "ticket");
}

/// Guards against questions that overtake more urgent ones in the queue of the policy.
#[test]
fn questions_wait_for_their_turn() {
    let mut world = World::new(document(Some(POLICY)));
    world.meet(&incarnation("w", 4_000));
    world.submit(job(vec![step(1, 1_000)]));
    let wall = i64::try_from(world.now).unwrap();
    let plan = world
        .leader
        .plan(&world.state, true, 0, Time(world.now), wall);
    assert!(plan.queries.is_empty());
    assert_eq!(world.plan().queries.len(), 1);
}

/// Guards against starts over a worker's capacity, a team's limit or a step's bound for a worker.
#[test]
fn room_is_kept() {
    struct Case {
        name: &'static str,
        count: u32,
        per_worker: u32,
        cap: u64,
        started: usize,
    }
    let cases = [
        Case {
            name: "capacity",
            count: 9,
            per_worker: 0,
            cap: 0,
            started: 4,
        },
        Case {
            name: "bound for a worker",
            count: 9,
            per_worker: 2,
            cap: 0,
            started: 2,
        },
        Case {
            name: "limit of the team",
            count: 9,
            per_worker: 0,
            cap: 3_500,
            started: 3,
        },
    ];
    for case in cases {
        let mut doc = document(None);
        doc.teams[0].cap.cpu = case.cap;
        let mut world = World::new(doc);
        world.meet(&incarnation("w", 4_000));
        world.submit(job(vec![zinnia_plan::Step {
            per_worker: case.per_worker,
            ..step(case.count, 1_000)
        }]));
        assert_eq!(world.place().len(), case.started, "{}", case.name);
        assert_eq!(world.place().len(), 0, "{}: again", case.name);
    }
}

/// Guards against members of a gang that start while there is no room for all of them.
#[test]
fn a_gang_starts_as_a_whole() {
    let gang = |count| zinnia_plan::Step {
        gang: true,
        ..step(count, 1_000)
    };
    let mut world = World::new(document(None));
    world.meet(&incarnation("w", 4_000));
    world.submit(job(vec![gang(5)]));
    assert_eq!(world.place().len(), 0);
    world.meet(&incarnation("v", 4_000));
    assert_eq!(world.place().len(), 5);
}

/// Guards against a step that learns of its workers one by one, and against tickets that are asked
/// for where there is no room.
#[test]
fn a_question_names_all_workers() {
    let mut world = World::new(document(Some(POLICY)));
    for name in ["a", "b", "c"] {
        world.meet(&incarnation(name, 1_000));
    }
    world.submit(job(vec![step(2, 1_000)]));
    let query = world.plan().queries.pop().expect("the policy is asked");
    assert_eq!(query.workers.len(), 3);
    let granted = vec![("b".to_owned(), "ticket".to_owned())];
    world
        .leader
        .policy_answered(&query, Some(granted), Time(world.now));
    assert_eq!(world.place().len(), 1);
    let plan = world.plan();
    assert!(plan.queries.is_empty(), "the only worker has no room");
}

/// Guards against a gang that never starts, because smaller tasks take each bit of room first.
#[test]
fn room_is_kept_for_a_gang() {
    let mut world = World::new(document(None));
    world.meet(&incarnation("w", 4_000));
    world.submit_to("quick", 2, job(vec![step(1, 1_000)]));
    assert_eq!(world.place().len(), 1);
    world.submit(job(vec![zinnia_plan::Step {
        gang: true,
        ..step(4, 1_000)
    }]));
    world.now += 600;
    world.heartbeat(&incarnation("w", 4_000), 2, false);
    world.submit_to("quick", 3, job(vec![step(1, 1_000)]));
    assert!(world.place().is_empty(), "the room is kept for the gang");
}

/// Guards against a gang that keeps whole workers from other jobs when it needs a part of them.
#[test]
fn a_gang_keeps_what_it_needs() {
    let mut world = World::new(document(None));
    for name in ["w", "v"] {
        world.meet(&incarnation(name, 8_000));
    }
    world.submit_to("quick", 2, job(vec![step(1, 6_000)]));
    assert_eq!(world.place().len(), 1);
    let gang = zinnia_plan::Step {
        gang: true,
        per_worker: 1,
        ..step(2, 3_000)
    };
    world.submit_to("quick", 3, job(vec![gang]));
    world.now += 600;
    for name in ["w", "v"] {
        world.heartbeat(&incarnation(name, 8_000), 2, false);
    }
    world.submit_to("quick", 4, job(vec![step(9, 1_000)]));
    let orders = world.place();
    let started: Vec<u32> = orders.iter().map(|o| o.common.task.index).collect();
    assert_eq!(started, [0, 1, 2, 3, 4], "all but the room of the gang");
}

/// Guards against patient queues that starve, because they leave room to queues that are not
/// urgent; and against ones that leave none to a burst of urgent jobs.
#[test]
fn patient_queues_leave_room_to_urgent_ones() {
    struct Case {
        name: &'static str,
        priority: u32,
        started: usize,
    }
    let cases = [
        Case {
            name: "urgent",
            priority: 0,
            started: 0,
        },
        Case {
            name: "not urgent",
            priority: 1,
            started: 1,
        },
    ];
    for case in cases {
        let mut doc = document(None);
        doc.queues[0].priority = 2;
        doc.queues.push(zinnia_plan::Queue {
            name: "other".to_owned(),
            prefix: "/o/".to_owned(),
            priority: case.priority,
            ..doc.queues[0].clone()
        });
        let mut world = World::new(doc);
        world.meet(&incarnation("w", 10_000));
        world.submit_to("other", 2, job(vec![step(1, 9_000)]));
        assert_eq!(world.place().len(), 1, "{}", case.name);
        world.submit(job(vec![step(1, 1_000)]));
        assert_eq!(world.place().len(), case.started, "{}", case.name);
    }
}

/// Guards against a job that hangs on a worker which answers but makes no progress, and against
/// stopping runs that wait for a good reason.
#[test]
fn a_run_without_progress_is_stopped() {
    struct Case {
        name: &'static str,
        step: zinnia_plan::Step,
        percent: fn(u64) -> u64,
        stopped: bool,
    }
    let cases = [
        Case {
            name: "stands still",
            step: step(1, 1_000),
            percent: |_| 10,
            stopped: true,
        },
        Case {
            name: "goes on slowly",
            step: step(1, 1_000),
            percent: |round| 10 + round,
            stopped: false,
        },
        Case {
            name: "at work",
            step: zinnia_plan::Step {
                long_running: true,
                ..step(1, 1_000)
            },
            percent: |_| 100,
            stopped: false,
        },
        Case {
            name: "waits for room",
            step: zinnia_plan::Step {
                best_effort: true,
                ..step(1, 1_000)
            },
            percent: |_| 10,
            stopped: false,
        },
    ];
    for case in cases {
        let mut world = World::new(document(None));
        world.meet(&incarnation("w", 4_000));
        world.submit(job(vec![case.step]));
        let order = world.place().pop().expect("the task is placed");
        let clock_ms = world.now + AHEAD;
        world.outcome(&order, &StartOutcome::Accepted { clock_ms });
        let mut stops = 0;
        for round in 0..10 {
            world.now += 500;
            let plan = world.plan();
            stops += plan.stops.len();
            for poll in plan.polls {
                world.report_percent(&poll, &[running(&order)], (case.percent)(round));
            }
        }
        assert_eq!(stops > 0, case.stopped, "{}: {stops} stops", case.name);
    }
}

/// Guards against a task that runs twice, because an order to a worker's earlier life was carried
/// out by a new life under the same name; and against a worker that is asked with a token lower
/// than one that it has seen.
#[test]
fn an_order_reaches_a_new_life() {
    struct Case {
        name: &'static str,
        listed: bool,
    }
    let cases = [
        Case {
            name: "carried out by the new life",
            listed: true,
        },
        Case {
            name: "carried out by the earlier life",
            listed: false,
        },
    ];
    for case in cases {
        let (mut world, order) = at_work();
        world.outcome(&order, &StartOutcome::Unknown);
        world.meet(&incarnation("v", 4_000));
        let reborn = zinnia_plan::Incarnation {
            born: 2,
            ..incarnation("w", 4_000)
        };
        world.heartbeat(&reborn, 1, false);
        let mut plan = world.plan();
        assert_eq!(plan.starts, [], "{}: no second run meanwhile", case.name);
        let at = plan.polls.iter().position(|h| h.worker == "w");
        let poll = plan.polls.remove(at.expect("the new life is asked"));
        assert_eq!(poll.born, 2, "{}", case.name);
        assert!(poll.fence > order.common.fence + 1, "{}", case.name);
        assert_eq!(poll.acked_end, 0, "{}", case.name);
        let list = if case.listed {
            vec![running(&order)]
        } else {
            Vec::new()
        };
        world.report(&poll, &list, Vec::new());
        assert_eq!(world.place().is_empty(), case.listed, "{}", case.name);
    }
}

/// Guards against a gang that never starts, because its tickets run out while it waits for room and
/// the room that is kept for it keeps it from asking for new ones.
#[test]
fn a_gang_renews_its_tickets() {
    let mut doc = document(Some(POLICY));
    doc.queues.push(zinnia_plan::Queue {
        name: "plain".to_owned(),
        prefix: "/p/".to_owned(),
        policy: None,
        priority: 1,
        ..doc.queues[0].clone()
    });
    let mut world = World::new(doc);
    for name in ["a", "b"] {
        world.meet(&incarnation(name, 1_000));
    }
    world.submit_to("plain", 2, job(vec![step(1, 1_000)]));
    let busy = world.place().pop().expect("the first job is placed");
    world.submit(job(vec![zinnia_plan::Step {
        gang: true,
        ..step(2, 1_000)
    }]));
    let granted = || {
        let row = |w: &str| (w.to_owned(), "ticket".to_owned());
        Some(["a", "b"].map(row).to_vec())
    };
    let query = world.plan().queries.pop().expect("the policy is asked");
    world
        .leader
        .policy_answered(&query, granted(), Time(world.now));
    assert!(world.place().is_empty(), "one worker is busy");
    world.now += 2_000;
    let end = zinnia_plan::End {
        number: 1,
        task: busy.common.task,
        run: busy.common.run,
        reason: zinnia_plan::EndReason::Done,
        checkpoint: String::new(),
    };
    world.apply(zinnia_plan::Record::Ends {
        worker: busy.common.worker,
        born: busy.common.born,
        upto: 1,
        list: vec![end],
    });
    for name in ["a", "b"] {
        world.heartbeat(&incarnation(name, 1_000), 2, false);
    }
    world.submit_to("plain", 3, job(vec![step(1, 1_000)]));
    let mut plan = world.plan();
    assert_eq!(plan.starts, [], "the room is kept for the gang");
    let query = plan.queries.pop().expect("the policy is asked again");
    assert_eq!(query.workers.len(), 2);
    world
        .leader
        .policy_answered(&query, granted(), Time(world.now));
    assert_eq!(world.place().len(), 2, "the gang starts");
}

/// Guards against a job that is held up by the loss of any failure domain, because its tasks are
/// spread over all of them.
#[test]
fn a_job_stays_in_one_domain() {
    let mut world = World::new(document(None));
    for n in 0..12 {
        let domain = format!("z{}", n % 3);
        let incarnation = zinnia_plan::Incarnation {
            domain,
            ..incarnation(&format!("w{n:02}"), 1_000)
        };
        world.meet(&incarnation);
    }
    let mut first = std::collections::BTreeSet::new();
    for id in 1..=3 {
        world.submit_to("quick", id, job(vec![step(4, 1_000)]));
        let orders = world.place();
        assert_eq!(orders.len(), 4);
        let domain = |o: &zinnia_plan::StartOrder| {
            let worker = &world.state.workers[&o.common.worker];
            worker.incarnation.domain.clone()
        };
        let used: std::collections::BTreeSet<String> = orders.iter().map(domain).collect();
        assert_eq!(used.len(), 1, "job {id}: {used:?}");
        first.extend(used);
    }
    assert_eq!(first.len(), 3, "jobs begin with different domains");
}
