//! Tasks that crash the workers on which they start.

mod common;

use common::Simulation;
use common::document;
use common::incarnation;
use common::job;
use common::step;
use common::task;
use zinnia_plan::Incarnation;
use zinnia_plan::Record;
use zinnia_plan::Start;
use zinnia_plan::State;
use zinnia_plan::Status;
use zinnia_plan::Step;
use zinnia_plan::TaskId;
use zinnia_types::JobId;

/// Time from the start of a deadly task until the next incarnation of its worker registers.
const RETURN_MS: u64 = 4_000;

/// The incarnation of a worker with this start time.
fn reborn(worker: &str, born: i64) -> Incarnation {
    Incarnation {
        born,
        ..incarnation(worker, 64_000)
    }
}

/// Record that registers an incarnation.
fn register(incarnation: Incarnation) -> Record {
    Record::AddIncarnation {
        incarnation,
        sequence: 1,
    }
}

fn status(sim: &Simulation, id: u64) -> Status {
    sim.state.jobs[&JobId(id)].status
}

fn start(id: TaskId, run: u32, worker: &str, born: i64) -> Start {
    Start {
        task: id,
        run,
        worker: worker.to_owned(),
        born,
    }
}

fn release(sim: &mut Simulation, runs: &[(TaskId, u32)]) {
    let list = runs.iter().map(|&(id, run)| (id, run, String::new()));
    sim.apply(Record::Release(list.collect()));
}

/// Guards against a job that is given up because its start orders reached no worker: workers that had
/// crashed before refuse them, and return later.
#[test]
fn refused_starts_on_crashed_workers_are_no_crashes() {
    let mut sim = Simulation::new(document(None));
    let workers = ["u", "v", "w"];
    for worker in workers {
        sim.apply(register(reborn(worker, 1)));
    }
    sim.submit(job(vec![step(1, 1_000)]));
    for (run, worker) in (1..).zip(workers) {
        sim.apply(Record::Start(vec![start(task(0), run, worker, 1)]));
        sim.now += 150;
        release(&mut sim, &[(task(0), run)]);
    }
    for worker in workers {
        sim.now += 1_000;
        sim.apply(register(reborn(worker, 2)));
    }
    assert_eq!(status(&sim, 1), Status::Open);
}

/// Guards against a task that takes one worker after the other out of use: it is started again
/// however often its worker crashes.
#[test]
fn deadly_tasks_are_given_up_at_the_third_crash() {
    struct Case {
        name: &'static str,
        step: Step,
        /// What happens between each start and the return of the worker.
        before_return: fn(&mut Simulation),
    }
    let cases = [
        Case {
            name: "plain task",
            step: step(1, 1_000),
            before_return: |_| {},
        },
        Case {
            name: "best-effort task",
            step: Step {
                best_effort: true,
                ..step(1, 1_000)
            },
            before_return: |_| {},
        },
        Case {
            name: "long-running task",
            step: Step {
                long_running: true,
                ..step(1, 1_000)
            },
            before_return: |_| {},
        },
        Case {
            name: "gang",
            step: Step {
                gang: true,
                ..step(2, 1_000)
            },
            before_return: |_| {},
        },
        Case {
            name: "the leader changes",
            step: step(1, 1_000),
            before_return: |sim| sim.change_leader(2),
        },
        Case {
            name: "the leases expire before the worker returns",
            step: step(1, 1_000),
            before_return: |sim| {
                sim.wait_for_release().expect("the leases expire");
            },
        },
        Case {
            name: "the leader changes and the leases expire",
            step: step(1, 1_000),
            before_return: |sim| {
                sim.change_leader(2);
                sim.wait_for_release().expect("the leases expire");
                sim.change_leader(3);
            },
        },
    ];
    for case in cases {
        let mut sim = Simulation::new(document(None));
        sim.add_worker(&reborn("w", 1));
        sim.submit(job(vec![case.step.clone()]));
        for crashes in 1..=3 {
            let orders = sim.start_tasks();
            let expected = case.step.count as usize;
            assert_eq!(orders.len(), expected, "{}: start {crashes}", case.name);
            (case.before_return)(&mut sim);
            sim.now += RETURN_MS;
            sim.add_worker(&reborn("w", 1 + crashes));
            let failed = status(&sim, 1) == Status::Failed;
            assert_eq!(failed, crashes == 3, "{}: crash {crashes}", case.name);
        }
        assert!(sim.start_tasks().is_empty(), "{}", case.name);
        let job = &sim.state.jobs[&JobId(1)];
        assert_eq!((job.assigned, job.rounds.len()), (0, 0), "{}", case.name);
    }
}

