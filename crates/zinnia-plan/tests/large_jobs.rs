//! Jobs with very many tasks. A member handles each of these in one go, under the lock of its state.

mod common;

use std::collections::BTreeSet;

use common::Simulation;
use common::document;
use common::incarnation;
use common::job;
use common::run_key;
use proptest::prelude::*;
use zinnia_plan::End;
use zinnia_plan::EndReason;
use zinnia_plan::Leader;
use zinnia_plan::LeaseTimes;
use zinnia_plan::OrderSettings;
use zinnia_plan::Record;
use zinnia_plan::Reply;
use zinnia_plan::Resources;
use zinnia_plan::Settings;
use zinnia_plan::Start;
use zinnia_plan::StartOutcome;
use zinnia_plan::State;
use zinnia_plan::Status;
use zinnia_plan::Step;
use zinnia_types::JobId;
use zinnia_types::Time;

/// Number of tasks. Work that grows with the square of it still ends, but takes minutes; with the cube it never does.
const TASKS: u32 = 20_000;
/// Number of starts in one entry of the log, but for those of a gang.
const MAX_STARTS: usize = 1_024;

fn large_step(count: u32) -> Step {
    Step {
        count,
        resources: Resources {
            cpu: 1,
            mem: 0,
            gpu: 0,
        },
        estimate_ms: 500,
        ..Step::default()
    }
}

/// A simulation with four workers that hold all tasks.
fn large_cell(step: Step) -> Simulation {
    let mut document = document(None);
    document.teams[0].cap = Resources::default();
    let mut sim = Simulation::new(document);
    for worker in ["a", "b", "c", "d"] {
        sim.add_worker(&incarnation(worker, u64::from(TASKS)));
    }
    sim.submit(job(vec![step]));
    sim
}

/// Guards against a job whose tasks are started, checked, reported or ended in more than linear time: while one
/// member handles them, it answers nothing and loses the lead.
#[test]
fn gang_of_very_many_members_runs() {
    let mut sim = large_cell(Step {
        gang: true,
        checkpoints: true,
        ..large_step(TASKS)
    });
    let orders = sim.start_tasks();
    assert_eq!(orders.len(), TASKS as usize);
    let clock_ms = sim.now + common::WORKER_CLOCK_LEAD_MS;
    for order in &orders {
        sim.start_answered(order, &StartOutcome::Accepted { clock_ms });
    }
    for percent in 10..15 {
        let plan = sim.plan_after(600);
        assert!(plan.stops.is_empty(), "all members are wanted");
        for poll in &plan.polls {
            let own = orders.iter().filter(|o| o.common.worker == poll.worker);
            let runs: Vec<_> = own.map(run_key).collect();
            sim.report_percent(poll, &runs, percent);
        }
    }
    for (reason, status) in [
        (EndReason::Stopped, Status::Open),
        (EndReason::Done, Status::Completed),
    ] {
        let orders = match reason {
            EndReason::Stopped => orders.clone(),
            _ => sim.start_tasks(),
        };
        assert_eq!(orders.len(), TASKS as usize, "{reason:?}");
        for worker in ["a", "b", "c", "d"] {
            let own = orders.iter().filter(|o| o.common.worker == worker);
            let previous = sim.state.workers[worker].acked_end;
            let ends = (previous + 1..).zip(own).map(|(number, order)| End {
                number,
                task: order.common.task,
                run: order.common.run,
                reason,
                checkpoint: format!("{number:016x}"),
            });
            let list: Vec<End> = ends.collect();
            sim.apply(Record::Ends {
                worker: worker.to_owned(),
                born: 1,
                upto: list.last().map_or(previous, |e| e.number),
                list,
            });
        }
        assert_eq!(sim.state.jobs[&JobId(1)].status, status, "{reason:?}");
    }
}

/// Guards against one entry with the starts of all tasks of a job, which each member decodes and applies in one go.
#[test]
fn starts_of_a_large_job_are_spread_over_entries() {
    let mut sim = large_cell(large_step(TASKS));
    let mut started = 0;
    while started < TASKS as usize {
        sim.now += 10;
        let count = sim.start_tasks().len();
        assert!(count > 0, "{started} of {TASKS} tasks have started");
        assert!(count <= MAX_STARTS, "{count} starts in one entry");
        started += count;
    }
}

