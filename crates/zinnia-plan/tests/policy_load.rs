//! Plays a load of gangs and of low-priority jobs that all need tickets of a slow policy, and checks
//! how long they wait for their start.

mod common;

use std::collections::BTreeMap;

use common::Simulation;
use common::document;
use common::incarnation;
use common::job;
use common::step;
use zinnia_plan::ActiveRun;
use zinnia_plan::End;
use zinnia_plan::EndReason;
use zinnia_plan::Policy;
use zinnia_plan::PolicyQuery;
use zinnia_plan::QueryBudget;
use zinnia_plan::Queue;
use zinnia_plan::Record;
use zinnia_plan::RunOrder;
use zinnia_plan::Step;
use zinnia_types::JobId;
use zinnia_types::Time;

/// Number of processes that send queries; the policy handles those of one process in turn.
const CLIENTS: u64 = 20;
/// Policy time of a process in open queries above which it gets no further one.
const CLIENT_LOAD_MS: u64 = 300;
const WORKERS: u64 = 150;
const RUN_MS: u64 = 2_000;
const TICK_MS: u64 = 50;
const PLAY_MS: u64 = 15_000;
/// One worker in this number may run a step.
const GRANT_DIVISOR: u64 = 3;

const SLOW_POLICY: Policy = Policy {
    base_ms: 430.0,
    worker_ms: 6.0,
    valid_ms: 2_000,
};

const FAST_POLICY: Policy = Policy {
    base_ms: 100.0,
    worker_ms: 1.0,
    valid_ms: 2_000,
};

fn queue(name: &str, priority: u32, policy: Policy) -> Queue {
    Queue {
        name: name.to_owned(),
        prefix: format!("/{name}/"),
        priority,
        policy: Some(policy),
        max_slowdown: 4.0,
        allowance_ms: 60_000,
        ..document(None).queues[0].clone()
    }
}

/// Load of a play, per second.
struct Load {
    gangs: u64,
    batches: u64,
}

struct Play {
    sim: Simulation,
    /// Number of jobs submitted so far.
    jobs: u64,
    /// Queue and time of submission of jobs that have not started.
    submitted: BTreeMap<JobId, (&'static str, u64)>,
    /// Waiting times until the first start in milliseconds, by queue.
    waits: BTreeMap<&'static str, Vec<u64>>,
    running: Vec<(u64, RunOrder)>,
    queries: Vec<(u64, PolicyQuery)>,
    ends: BTreeMap<String, u64>,
}

impl Play {
    fn new() -> Self {
        let mut doc = document(None);
        doc.queues.push(queue("gangs", 1, SLOW_POLICY));
        doc.queues.push(queue("batches", 2, FAST_POLICY));
        let mut sim = Simulation::new(doc);
        for n in 0..WORKERS {
            sim.add_worker(&incarnation(&format!("w{n:03}"), 8_000));
        }
        Self {
            sim,
            jobs: 0,
            submitted: BTreeMap::new(),
            waits: BTreeMap::new(),
            running: Vec::new(),
            queries: Vec::new(),
            ends: BTreeMap::new(),
        }
    }

    fn submit(&mut self, name: &'static str, spec: Step) {
        self.jobs += 1;
        let id = self.jobs;
        let estimated = Step {
            estimate_ms: RUN_MS,
            ..spec
        };
        self.sim.submit_to(name, id, job(vec![estimated]));
        self.submitted.insert(JobId(id), (name, self.sim.now));
    }

    fn budget(&self) -> QueryBudget {
        let total_ms = CLIENTS * CLIENT_LOAD_MS;
        let open = self.queries.len() as u64;
        QueryBudget {
            free_ms: CLIENTS.saturating_sub(open) * CLIENT_LOAD_MS,
            total_ms,
        }
    }

    fn end_due_runs(&mut self) {
        let now = self.sim.now;
        let (due, later) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.running = later;
        let due: Vec<(u64, RunOrder)> = due;
        for (_, run) in due {
            let number = self.ends.entry(run.worker.clone()).or_default();
            *number += 1;
            let end = End {
                number: *number,
                task: run.task,
                run: run.run,
                reason: EndReason::Done,
                checkpoint: String::new(),
            };
            self.sim.apply(Record::Ends {
                worker: run.worker,
                born: run.born,
                upto: end.number,
                list: vec![end],
            });
        }
    }