/// Guards against a job that is shown as failed after fewer crashes of its workers than it may have failed runs.
#[test]
fn jobs_are_not_given_up_before_all_attempts() {
    struct Case {
        max_attempts: u32,
        crashes: i64,
    }
    let case = |max_attempts, crashes| Case {
        max_attempts,
        crashes,
    };
    for case in [case(1, 3), case(3, 3), case(4, 4), case(6, 6)] {
        let mut doc = document(None);
        doc.queues[0].max_attempts = case.max_attempts;
        let mut sim = Simulation::new(doc);
        sim.add_worker(&reborn("w", 1));
        sim.submit(job(vec![step(1, 1_000)]));
        for crashes in 1..=case.crashes {
            assert_eq!(sim.start_tasks().len(), 1, "{}", case.max_attempts);
            sim.now += RETURN_MS;
            sim.add_worker(&reborn("w", 1 + crashes));
            let failed = status(&sim, 1) == Status::Failed;
            let expected = crashes == case.crashes;
            assert_eq!(failed, expected, "{}: {crashes}", case.max_attempts);
        }
    }
}

/// Guards against a deadly task that is started once more after its third crash, since the worker of
/// an earlier run returns only then.
#[test]
fn crashes_count_in_any_order() {
    let mut sim = Simulation::new(document(None));
    sim.submit(job(vec![step(1, 1_000)]));
    for (run, worker) in (1..).zip(["a", "b", "c"]) {
        sim.apply(register(reborn(worker, 1)));
        sim.apply(Record::Start(vec![start(task(0), run, worker, 1)]));
        sim.now += RETURN_MS;
        release(&mut sim, &[(task(0), run)]);
    }
    for worker in ["c", "a", "b"] {
        assert_eq!(status(&sim, 1), Status::Open, "before {worker} returns");
        sim.apply(register(reborn(worker, 2)));
    }
    assert_eq!(status(&sim, 1), Status::Failed);
}

/// Guards against a worker that returns under another name at the same address, whose crash does not
/// count. The crash is known once the new worker has answered a poll of the earlier one.
#[test]
fn crashes_of_renamed_workers_count() {
    let mut sim = Simulation::new(document(None));
    sim.submit(job(vec![step(1, 1_000)]));
    let named = |born: i64| Incarnation {
        addr: "w:80".to_owned(),
        ..reborn(&format!("w{born}"), born)
    };
    sim.apply(register(named(1)));
    for run in 1..=3 {
        let born = i64::from(run);
        let worker = format!("w{born}");
        sim.apply(Record::Start(vec![start(task(0), run, &worker, born)]));
        sim.now += RETURN_MS;
        sim.apply(register(named(born + 1)));
        assert_eq!(status(&sim, 1), Status::Open, "a heartbeat shows no crash");
        sim.apply(Record::Replaced { worker, born });
    }
    assert_eq!(status(&sim, 1), Status::Failed);
}

/// Guards against jobs that are given up although their tasks crash no worker.
#[test]
fn other_ends_of_workers_are_no_crashes() {
    struct Case {
        name: &'static str,
        /// How the incarnation with this start time ends; the task is assigned to it.
        end: fn(&mut Simulation, i64, u32),
    }
    let cases = [
        Case {
            name: "orderly shutdown",
            end: |sim, born, _| {
                let worker = "w".to_owned();
                sim.apply(Record::EndIncarnation { worker, born });
            },
        },
        Case {
            name: "shutdown after a drain without a last message",
            end: |sim, born, run| {
                let worker = "w".to_owned();
                sim.apply(Record::Drain { worker, born });
                sim.apply(register(reborn("w", born + 1)));
                release(sim, &[(task(0), run)]);
            },
        },
        Case {
            name: "expired lease of a worker that goes on",
            end: |sim, born, run| {
                release(sim, &[(task(0), run)]);
                sim.apply(Record::Start(vec![start(task(0), run + 1, "w", born)]));
                sim.now += RETURN_MS;
                release(sim, &[(task(0), run + 1)]);
                let worker = "w".to_owned();
                sim.apply(Record::EndIncarnation { worker, born });
            },
        },
    ];
    for case in cases {
        let mut sim = Simulation::new(document(None));
        sim.submit(job(vec![step(1, 1_000)]));
        for round in 1..=4 {
            let (born, run) = (10 * i64::from(round), 10 * round);
            sim.apply(register(reborn("w", born)));
            sim.apply(Record::Start(vec![start(task(0), run, "w", born)]));
            assert!(sim.state.task(task(0)).is_some(), "{}", case.name);
            sim.now += RETURN_MS;
            (case.end)(&mut sim, born, run);
        }
        assert_eq!(status(&sim, 1), Status::Open, "{}", case.name);
    }
}

