//! What arrives at the cell from outside: jobs, and heartbeats of workers.

use rand::Rng;
use zinnia_plan::Document;
use zinnia_plan::Heartbeat;
use zinnia_plan::Incarnation;
use zinnia_plan::JobSpec;
use zinnia_plan::LeaseChanges;
use zinnia_plan::Pool;
use zinnia_plan::Queue;
use zinnia_plan::Record;
use zinnia_plan::Resources;
use zinnia_plan::Step;
use zinnia_plan::TaskId;
use zinnia_plan::Team;
use zinnia_types::JobId;

use crate::network::Event;
use crate::network::MAX_DELAY_MS;
use crate::sim::Sim;
use crate::worker::WORKER_CPU;
use crate::worker::Work;

/// Demand of a task that is to last.
pub(crate) const LASTING_CPU: u64 = 2_000;
const SHORT_CPU: u64 = 400;
/// When no more short tasks are submitted, before the end.
const LAST_SUBMIT_MS: u64 = 3_000;

pub(crate) fn task_of(job: JobId) -> TaskId {
    TaskId {
        job,
        round: 0,
        step: 0,
        index: 0,
    }
}

pub(crate) fn lasting_jobs() -> impl Iterator<Item = JobId> {
    (1..=4).map(JobId)
}

fn document() -> Document {
    let queue = Queue {
        name: "quick".to_owned(),
        host: "a.example".to_owned(),
        prefix: "/q/".to_owned(),
        timeout_ms: 3_000,
        allowance_ms: 250,
        pool: "desk".to_owned(),
        max_attempts: 1_000,
        max_slowdown: 1.5,
        policy: None,
        ..Queue::default()
    };
    Document {
        version: 1,
        queues: vec![queue],
        pools: vec![Pool {
            name: "desk".to_owned(),
            enforces_capacity: true,
            ..Pool::default()
        }],
        teams: vec![Team {
            name: "kibo".to_owned(),
            keys: vec!["key".to_owned()],
            weight: 1,
            cap: Resources::default(),
        }],
        ..Document::default()
    }
}

impl Sim {
    /// A worker sends a heartbeat.
    pub(crate) fn beat(&mut self, i: usize) {
        let now = self.now;
        let pause_ms = self.rng.random_range(400..1_600);
        let machine = &mut self.machines[i];
        machine.next_beat = now + pause_ms;
        let Some(life) = &mut machine.life else {
            return;
        };
        life.sequence += 1;
        let heartbeat = Heartbeat {
            incarnation: Incarnation {
                worker: machine.name.clone(),
                born: life.born,
                addr: format!("10.0.0.{i}:80"),
                pool: "desk".to_owned(),
                domain: format!("z{}", i % 3),
                resources: Resources {
                    cpu: WORKER_CPU,
                    mem: 100_000,
                    gpu: 0,
                },
                labels: vec!["a".to_owned(), format!("r{i}")],
            },
            sequence: life.sequence,
            clock_ms: life.clock_ms(now),
            draining: machine.departure.is_some(),
            remaining_ms: None,
            cold_ms: 0,
        };
        if now < machine.cut_from && !machine.relayed {
            return;
        }
        let late_share = if self.is_troubled(i) { 0.05 } else { 0.002 };
        if self.rng.random_bool(late_share) {
            let at = now + self.rng.random_range(1..MAX_DELAY_MS);
            self.push(at, Event::Beat(heartbeat));
        } else if !self.receive_beat(&heartbeat) {
            self.machines[i].next_beat = now + pause_ms.min(150);
        } else if let Some(departure) = &mut self.machines[i].departure {
            departure.drain_answered(now);
        }
    }

    /// A heartbeat arrives at the leader. Returns false if there is none.
    pub(crate) fn receive_beat(&mut self, heartbeat: &Heartbeat) -> bool {
        let now = self.now;
        let Some(member) = self.cell.acting(now) else {
            return false;
        };
        let m = &mut self.cell.members[member];
        let clock = m.clock(now);
        let Some(leader) = m.leader.as_mut() else {
            return false;
        };
        let records = leader.heartbeat(&m.state, heartbeat, clock);
        if !records.is_empty() {
            self.cell
                .propose(member, records, LeaseChanges::default(), now);
        }
        true
    }

    pub(crate) fn submit(&mut self) {
        let now = self.now;
        if now < self.next_submit {
            return;
        }
        let Some(member) = self.cell.acting(now) else {
            return;
        };
        let mut records = Vec::new();
        if self.works.is_empty() {
            records.push(Record::Document {
                raw: "raw".to_owned(),
                document: document(),
            });
            for id in lasting_jobs() {
                let work = Work {
                    cpu: LASTING_CPU,
                    work_ms: None,
                };
                records.push(self.new_job(id, work));
            }
        } else {
            let id = JobId(100 + self.works.len() as u64);
            let work = Work {
                cpu: SHORT_CPU,
                work_ms: Some(self.rng.random_range(100..self.schedule.longest_ms)),
            };
            if !self.submit_by_caller(id, work) {
                records.push(self.new_job(id, work));
            }
        }
        if !records.is_empty() {
            self.cell
                .propose(member, records, LeaseChanges::default(), now);
        }
        let goes_on = now + LAST_SUBMIT_MS < self.schedule.end;
        self.next_submit = match goes_on {
            true => now + self.schedule.submit_ms,
            false => u64::MAX,
        };
    }

    pub(crate) fn new_job(&mut self, id: JobId, work: Work) -> Record {
        self.works.insert(id, work);
        let step = Step {
            count: 1,
            resources: Resources {
                cpu: work.cpu,
                mem: 10,
                gpu: 0,
            },
            estimate_ms: work.work_ms.unwrap_or(60_000),
            long_running: work.work_ms.is_none(),
            ..Step::default()
        };
        Record::Submit {
            id,
            queue: "quick".to_owned(),
            route: None,
            team: "kibo".to_owned(),
            spec: JobSpec {
                text: "work".to_owned(),
                steps: vec![step],
                repeat: None,
            },
        }
    }
}