/// Guards against a pass that walks all dependencies of a job for each of its steps that wait.
#[test]
fn steps_with_very_many_dependencies_wait() {
    const FIRST: usize = 2_000;
    const WAITING: usize = 4_000;
    let mut document = document(None);
    document.teams[0].cap = Resources::default();
    let mut sim = Simulation::new(document);
    sim.leader = Leader::new(
        Settings {
            order: OrderSettings {
                weighted: true,
                ..OrderSettings::default()
            },
            ..Settings::default()
        },
        1,
        &sim.state,
        &LeaseTimes::default(),
        Time(sim.now),
    );
    sim.add_worker(&incarnation("a", 10_000));
    let first = (0..FIRST).map(|_| large_step(1));
    let waiting = (0..WAITING).map(|_| Step {
        resources: Resources {
            cpu: 20_000,
            ..Resources::default()
        },
        depends_on: (0..FIRST).collect(),
        ..large_step(1)
    });
    sim.submit(job(first.chain(waiting).collect()));
    let mut number = 0;
    while number < FIRST as u64 {
        sim.now += 10;
        let orders = sim.start_tasks();
        assert!(!orders.is_empty(), "{number} of {FIRST} steps have started");
        for order in orders {
            number += 1;
            let (task, run) = run_key(&order);
            sim.end("a", number, task, run, EndReason::Done);
        }
    }
    for _ in 0..4 {
        let plan = sim.plan_after(60);
        let counts = plan.waiting.expect("the pass places tasks").counts;
        assert_eq!(counts.values().sum::<u64>(), WAITING as u64);
    }
}

/// Guards against a checkpoint of a gang that not all members resume from.
#[test]
fn checkpoint_of_one_member_counts_for_the_gang() {
    let mut sim = large_cell(Step {
        gang: true,
        ..large_step(3)
    });
    let orders = sim.start_tasks();
    let ends = (1..).zip(&orders).map(|(number, order)| End {
        number,
        task: order.common.task,
        run: order.common.run,
        reason: EndReason::Stopped,
        checkpoint: if number == 2 { "saved" } else { "" }.to_owned(),
    });
    let worker = orders[0].common.worker.clone();
    let list: Vec<End> = ends.collect();
    sim.apply(Record::Ends {
        worker,
        born: 1,
        upto: 3,
        list,
    });
    sim.now += 10;
    let checkpoints: Vec<String> = sim
        .start_tasks()
        .into_iter()
        .map(|o| o.checkpoint)
        .collect();
    assert_eq!(checkpoints, ["saved"; 3]);
}

/// Starts that the state allows, each compared with all others.
fn allowed_starts(state: &State, starts: &[Start], gang_size: usize) -> Vec<Start> {
    let may_start = |s: &Start| {
        let task = state.task(s.task);
        task.is_some_and(|t| t.worker.is_none() && s.run > t.run) && s.worker == "a" && s.born == 1
    };
    let mut seen = BTreeSet::new();
    let mut allowed = Vec::new();
    for start in starts.iter().filter(|s| may_start(s)) {
        let gang = starts
            .iter()
            .filter(|s| may_start(s) && s.run == start.run && s.task.step == 0);
        let members: BTreeSet<u32> = gang.map(|s| s.task.index).collect();
        let is_whole = start.task.step != 0 || members.len() == gang_size;
        if is_whole && seen.insert(start.task) {
            allowed.push(start.clone());
        }
    }
    allowed
}

proptest! {
    /// Guards against an entry of which a part of a gang is started, or of which members start different tasks.
    #[test]
    fn entry_starts_whole_gangs(
        drawn in prop::collection::vec((0..2_u32, 0..3_u32, 1..3_u32, 0..8_u32), 0..12),
    ) {
        const GANG: u32 = 3;
        let mut sim = Simulation::new(document(None));
        sim.add_worker(&incarnation("a", 1_000));
        let gang = Step { gang: true, ..large_step(GANG) };
        sim.submit(job(vec![gang, large_step(GANG)]));
        let starts: Vec<Start> = drawn
            .into_iter()
            .map(|(step, index, run, fault)| Start {
                task: (JobId(1), 0, step, index).into(),
                run,
                worker: if fault == 0 { "x" } else { "a" }.to_owned(),
                born: if fault == 1 { 2 } else { 1 },
            })
            .collect();
        let expected = allowed_starts(&sim.state, &starts, GANG as usize);
        let replies = sim.apply(Record::Start(starts));
        let Some(Reply::Started(accepted)) = replies.into_iter().next() else {
            panic!("the reply has the accepted starts");
        };
        prop_assert_eq!(accepted, expected);
    }
}
