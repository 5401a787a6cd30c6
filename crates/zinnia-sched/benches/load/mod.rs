//! Builds a full cell with queued jobs, to measure the cost of decisions. Shared by the cost test,
//! the benchmark and the cost example.

#![allow(
    dead_code,
    clippy::allow_attributes,
    reason = "each user takes a part of this module"
)]

use std::collections::VecDeque;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use zinnia_sched::Action;
use zinnia_sched::Event;
use zinnia_sched::Policy;
use zinnia_sched::Scheduler;
use zinnia_sched::Settings;
use zinnia_types::AttemptId;
use zinnia_types::Class;
use zinnia_types::Document;
use zinnia_types::DomainId;
use zinnia_types::Epoch;
use zinnia_types::Job;
use zinnia_types::JobId;
use zinnia_types::Name;
use zinnia_types::NameError;
use zinnia_types::RackId;
use zinnia_types::Resources;
use zinnia_types::Team;
use zinnia_types::TeamId;
use zinnia_types::Time;
use zinnia_types::Urgency;
use zinnia_types::WorkerId;
use zinnia_types::worker::AttemptEnd;
use zinnia_types::worker::AttemptReport;
use zinnia_types::worker::TaskState;
use zinnia_types::worker::WorkerProfile;

/// Size of a cell.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CellSize {
    pub(crate) workers: u32,
    pub(crate) teams: u32,
    pub(crate) queued: u32,
}

/// Today's cells, and those expected in two years.
pub(crate) const SMALL_CELL: CellSize = CellSize {
    workers: 50,
    teams: 6,
    queued: 300,
};
pub(crate) const LARGE_CELL: CellSize = CellSize {
    workers: 1_700,
    teams: 31,
    queued: 10_000,
};

/// A scheduler with fully used workers and queued jobs.
pub(crate) struct LoadedCell {
    pub(crate) scheduler: Scheduler,
    now: Time,
    rng: SmallRng,
    teams: Vec<TeamId>,
    running: Vec<(AttemptId, WorkerId)>,
    pub(crate) submitted: VecDeque<JobId>,
    job_count: u32,
}

const CPU_WORKER: Resources = Resources {
    cpu: 64_000,
    mem: 131_072,
    gpu: 0,
};
const GPU_WORKER: Resources = Resources {
    cpu: 32_000,
    mem: 131_072,
    gpu: 8,
};
const UNLIMITED: Resources = Resources {
    cpu: u64::MAX / 4,
    mem: u64::MAX / 4,
    gpu: u64::MAX / 4,
};

impl LoadedCell {
    /// Registers the workers, then submits jobs until `size.queued` jobs wait.
    pub(crate) fn new(size: CellSize, seed: u64) -> Result<Self, NameError> {
        let settings = Settings {
            seed,
            ..Settings::default()
        };
        let mut teams = Vec::new();
        for n in 0..size.teams {
            teams.push(TeamId::new(&format!("team{n}"))?);
        }
        let mut cell = Self {
            scheduler: Scheduler::new(settings, Policy::default()),
            now: Time(0),
            rng: SmallRng::seed_from_u64(seed),
            teams: teams.clone(),
            running: Vec::new(),
            submitted: VecDeque::new(),
            job_count: 0,
        };
        let team = |name: &TeamId| Team {
            name: *name,
            share: 1,
            limit: UNLIMITED,
            calls: 1,
        };
        let document = Document {
            teams: teams.iter().map(team).collect(),
            ..Document::default()
        };
        cell.step(Event::Document {
            document: Box::new(document),
        });
        for team in teams {
            let amount = UNLIMITED;
            cell.step(Event::Allotment { team, amount });
        }
        cell.step(Event::Active { active: true });
        for n in 0..size.workers {
            // The target cell has 288 workers with accelerators out of 1,700, with 2,304
            // accelerators in all. One worker in six comes close to that.
            let capacity = if n % 6 == 5 { GPU_WORKER } else { CPU_WORKER };
            cell.step(Event::OwnershipGranted {
                profile: WorkerProfile {
                    worker: WorkerId::new(&format!("w{n}"))?,
                    boot: 1,
                    addr: String::new(),
                    domain: DomainId::new("d")?,
                    rack: RackId::new(&format!("r{}", n / 5))?,
                    capacity,
                },
                epoch: Epoch(1),
                leaving: false,
                reports: Vec::new(),
            });
        }
        while cell.scheduler.queued() < size.queued as usize {
            cell.submit_job()?;
        }
        Ok(cell)
    }

    fn step(&mut self, event: Event) -> usize {
        let actions = self.scheduler.step(event, self.now);
        let mut start_count = 0;
        for action in actions {
            if let Action::Start {
                worker, attempt, ..
            } = action
            {
                start_count += 1;
                self.running.push((attempt, worker));
                self.scheduler.step(Event::Started { attempt }, self.now);
            }
        }
        start_count
    }

    /// Submits a job of one task. Sizes and kinds vary; a fifth of the jobs are services.
    pub(crate) fn submit_job(&mut self) -> Result<(), NameError> {
        self.job_count += 1;
        let team = self.teams[self.rng.random_range(0..self.teams.len())];
        let name = format!("j{}", self.job_count);
        let cpu_cores = [2, 4, 8, 8, 16][self.rng.random_range(0..5)];
        let gpu = if self.rng.random_bool(0.15) {
            self.rng.random_range(1..=2)
        } else {
            0
        };
        let class = if self.rng.random_bool(0.2) {
            Class::Service
        } else {
            Class::Batch
        };
        let job = Job {
            id: JobId::of(team, &name),
            team,
            name,
            kind: Name::new(if gpu > 0 { "render" } else { "layout" })?,
            class,
            urgency: Urgency::Normal,
            tasks: 1,
            need: Resources {
                cpu: cpu_cores * 1_000,
                mem: cpu_cores * 2_048,
                gpu,
            },
            runtime_ms: 60_000,
            retries: 3,
            repeat: true,
            due_ms: None,
            accepted_ms: i64::from(self.job_count),
            pinned: false,
            domain: DomainId::new("d")?,
            payload: serde_json::Value::Null,
        };
        self.submitted.push_back(job.id);
        self.step(Event::Submit {
            job: Box::new(job),
            done: Vec::new(),
            dispatched: Vec::new(),
            recovered: false,
        });
        Ok(())
    }

    /// Number of running tasks.
    pub(crate) fn running(&self) -> usize {
        self.running.len()
    }

    /// Ends a random task. Returns the number of tasks started with the freed capacity.
    pub(crate) fn end_random_task(&mut self) -> usize {
        if self.running.is_empty() {
            return 0;
        }
        let index = self.rng.random_range(0..self.running.len());
        let (attempt, worker) = self.running.swap_remove(index);
        self.now = self.now.after(1);
        let end = AttemptEnd::Done { run_ms: 60_000 };
        self.step(Event::Heartbeat {
            worker,
            boot: 1,
            reports: vec![AttemptReport {
                attempt,
                state: TaskState::Ended { end },
            }],
        })
    }

    /// Cancels the `count` most recently submitted jobs, whether queued, running or ended.
    pub(crate) fn cancel_newest(&mut self, count: usize) {
        let count = count.min(self.submitted.len());
        let jobs = self.submitted.split_off(self.submitted.len() - count);
        self.step(Event::Cancel { jobs: jobs.into() });
    }

    pub(crate) fn tick(&mut self) {
        self.now = self.now.after(500);
        self.step(Event::Tick);
    }
}
