//! Placement of waiting tasks: capacity, limits, headroom and queries to the policy.

mod common;

use common::Simulation;
use common::document;
use common::incarnation;
use common::job;
use common::step;
use zinnia_plan::Policy;
use zinnia_plan::QueryBudget;
use zinnia_plan::Step;
use zinnia_plan::WaitReason;
use zinnia_types::Time;

const POLICY: Policy = Policy {
    base_ms: 100.0,
    worker_ms: 1.0,
    valid_ms: 1_500,
};

/// Guards against tickets whose validity counts from the query, so that they have expired when a
/// slow answer arrives.
#[test]
fn ticket_validity_counts_from_answer() {
    let mut sim = Simulation::new(document(Some(POLICY)));
    sim.add_worker(&incarnation("w", 4_000));
    sim.submit(job(vec![step(1, 1_000)]));
    let mut plan = sim.plan();
    assert!(plan.starts.is_empty(), "no start without a ticket");
    let query = plan.queries.pop().expect("the policy is queried");
    sim.now += 2_400;
    sim.heartbeat(&incarnation("w", 4_000), 2, false);
    let granted = vec![("w".to_owned(), "ticket".to_owned())];
    sim.leader
        .policy_answered(&query, Some(granted), Time(sim.now));
    let orders = sim.start_tasks();
    assert_eq!(orders.len(), 1);
    assert_eq!(orders[0].ticket, "ticket");
}

/// Guards against queries that overtake more urgent ones in the queue of the policy, and against
/// urgent ones that wait because others use all processes that send queries.
#[test]
fn queries_respect_policy_budget() {
    struct Case {
        name: &'static str,
        priority: u32,
        free_ms: u64,
        queries: usize,
    }
    let cases = [
        Case {
            name: "urgent, nothing free",
            priority: 0,
            free_ms: 0,
            queries: 0,
        },
        Case {
            name: "urgent, little free",
            priority: 0,
            free_ms: 100,
            queries: 1,
        },
        Case {
            name: "not urgent, little free",
            priority: 1,
            free_ms: 100,
            queries: 0,
        },
        Case {
            name: "not urgent, half free",
            priority: 1,
            free_ms: 500,
            queries: 1,
        },
    ];
    for case in cases {
        let mut doc = document(Some(POLICY));
        doc.queues[0].priority = case.priority;
        let mut sim = Simulation::new(doc);
        sim.add_worker(&incarnation("w", 4_000));
        sim.submit(job(vec![step(1, 1_000)]));
        let budget = QueryBudget {
            free_ms: case.free_ms,
            total_ms: 1_000,
        };
        let wall = i64::try_from(sim.now).unwrap();
        let plan = sim
            .leader
            .plan(&sim.state, true, budget, Time(sim.now), wall);
        assert_eq!(plan.queries.len(), case.queries, "{}", case.name);
        assert_eq!(plan.starts, [], "{}", case.name);
    }
}

/// Guards against starts beyond the capacity of a worker, the limit of a team or the maximum number
/// of tasks per worker.
#[test]
fn starts_respect_resource_limits() {
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
            name: "tasks per worker",
            count: 9,
            per_worker: 2,
            cap: 0,
            started: 2,
        },
        Case {
            name: "team limit",
            count: 9,
            per_worker: 0,
            cap: 3_500,
            started: 3,
        },
    ];
    for case in cases {
        let mut doc = document(None);
        doc.teams[0].cap.cpu = case.cap;
        let mut sim = Simulation::new(doc);
        sim.add_worker(&incarnation("w", 4_000));
        sim.submit(job(vec![zinnia_plan::Step {
            per_worker: case.per_worker,
            ..step(case.count, 1_000)
        }]));
        assert_eq!(sim.start_tasks().len(), case.started, "{}", case.name);
        assert_eq!(sim.start_tasks().len(), 0, "{}: second pass", case.name);
    }
}

/// Guards against queries that include the workers of a step one by one, and against queries for
/// tickets of workers without free resources.
#[test]
fn query_includes_all_eligible_workers() {
    let mut sim = Simulation::new(document(Some(POLICY)));
    for name in ["a", "b", "c"] {
        sim.add_worker(&incarnation(name, 1_000));
    }
    sim.submit(job(vec![step(2, 1_000)]));
    let query = sim.plan().queries.pop().expect("the policy is queried");
    assert_eq!(query.workers.len(), 3);
    let granted = vec![("b".to_owned(), "ticket".to_owned())];
    sim.leader
        .policy_answered(&query, Some(granted), Time(sim.now));
    assert_eq!(sim.start_tasks().len(), 1);
    let plan = sim.plan();
    assert!(
        plan.queries.is_empty(),
        "the only allowed worker has no free resources"
    );
}

