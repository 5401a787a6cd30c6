//! Placement of gangs, with and without tickets of the policy.

mod common;

use common::Simulation;
use common::document;
use common::incarnation;
use common::job;
use common::step;
use zinnia_plan::Policy;
use zinnia_plan::PolicyQuery;
use zinnia_types::Time;

const POLICY: Policy = Policy {
    base_ms: 100.0,
    worker_ms: 1.0,
    valid_ms: 1_500,
};

/// Guards against a gang of which some members start while there are not enough resources for all.
#[test]
fn gang_starts_as_a_whole() {
    let gang = |count| zinnia_plan::Step {
        gang: true,
        ..step(count, 1_000)
    };
    let mut sim = Simulation::new(document(None));
    sim.add_worker(&incarnation("w", 4_000));
    sim.submit(job(vec![gang(5)]));
    assert_eq!(sim.start_tasks().len(), 0);
    sim.add_worker(&incarnation("v", 4_000));
    assert_eq!(sim.start_tasks().len(), 5);
}

/// Guards against a gang that never starts because smaller tasks take all resources that become
/// free.
#[test]
fn resources_are_reserved_for_waiting_gang() {
    let mut sim = Simulation::new(document(None));
    sim.add_worker(&incarnation("w", 4_000));
    sim.submit_to("quick", 2, job(vec![step(1, 1_000)]));
    assert_eq!(sim.start_tasks().len(), 1);
    sim.submit(job(vec![zinnia_plan::Step {
        gang: true,
        ..step(4, 1_000)
    }]));
    sim.now += 600;
    sim.heartbeat(&incarnation("w", 4_000), 2, false);
    sim.submit_to("quick", 3, job(vec![step(1, 1_000)]));
    assert!(
        sim.start_tasks().is_empty(),
        "the resources are reserved for the gang"
    );
}

/// Guards against a gang that reserves whole workers when it needs only part of their resources.
#[test]
fn gang_reserves_only_its_demand() {
    let mut sim = Simulation::new(document(None));
    for name in ["w", "v"] {
        sim.add_worker(&incarnation(name, 8_000));
    }
    sim.submit_to("quick", 2, job(vec![step(1, 6_000)]));
    assert_eq!(sim.start_tasks().len(), 1);
    let gang = zinnia_plan::Step {
        gang: true,
        per_worker: 1,
        ..step(2, 3_000)
    };
    sim.submit_to("quick", 3, job(vec![gang]));
    sim.now += 600;
    for name in ["w", "v"] {
        sim.heartbeat(&incarnation(name, 8_000), 2, false);
    }
    sim.submit_to("quick", 4, job(vec![step(9, 1_000)]));
    let orders = sim.start_tasks();
    let started: Vec<u32> = orders.iter().map(|o| o.common.task.index).collect();
    assert_eq!(
        started,
        [0, 1, 2, 3, 4],
        "the tasks use all resources that are not reserved"
    );
}

/// Guards against a gang that never starts: its tickets expire while it waits for resources, and
/// its own reservation prevents new queries.
#[test]
fn waiting_gang_renews_its_tickets() {
    let mut doc = document(Some(POLICY));
    doc.queues.push(zinnia_plan::Queue {
        name: "plain".to_owned(),
        prefix: "/p/".to_owned(),
        policy: None,
        priority: 1,
        ..doc.queues[0].clone()
    });
    let mut sim = Simulation::new(doc);
    for name in ["a", "b"] {
        sim.add_worker(&incarnation(name, 1_000));
    }
    sim.submit_to("plain", 2, job(vec![step(1, 1_000)]));
    let busy = sim.start_tasks().pop().expect("the first job is started");
    sim.submit(job(vec![zinnia_plan::Step {
        gang: true,
        ..step(2, 1_000)
    }]));
    let granted = || {
        let row = |w: &str| (w.to_owned(), "ticket".to_owned());
        Some(["a", "b"].map(row).to_vec())
    };
    let query = sim.plan().queries.pop().expect("the policy is queried");
    sim.leader.policy_answered(&query, granted(), Time(sim.now));
    assert!(sim.start_tasks().is_empty(), "one worker is busy");
    sim.now += 2_000;
    let end = zinnia_plan::End {
        number: 1,
        task: busy.common.task,
        run: busy.common.run,
        reason: zinnia_plan::EndReason::Done,
        checkpoint: String::new(),
    };
    sim.apply(zinnia_plan::Record::Ends {
        worker: busy.common.worker,
        born: busy.common.born,
        upto: 1,
        list: vec![end],
    });
    for name in ["a", "b"] {
        sim.heartbeat(&incarnation(name, 1_000), 2, false);
    }
    sim.submit_to("plain", 3, job(vec![step(1, 1_000)]));
    let mut plan = sim.plan();
    assert_eq!(plan.starts, [], "the resources are reserved for the gang");
    let query = plan.queries.pop().expect("the policy is queried again");
    assert_eq!(query.workers.len(), 2);
    sim.leader.policy_answered(&query, granted(), Time(sim.now));
    assert_eq!(sim.start_tasks().len(), 2, "the gang starts");
}