    fn answer_due_queries(&mut self) {
        let now = self.sim.now;
        let (due, later) = std::mem::take(&mut self.queries)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.queries = later;
        let due: Vec<(u64, PolicyQuery)> = due;
        for (_, query) in due {
            let seed = query.step.job.0;
            let allows = |w: &&String| {
                let number: u64 = w[1..].parse().unwrap_or(0);
                (number * 7 + seed).is_multiple_of(GRANT_DIVISOR)
            };
            let allowed = query.workers.iter().filter(allows);
            let tickets = allowed.map(|w| (w.clone(), "ticket".to_owned())).collect();
            self.sim
                .leader
                .policy_answered(&query, Some(tickets), Time(now));
        }
    }

    fn tick(&mut self) {
        let now = self.sim.now;
        self.end_due_runs();
        self.answer_due_queries();
        if now.is_multiple_of(1_000) {
            for n in 0..WORKERS {
                let worker = incarnation(&format!("w{n:03}"), 8_000);
                self.sim.heartbeat(&worker, now, false);
            }
        }
        let budget = self.budget();
        let wall = i64::try_from(now).unwrap_or(i64::MAX);
        let leader = &mut self.sim.leader;
        let plan = leader.plan(&self.sim.state, true, budget, Time(now), wall);
        let answers = plan.queries.into_iter().map(|q| (now + q.cost_ms, q));
        self.queries.extend(answers);
        for order in self.sim.start(plan.starts) {
            if let Some((name, at)) = self.submitted.remove(&order.common.task.job) {
                self.waits.entry(name).or_default().push(now - at);
            }
            self.running.push((now + RUN_MS, order.common));
        }
        for poll in plan.polls {
            let mut report = self.sim.running_report(&poll, &[], 0);
            let on_worker = self.running.iter().filter(|(_, r)| r.worker == poll.worker);
            report.running.extend(on_worker.map(|(due, run)| ActiveRun {
                task: run.task,
                run: run.run,
                checkpoint: String::new(),
                percent: 100 - due.saturating_sub(now) * 100 / RUN_MS,
                load: 0,
            }));
            self.sim.report_arrived(&poll, &report);
        }
        self.sim.now += TICK_MS;
    }

    fn run(mut self, load: &Load) -> BTreeMap<&'static str, Vec<u64>> {
        let end = self.sim.now + PLAY_MS;
        while self.sim.now < end {
            if self.sim.now.is_multiple_of(1_000) {
                for _ in 0..load.gangs {
                    let members = Step {
                        gang: true,
                        ..step(8, 2_000)
                    };
                    self.submit("gangs", members);
                }
                for _ in 0..load.batches {
                    self.submit("batches", step(4, 1_000));
                }
            }
            self.tick();
        }
        self.waits
    }
}

/// Guards against gangs whose queries about many workers use all the time of the policy, so that
/// steps of low priority are never queried and never start.
#[test]
fn all_queues_start_within_seconds() {
    struct Case {
        name: &'static str,
        load: Load,
        /// Longest wait of nine in ten jobs in milliseconds.
        limit_ms: u64,
    }
    let cases = [
        Case {
            name: "few gangs",
            load: Load {
                gangs: 1,
                batches: 4,
            },
            limit_ms: 1_500,
        },
        Case {
            name: "as many gangs as the policy can decide on",
            load: Load {
                gangs: 6,
                batches: 8,
            },
            limit_ms: 3_000,
        },
    ];
    for case in cases {
        let waits = Play::new().run(&case.load);
        for (queue, per_second) in [("gangs", case.load.gangs), ("batches", case.load.batches)] {
            let mut started = waits.get(queue).cloned().unwrap_or_default();
            started.sort_unstable();
            let expected = per_second * (PLAY_MS - case.limit_ms) / 1_000;
            let count = started.len() as u64;
            let late = started.get(started.len() * 9 / 10).copied();
            assert!(
                count >= expected,
                "{}: {count} of {queue} start, not {expected}; waits {started:?}",
                case.name
            );
            assert!(
                late.is_some_and(|ms| ms <= case.limit_ms),
                "{}: {queue} wait {started:?}",
                case.name
            );
        }
    }
}