/// Guards against low-priority queues that never run because they leave headroom to queues that are
/// not urgent, and against ones that leave no headroom for a burst of urgent jobs. Tasks that are to last
/// leave none, or they would not run again while the pool is busy.
#[test]
fn low_priority_queues_leave_headroom_for_urgent_ones() {
    struct Case {
        name: &'static str,
        priority: u32,
        long_running: bool,
        started: usize,
    }
    let cases = [
        Case {
            name: "urgent",
            priority: 0,
            long_running: false,
            started: 0,
        },
        Case {
            name: "not urgent",
            priority: 1,
            long_running: false,
            started: 1,
        },
        Case {
            name: "urgent, beside a task that is to last",
            priority: 0,
            long_running: true,
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
        let mut sim = Simulation::new(doc);
        sim.add_worker(&incarnation("w", 10_000));
        sim.submit_to("other", 2, job(vec![step(1, 9_000)]));
        assert_eq!(sim.start_tasks().len(), 1, "{}", case.name);
        sim.submit(job(vec![Step {
            long_running: case.long_running,
            ..step(1, 1_000)
        }]));
        assert_eq!(sim.start_tasks().len(), case.started, "{}", case.name);
    }
}

/// Guards against a job that the loss of any failure domain delays because its tasks are spread
/// over all domains.
#[test]
fn tasks_of_a_job_share_a_failure_domain() {
    let mut sim = Simulation::new(document(None));
    for n in 0..12 {
        let domain = format!("z{}", n % 3);
        let incarnation = zinnia_plan::Incarnation {
            domain,
            ..incarnation(&format!("w{n:02}"), 1_000)
        };
        sim.add_worker(&incarnation);
    }
    let mut used_domains = std::collections::BTreeSet::new();
    for id in 1..=3 {
        sim.submit_to("quick", id, job(vec![step(4, 1_000)]));
        let orders = sim.start_tasks();
        assert_eq!(orders.len(), 4);
        let domain = |o: &zinnia_plan::StartOrder| {
            let worker = &sim.state.workers[&o.common.worker];
            worker.incarnation.domain.clone()
        };
        let used: std::collections::BTreeSet<String> = orders.iter().map(domain).collect();
        assert_eq!(used.len(), 1, "job {id}: {used:?}");
        used_domains.extend(used);
    }
    assert_eq!(used_domains.len(), 3, "jobs start with different domains");
}

/// Guards against a task that never starts because tickets are renewed for workers that can take no
/// further task of the step, while the workers that could are never queried.
#[test]
fn undecided_workers_are_queried_before_useless_renewals() {
    let mut sim = Simulation::new(document(Some(POLICY)));
    let names: Vec<String> = (0..31).map(|n| format!("w{n:02}")).collect();
    for name in &names {
        sim.add_worker(&incarnation(name, 4_000));
    }
    sim.submit(job(vec![zinnia_plan::Step {
        per_worker: 1,
        ..step(2, 1_000)
    }]));
    let query = sim.plan().queries.pop().expect("the policy is queried");
    assert_eq!(query.workers, names[..30]);
    let granted = vec![("w00".to_owned(), "ticket".to_owned())];
    sim.leader
        .policy_answered(&query, Some(granted), Time(sim.now));
    let mut plan = sim.plan();
    assert_eq!(plan.starts.len(), 1, "one worker may run one task");
    sim.start(plan.starts);
    let failed = plan.queries.pop().expect("the policy is queried again");
    assert_eq!(failed.workers, names[30..]);
    sim.leader.policy_answered(&failed, None, Time(sim.now));
    sim.now += POLICY.valid_ms;
    let query = sim
        .plan()
        .queries
        .pop()
        .expect("the policy is queried after the failure");
    assert_eq!(query.workers, names[30..]);
}

/// Guards against urgent jobs that wait although much of the pool is free, because tasks of low
/// priority use the whole limit of their team.
#[test]
fn low_priority_tasks_leave_headroom_in_the_team_limit() {
    struct Case {
        name: &'static str,
        urgent_before: bool,
        waited_ms: u64,
        started: usize,
    }
    let cases = [
        Case {
            name: "no urgent jobs",
            urgent_before: false,
            waited_ms: 0,
            started: 10,
        },
        Case {
            name: "urgent jobs",
            urgent_before: true,
            waited_ms: 0,
            started: 9,
        },
        Case {
            name: "urgent jobs long ago",
            urgent_before: true,
            waited_ms: 60_000,
            started: 10,
        },
    ];
    for case in cases {
        let mut doc = document(None);
        doc.queues.push(zinnia_plan::Queue {
            name: "later".to_owned(),
            prefix: "/l/".to_owned(),
            priority: 2,
            ..doc.queues[0].clone()
        });
        doc.teams[0].cap.cpu = 10_000;
        let mut sim = Simulation::new(doc);
        sim.add_worker(&incarnation("w", 100_000));
        if case.urgent_before {
            sim.submit(job(vec![step(1, 1_000)]));
            sim.now += 100;
            let order = sim.start_tasks().pop().expect("the urgent job starts");
            let key = order.common;
            sim.end("w", 1, key.task, key.run, zinnia_plan::EndReason::Done);
        }
        sim.now += case.waited_ms;
        sim.heartbeat(&incarnation("w", 100_000), 2, false);
        let single_tasks = (2..22).map(|id| (id, job(vec![step(1, 1_000)])));
        for (id, spec) in single_tasks {
            sim.submit_to("later", id, spec);
        }
        assert_eq!(sim.start_tasks().len(), case.started, "{}", case.name);
    }
}

/// Guards against urgent jobs whose tasks are spread over so many workers that the fault of a single
/// one delays most jobs, and against other jobs that take the room of large tasks.
#[test]
fn urgent_job_uses_few_workers() {
    struct Case {
        name: &'static str,
        priority: u32,
        workers: &'static [&'static str],
    }
    let cases = [
        Case {
            name: "urgent",
            priority: 0,
            workers: &["empty"],
        },
        Case {
            name: "not urgent",
            priority: 1,
            workers: &["busy-0", "busy-1", "busy-2"],
        },
    ];
    for case in cases {
        let mut doc = document(None);
        doc.queues[0].priority = case.priority;
        doc.queues.push(zinnia_plan::Queue {
            name: "labelled".to_owned(),
            prefix: "/l/".to_owned(),
            ..doc.queues[0].clone()
        });
        let mut sim = Simulation::new(doc);
        for name in ["busy-0", "busy-1", "busy-2", "empty"] {
            sim.add_worker(&zinnia_plan::Incarnation {
                labels: vec![name[..4].to_owned(), "r1".to_owned()],
                ..incarnation(name, 4_000)
            });
        }
        let filler = zinnia_plan::Step {
            label: "busy".to_owned(),
            per_worker: 1,
            ..step(3, 3_000)
        };
        sim.submit_to("labelled", 2, job(vec![filler]));
        assert_eq!(sim.start_tasks().len(), 3, "{}", case.name);
        sim.submit(job(vec![step(3, 1_000)]));
        let orders = sim.start_tasks();
        let mut workers: Vec<_> = orders.iter().map(|o| o.common.worker.as_str()).collect();
        workers.sort_unstable();
        workers.dedup();
        assert_eq!(workers, case.workers, "{}", case.name);
    }
}