/// A document with a second queue, whose jobs need no tickets.
fn document_with_plain_queue() -> zinnia_plan::Document {
    let mut doc = document(Some(POLICY));
    doc.queues.push(zinnia_plan::Queue {
        name: "plain".to_owned(),
        prefix: "/p/".to_owned(),
        policy: None,
        ..doc.queues[0].clone()
    });
    doc
}

/// Answers a query: the policy allows the workers for which `allows` is true.
fn answer(sim: &mut Simulation, query: &PolicyQuery, allows: impl Fn(&str) -> bool) {
    let allowed = query.workers.iter().filter(|w| allows(w));
    let tickets = allowed.map(|w| (w.clone(), "ticket".to_owned())).collect();
    sim.leader
        .policy_answered(query, Some(tickets), Time(sim.now));
}

fn gang(count: u32, cpu: u64) -> zinnia_plan::Step {
    zinnia_plan::Step {
        gang: true,
        ..step(count, cpu)
    }
}

/// Guards against a gang that starts late because the policy is queried about its workers one part
/// after the other.
#[test]
fn policy_is_queried_about_all_workers_of_a_gang_at_once() {
    let mut sim = Simulation::new(document(Some(POLICY)));
    let names: Vec<String> = (0..70).map(|n| format!("w{n:02}")).collect();
    for name in &names {
        sim.add_worker(&incarnation(name, 4_000));
    }
    sim.submit(job(vec![gang(5, 4_000)]));
    let queries = sim.plan().queries;
    let mut queried: Vec<_> = queries.iter().flat_map(|q| q.workers.clone()).collect();
    queried.sort_unstable();
    assert_eq!(queried, names);
    assert!(queries.iter().all(|q| q.workers.len() <= 30));
    assert_eq!(sim.plan().queries, [], "no worker is queried twice");
    for query in &queries {
        answer(&mut sim, query, |w| w.ends_with('7'));
    }
    assert_eq!(sim.start_tasks().len(), 5);
}

/// Guards against a gang that never starts: while the policy is queried about the chosen workers,
/// other workers become free, and the gang would choose those and need tickets again.
#[test]
fn gang_keeps_the_workers_that_it_waits_for() {
    let mut sim = Simulation::new(document_with_plain_queue());
    for (name, rack) in [("a", "r1"), ("b", "r1"), ("c", "r2"), ("d", "r2")] {
        sim.add_worker(&zinnia_plan::Incarnation {
            labels: vec!["a".to_owned(), rack.to_owned()],
            ..incarnation(name, 1_000)
        });
    }
    sim.submit_to("plain", 2, job(vec![step(4, 1_000)]));
    let busy = sim.start_tasks();
    assert_eq!(busy.len(), 4);
    let same_rack = zinnia_plan::Step {
        same_rack: true,
        ..gang(2, 1_000)
    };
    sim.submit(job(vec![same_rack]));
    let query = sim.plan().queries.pop().expect("the policy is queried");
    answer(&mut sim, &query, |_| true);
    sim.now += POLICY.valid_ms;
    for name in ["a", "b", "c", "d"] {
        sim.heartbeat(&incarnation(name, 1_000), 2, false);
    }
    let release = |sim: &mut Simulation, rack: [&str; 2]| {
        let ended = busy.iter().map(|o| &o.common);
        for run in ended.filter(|o| rack.contains(&o.worker.as_str())) {
            let done = zinnia_plan::EndReason::Done;
            sim.end(&run.worker, 1, run.task, run.run, done);
        }
    };
    release(&mut sim, ["c", "d"]);
    let query = sim.plan().queries.pop().expect("tickets are renewed");
    release(&mut sim, ["a", "b"]);
    assert_eq!(sim.plan().starts, [], "the tickets are not there yet");
    answer(&mut sim, &query, |_| true);
    assert_eq!(sim.start_tasks().len(), 2, "the gang starts");
}

/// Guards against a gang that waits for the policy once more when its workers become free, because
/// its tickets have expired meanwhile.
#[test]
fn waiting_gang_keeps_its_tickets_valid() {
    let mut sim = Simulation::new(document_with_plain_queue());
    for name in ["a", "b"] {
        sim.add_worker(&incarnation(name, 1_000));
    }
    sim.submit_to("plain", 2, job(vec![step(1, 1_000)]));
    let busy = sim.start_tasks().pop().expect("the first job is started");
    sim.submit(job(vec![gang(2, 1_000)]));
    let mut open: Vec<(u64, PolicyQuery)> = Vec::new();
    for sequence in 2..60 {
        let (due, later) = open.into_iter().partition(|(at, _)| *at <= sim.now);
        open = later;
        let due: Vec<(u64, PolicyQuery)> = due;
        for (_, query) in due {
            answer(&mut sim, &query, |_| true);
        }
        for name in ["a", "b"] {
            sim.heartbeat(&incarnation(name, 1_000), sequence, false);
        }
        let plan = sim.plan();
        assert_eq!(plan.starts, [], "one worker is busy");
        let answers = plan.queries.into_iter().map(|q| (sim.now + q.cost_ms, q));
        open.extend(answers);
        sim.now += 100;
    }
    let run = busy.common;
    sim.end(
        &run.worker,
        1,
        run.task,
        run.run,
        zinnia_plan::EndReason::Done,
    );
    assert_eq!(sim.start_tasks().len(), 2, "the gang starts at once");
}
