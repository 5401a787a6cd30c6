//! How the cost of one job grows with its number of tasks.
//!
//! `cargo run --release -p zinnia-plan --example large_jobs` prints a table for docs/CAPACITY.md: the time of each
//! operation that a member carries out in one go, for a gang and for tasks that start one by one.

#![expect(clippy::expect_used, reason = "the example stops if its setup fails")]

use std::time::Duration;
use std::time::Instant;

use zinnia_plan::ActiveRun;
use zinnia_plan::Batch;
use zinnia_plan::Document;
use zinnia_plan::End;
use zinnia_plan::EndReason;
use zinnia_plan::Heartbeat;
use zinnia_plan::Incarnation;
use zinnia_plan::JobSpec;
use zinnia_plan::Leader;
use zinnia_plan::LeaseTimes;
use zinnia_plan::Plan;
use zinnia_plan::Poll;
use zinnia_plan::Pool;
use zinnia_plan::QueryBudget;
use zinnia_plan::Queue;
use zinnia_plan::Record;
use zinnia_plan::Reply;
use zinnia_plan::Report;
use zinnia_plan::Resources;
use zinnia_plan::Settings;
use zinnia_plan::Start;
use zinnia_plan::StartOutcome;
use zinnia_plan::State;
use zinnia_plan::Step;
use zinnia_types::JobId;
use zinnia_types::Time;

/// Number of workers, as in the smallest deployment.
const WORKERS: usize = 48;
/// Number of tasks of the job.
const SIZES: [u32; 4] = [100, 1_000, 10_000, 100_000];
/// Most ends in one answer of a worker.
const MAX_ENDS: usize = 500;
/// Interval between two passes.
const PASS_MS: u64 = 60;

/// A leader and the state that it has applied.
struct Cell {
    state: State,
    leader: Leader,
    now: u64,
}

/// Time of each operation; the longest one where there are several of a kind.
#[derive(Default)]
struct Costs {
    submit: Duration,
    pass: Duration,
    encode: Duration,
    apply: Duration,
    orders: Duration,
    report: Duration,
    check: Duration,
    ends: Duration,
    snapshot: Duration,
    restore: Duration,
}

fn timed<T>(longest: &mut Duration, operation: impl FnOnce() -> T) -> T {
    let started = Instant::now();
    let result = operation();
    *longest = (*longest).max(started.elapsed());
    result
}

fn document() -> Document {
    Document {
        version: 1,
        queues: vec![Queue {
            name: "plan".to_owned(),
            prefix: "/plan/".to_owned(),
            pool: "desk".to_owned(),
            max_attempts: 3,
            ..Queue::default()
        }],
        pools: vec![Pool {
            name: "desk".to_owned(),
            ..Pool::default()
        }],
        ..Document::default()
    }
}

impl Cell {
    fn new() -> Self {
        let (state, times) = (State::default(), LeaseTimes::default());
        let leader = Leader::new(Settings::default(), 1, &state, &times, Time(1_000));
        let mut cell = Self {
            state,
            leader,
            now: 1_000,
        };
        cell.apply(Record::Document {
            raw: "raw".to_owned(),
            document: document(),
        });
        for n in 0..WORKERS {
            let heartbeat = Heartbeat {
                incarnation: Incarnation {
                    worker: format!("i-{n:08}"),
                    born: 1,
                    addr: format!("10.0.0.{n}:80"),
                    pool: "desk".to_owned(),
                    domain: format!("z{}", n % 3),
                    resources: Resources {
                        cpu: 64_000,
                        mem: 128_000,
                        gpu: 0,
                    },
                    labels: vec!["kind".to_owned(), format!("r{}", n / 5)],
                },
                sequence: 1,
                clock_ms: cell.now,
                ..Heartbeat::default()
            };
            for record in cell
                .leader
                .heartbeat(&cell.state, &heartbeat, Time(cell.now))
            {
                cell.apply(record);
            }
        }
        let plan = cell.plan();
        for poll in &plan.polls {
            cell.answer(poll, Vec::new());
        }
        cell
    }

    fn apply(&mut self, record: Record) -> Vec<Reply> {
        let batch = Batch {
            at_ms: i64::try_from(self.now).expect("the time is short"),
            lease_bound: Some(self.leader.lease_bound_ms(Time(self.now))),
            records: vec![record],
            ..Batch::default()
        };
        self.state.apply(&batch)
    }

    fn plan(&mut self) -> Plan {
        self.now += PASS_MS;
        let wall_ms = i64::try_from(self.now).expect("the time is short");
        let budget = QueryBudget::default();
        self.leader
            .plan(&self.state, true, budget, Time(self.now), wall_ms)
    }