/// Guards against waiting steps of which nobody can tell what they wait for.
#[test]
fn waiting_steps_have_a_reason() {
    struct Case {
        name: &'static str,
        cap: u64,
        worker_cpu: u64,
        /// Processor time that a task takes which was started before.
        busy_cpu: u64,
        policy: Option<Policy>,
        reason: Option<WaitReason>,
    }
    let cases = [
        Case {
            name: "starts",
            cap: 0,
            worker_cpu: 4_000,
            busy_cpu: 0,
            policy: None,
            reason: None,
        },
        Case {
            name: "team limit",
            cap: 3_000,
            worker_cpu: 4_000,
            busy_cpu: 1_500,
            policy: None,
            reason: Some(WaitReason::TeamLimit),
        },
        Case {
            name: "a team limit that never allows it",
            cap: 1_000,
            worker_cpu: 4_000,
            busy_cpu: 0,
            policy: None,
            reason: Some(WaitReason::Infeasible),
        },
        Case {
            name: "no worker has enough free resources",
            cap: 0,
            worker_cpu: 3_000,
            busy_cpu: 1_500,
            policy: None,
            reason: Some(WaitReason::Capacity),
        },
        Case {
            name: "no worker is large enough",
            cap: 0,
            worker_cpu: 1_000,
            busy_cpu: 0,
            policy: None,
            reason: Some(WaitReason::Infeasible),
        },
        Case {
            name: "the policy is queried",
            cap: 0,
            worker_cpu: 4_000,
            busy_cpu: 0,
            policy: Some(POLICY),
            reason: Some(WaitReason::OpenQuery),
        },
    ];
    for case in cases {
        let mut doc = document(case.policy);
        doc.teams[0].cap.cpu = case.cap;
        let mut sim = Simulation::new(doc);
        sim.add_worker(&incarnation("w", case.worker_cpu));
        if case.busy_cpu > 0 {
            sim.submit_to("quick", 2, job(vec![step(1, case.busy_cpu)]));
            assert_eq!(sim.start_tasks().len(), 1, "{}", case.name);
        }
        sim.submit(job(vec![step(1, 2_000)]));
        let waiting = sim.plan().waiting.expect("the pass may start tasks");
        let oldest = waiting.oldest.map(|o| o.reason);
        assert_eq!(oldest, case.reason, "{}", case.name);
        let steps: u64 = waiting.counts.values().sum();
        assert_eq!(steps, u64::from(case.reason.is_some()), "{}", case.name);
    }
}