/// Guards against jobs that are given up because their tasks shared workers with a deadly one.
#[test]
fn tasks_that_ran_before_the_deadly_one_are_not_given_up() {
    let mut sim = Simulation::new(document(None));
    sim.submit(job(vec![step(1, 1_000)]));
    sim.submit_to("quick", 2, job(vec![step(1, 1_000)]));
    let deadly = TaskId {
        job: JobId(2),
        ..task(0)
    };
    for run in 1..=3 {
        let born = i64::from(run);
        sim.apply(register(reborn("w", born)));
        sim.apply(Record::Start(vec![start(task(0), run, "w", born)]));
        sim.now += 6_000;
        sim.apply(Record::Start(vec![start(deadly, run, "w", born)]));
        sim.now += RETURN_MS;
        sim.apply(register(reborn("w", born + 1)));
        release(&mut sim, &[(task(0), run), (deadly, run)]);
    }
    assert_eq!(status(&sim, 1), Status::Open);
    assert_eq!(status(&sim, 2), Status::Failed);
}

/// Guards against crashes that count although a later run of the task has shown that it is harmless.
#[test]
fn tasks_that_survive_are_no_suspects() {
    let mut sim = Simulation::new(document(None));
    sim.submit(job(vec![step(1, 1_000)]));
    let mut run = 0;
    for born in 1..=4 {
        sim.apply(register(reborn("w", born)));
        run += 1;
        sim.apply(Record::Start(vec![start(task(0), run, "w", born)]));
        sim.now += RETURN_MS;
        sim.apply(register(reborn("w", born + 1)));
        release(&mut sim, &[(task(0), run)]);
        if born == 2 {
            run += 1;
            sim.apply(Record::Start(vec![start(task(0), run, "w", born + 1)]));
            sim.now += 60_000;
            release(&mut sim, &[(task(0), run)]);
        }
    }
    assert_eq!(status(&sim, 1), Status::Open);
}

/// Guards against a gang that is given up after the loss of one rack: several members lose their
/// workers at once.
#[test]
fn crashes_under_one_run_of_a_gang_count_once() {
    let gang = Step {
        gang: true,
        ..step(3, 1_000)
    };
    let mut sim = Simulation::new(document(None));
    sim.submit(job(vec![gang]));
    let workers = ["a", "b", "c"];
    for worker in workers {
        sim.apply(register(reborn(worker, 1)));
    }
    let starts = (0..).zip(workers).map(|(i, w)| start(task(i), 1, w, 1));
    sim.apply(Record::Start(starts.collect()));
    sim.now += RETURN_MS;
    for worker in workers {
        sim.apply(register(reborn(worker, 2)));
    }
    assert_eq!(status(&sim, 1), Status::Open);
}

/// Guards against tasks that share workers although one of them may crash its worker: the next crash
/// would not tell which one does.
#[test]
fn suspects_do_not_share_workers() {
    let mut sim = Simulation::new(document(None));
    sim.add_worker(&reborn("a", 1));
    sim.submit(job(vec![step(2, 1_000)]));
    assert_eq!(sim.start_tasks().len(), 2);
    sim.now += RETURN_MS;
    sim.add_worker(&reborn("a", 2));
    for worker in ["b", "c"] {
        sim.add_worker(&reborn(worker, 1));
    }
    sim.heartbeat(&reborn("a", 2), 2, false);
    sim.submit_to("quick", 2, job(vec![step(1, 1_000)]));
    let mut used: Vec<String> = sim
        .start_tasks()
        .into_iter()
        .map(|order| order.common.worker)
        .collect();
    used.sort();
    assert_eq!(used, ["a", "b", "c"]);
}

/// Guards against snapshots of an earlier build, which know no crashes, that cannot be read.
#[test]
fn snapshots_without_crashes_are_read() {
    let mut sim = Simulation::new(document(None));
    sim.submit(job(vec![step(1, 1_000)]));
    sim.apply(register(reborn("w", 1)));
    sim.apply(Record::Start(vec![start(task(0), 1, "w", 1)]));
    let mut value = serde_json::to_value(&sim.state).unwrap();
    let removed = [
        value.as_object_mut().unwrap().remove("crashed"),
        value["workers"]["w"]
            .as_object_mut()
            .unwrap()
            .remove("last_start_ms"),
        value["jobs"][JobId(1).to_string()]["rounds"][0][0]["tasks"][0]
            .as_object_mut()
            .unwrap()
            .remove("b"),
    ];
    assert!(removed.iter().all(Option::is_some), "{removed:?}");
    let read: State = serde_json::from_value(value).unwrap();
    assert_eq!(read.task(task(0)).unwrap().run, 1);
    assert_eq!(read.jobs[&JobId(1)].assigned, 1);
}