    fn answer(&mut self, poll: &Poll, running: Vec<ActiveRun>) -> Vec<Record> {
        let report = Report {
            born: Some(poll.born),
            clock_ms: self.now,
            running,
            ..Report::default()
        };
        self.leader
            .poll_answered(&self.state, poll, Some(&report), Time(self.now))
    }
}

fn run_of(start: &Start) -> ActiveRun {
    ActiveRun {
        task: start.task,
        run: start.run,
        checkpoint: String::new(),
        percent: 50,
        load: 0,
    }
}

/// Takes a job through its life.
fn measure(count: u32, gang: bool) -> Costs {
    let mut costs = Costs::default();
    let mut cell = Cell::new();
    let step = Step {
        count,
        resources: Resources {
            cpu: 10,
            mem: 1,
            gpu: 0,
        },
        estimate_ms: 500,
        gang,
        ..Step::default()
    };
    let submit = Record::Submit {
        id: JobId(1),
        queue: "plan".to_owned(),
        route: None,
        team: String::new(),
        spec: JobSpec {
            text: "x".repeat(4_000),
            steps: vec![step],
            repeat: None,
        },
    };
    timed(&mut costs.submit, || cell.apply(submit));
    let mut running: Vec<Start> = Vec::new();
    while running.len() < count as usize {
        let plan = timed(&mut costs.pass, || cell.plan());
        assert!(!plan.starts.is_empty(), "no task starts");
        let record = Record::Start(plan.starts);
        let text = timed(&mut costs.encode, || serde_json::to_string(&record));
        let text = text.expect("the record can be encoded");
        let replies = timed(&mut costs.apply, || {
            let record = serde_json::from_str(&text).expect("the record can be decoded");
            cell.apply(record)
        });
        let Some(Reply::Started(starts)) = replies.into_iter().next() else {
            continue;
        };
        let now = Time(cell.now);
        let orders = timed(&mut costs.orders, || {
            let prepare = |s| cell.leader.prepare_start(&cell.state, s, now);
            starts.iter().filter_map(prepare).collect::<Vec<_>>()
        });
        for order in &orders {
            let clock_ms = cell.now;
            let outcome = StartOutcome::Accepted { clock_ms };
            cell.leader.start_answered(&order.common, &outcome, now);
        }
        running.extend(starts);
    }
    cell.now += 2_000;
    let plan = timed(&mut costs.check, || cell.plan());
    for poll in &plan.polls {
        let own = running.iter().filter(|s| s.worker == poll.worker);
        let runs: Vec<ActiveRun> = own.map(run_of).collect();
        timed(&mut costs.report, || cell.answer(poll, runs));
    }
    timed(&mut costs.check, || cell.plan());
    let text = timed(&mut costs.snapshot, || serde_json::to_string(&cell.state));
    let text = text.expect("the state can be encoded");
    let restored: Result<State, _> = timed(&mut costs.restore, || serde_json::from_str(&text));
    restored.expect("the state can be decoded");
    running.sort_by(|a, b| a.worker.cmp(&b.worker));
    for own in running.chunk_by(|a, b| a.worker == b.worker) {
        for part in own.chunks(MAX_ENDS) {
            let previous = cell.state.workers[&part[0].worker].acked_end;
            let ends = (previous + 1..).zip(part).map(|(number, start)| End {
                number,
                task: start.task,
                run: start.run,
                reason: EndReason::Done,
                checkpoint: format!("{number:016x}"),
            });
            let list: Vec<End> = ends.collect();
            let record = Record::Ends {
                worker: part[0].worker.clone(),
                born: 1,
                upto: list.last().map_or(previous, |e| e.number),
                list,
            };
            timed(&mut costs.ends, || cell.apply(record));
        }
    }
    costs
}

fn main() {
    println!(
        "| tasks | kind | submit | pass | encode | apply | orders | report | check | ends | snapshot | restore |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|");
    for gang in [true, false] {
        for count in SIZES {
            let costs = measure(count, gang);
            let kind = if gang { "gang" } else { "tasks" };
            let times = [
                costs.submit,
                costs.pass,
                costs.encode,
                costs.apply,
                costs.orders,
                costs.report,
                costs.check,
                costs.ends,
                costs.snapshot,
                costs.restore,
            ];
            let cells: Vec<String> = times
                .iter()
                .map(|t| format!("{:.2}", t.as_secs_f64() * 1e3))
                .collect();
            println!("| {count} | {kind} | {} |", cells.join(" | "));
        }
    }
}
