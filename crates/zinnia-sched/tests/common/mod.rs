//! Simulates a cell around one scheduler in virtual time. The simulated workers carry out each
//! action at once, and invariants of the scheduler are asserted after every event.

#![allow(
    dead_code,
    clippy::allow_attributes,
    reason = "each test file uses a part of this module"
)]

use std::collections::BTreeMap;

use zinnia_sched::Action;
use zinnia_sched::Event;
use zinnia_sched::Policy;
use zinnia_sched::Scheduler;
use zinnia_sched::Settings;
use zinnia_sched::StartRefusal;
use zinnia_types::AttemptId;
use zinnia_types::Class;
use zinnia_types::Document;
use zinnia_types::DomainId;
use zinnia_types::Epoch;
use zinnia_types::Job;
use zinnia_types::JobId;
use zinnia_types::Name;
use zinnia_types::Outcome;
use zinnia_types::RackId;
use zinnia_types::Resources;
use zinnia_types::Team;
use zinnia_types::TeamId;
use zinnia_types::Time;
use zinnia_types::Urgency;
use zinnia_types::WorkerId;
use zinnia_types::worker::AttemptEnd;
use zinnia_types::worker::AttemptReport;
use zinnia_types::worker::Task;
use zinnia_types::worker::TaskState;
use zinnia_types::worker::WorkerProfile;

pub(crate) const fn resources(cpu: u64, mem: u64, gpu: u64) -> Resources {
    Resources { cpu, mem, gpu }
}

pub(crate) const UNLIMITED: Resources = resources(u64::MAX / 4, u64::MAX / 4, u64::MAX / 4);

pub(crate) fn team(name: &str) -> TeamId {
    TeamId::new(name).unwrap()
}

pub(crate) fn worker(n: usize) -> WorkerId {
    WorkerId::new(&format!("w{n}")).unwrap()
}

pub(crate) fn profile(n: usize, capacity: Resources) -> WorkerProfile {
    WorkerProfile {
        worker: worker(n),
        boot: 1,
        addr: "127.0.0.1:1".to_owned(),
        domain: DomainId::new("d").unwrap(),
        rack: RackId::new(&format!("r{}", n / 5)).unwrap(),
        capacity,
    }
}

/// A repeatable batch job of one task; tests override the fields that matter to them.
pub(crate) fn job(name: &str, of: &str) -> Job {
    Job {
        id: JobId::of(team(of), name),
        team: team(of),
        name: name.to_owned(),
        kind: Name::new("kind").unwrap(),
        class: Class::Batch,
        urgency: Urgency::Normal,
        tasks: 1,
        need: resources(1_000, 1_024, 0),
        runtime_ms: 10_000,
        retries: 3,
        repeat: true,
        due_ms: None,
        accepted_ms: 0,
        pinned: false,
        domain: DomainId::new("d").unwrap(),
        payload: serde_json::Value::Null,
    }
}

/// Actual state of a simulated worker.
#[derive(Clone, Debug)]
pub(crate) struct SimWorker {
    pub(crate) profile: WorkerProfile,
    pub(crate) epoch: u64,
    pub(crate) running: BTreeMap<AttemptId, (Task, Time)>,
    /// CPU limits of throttled attempts.
    pub(crate) throttled: BTreeMap<AttemptId, u64>,
    pub(crate) alive: bool,
}

impl SimWorker {
    pub(crate) fn used(&self) -> Resources {
        let mut sum = Resources::ZERO;
        for (id, (task, _)) in &self.running {
            sum += Resources {
                cpu: self.throttled.get(id).copied().unwrap_or(task.need.cpu),
                ..task.need
            };
        }
        sum
    }

    pub(crate) fn reports(&self) -> Vec<AttemptReport> {
        let running = |(id, (task, _)): (&AttemptId, &(Task, Time))| AttemptReport {
            attempt: *id,
            state: TaskState::Running {
                task: Box::new(task.clone()),
                usage: Resources::ZERO,
            },
        };
        self.running.iter().map(running).collect()
    }
}

/// Run time and result of a task. It never ends if the run time is `None`.
pub(crate) type Behaviour =
    Box<dyn Fn(&AttemptId, &Task, WorkerId) -> (Option<u64>, Result<(), String>)>;

pub(crate) struct Simulation {
    pub(crate) sched: Scheduler,
    pub(crate) now: Time,
    pub(crate) workers: BTreeMap<WorkerId, SimWorker>,
    pub(crate) allotments: BTreeMap<TeamId, Resources>,
    pub(crate) behaviour: Behaviour,
    /// All actions with the time at which they were returned.
    pub(crate) log: Vec<(Time, Action)>,
    /// Outcomes of ended jobs.
    pub(crate) ended: BTreeMap<JobId, Outcome>,
    /// Results of the started attempts, reported at their end.
    results: BTreeMap<AttemptId, Result<(), String>>,
    /// Whether `RecordDispatch` actions are answered by `DispatchRecorded` at once.
    pub(crate) auto_record: bool,
    /// Run time that workers report for successful tasks.
    pub(crate) run_ms: u64,
}

impl Simulation {
    pub(crate) fn new(teams: &[(&str, u32, Resources)]) -> Self {
        Self::with(teams, Settings::default(), Policy::default())
    }

    pub(crate) fn with(
        teams: &[(&str, u32, Resources)],
        settings: Settings,
        policy: Policy,
    ) -> Self {
        let mut sim = Self {
            sched: Scheduler::new(settings, policy),
            now: Time(0),
            workers: BTreeMap::new(),
            allotments: BTreeMap::new(),
            behaviour: Box::new(|_, _, _| (Some(10_000), Ok(()))),
            log: Vec::new(),
            ended: BTreeMap::new(),
            results: BTreeMap::new(),
            auto_record: true,
            run_ms: 10_000,
        };
        let entry = |&(name, share, limit): &(&str, u32, Resources)| Team {
            name: team(name),
            share,
            limit,
            calls: 1,
        };
        let document = Document {
            teams: teams.iter().map(entry).collect(),
            ..Document::default()
        };
        sim.event(Event::Takeover {
            term: 1,
            workers: Vec::new(),
        });
        sim.event(Event::Document {
            document: Box::new(document),
        });
        for &(name, _, amount) in teams {
            sim.allotments.insert(team(name), amount);
            sim.event(Event::Allotment {
                team: team(name),
                amount,
            });
        }
        sim.event(Event::Clock { offset_ms: 0 });
        sim.event(Event::Active { active: true });
        sim
    }

    pub(crate) fn add(&mut self, n: usize, capacity: Resources) {
        let profile = profile(n, capacity);
        let sim_worker = SimWorker {
            profile: profile.clone(),
            epoch: 1,
            running: BTreeMap::new(),
            throttled: BTreeMap::new(),
            alive: true,
        };
        self.workers.insert(profile.worker, sim_worker);
        self.announce(n);
    }

    /// Announces the worker under a new epoch.
    pub(crate) fn announce(&mut self, n: usize) {
        let sim_worker = self.workers.get_mut(&worker(n)).unwrap();
        sim_worker.epoch += 1;
        sim_worker.alive = true;
        let event = Event::OwnershipGranted {
            profile: sim_worker.profile.clone(),
            epoch: Epoch(sim_worker.epoch),
            leaving: false,
            reports: sim_worker.reports(),
        };
        self.event(event);
    }

    pub(crate) fn submit(&mut self, job: Job) -> JobId {
        let id = job.id;
        self.event(Event::Submit {
            job: Box::new(job),
            done: Vec::new(),
            dispatched: Vec::new(),
            recovered: false,
        });
        id
    }

    /// Passes an event to the scheduler, and carries out all resulting actions at once.
    pub(crate) fn event(&mut self, event: Event) -> Vec<Action> {
        let actions = self.sched.step(event, self.now);
        for action in actions.clone() {
            self.log.push((self.now, action.clone()));
            self.perform(action);
        }
        self.check_invariants();
        actions
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Start {
                worker,
                attempt,
                task,
                ..
            } => {
                let (run, result) = (self.behaviour)(&attempt, &task, worker);
                let end = run.map_or(Time(u64::MAX), |ms| self.now.after(ms));
                let sim_worker = self.workers.get_mut(&worker).unwrap();
                if !sim_worker.alive {
                    self.event(Event::Unanswered { attempt });
                    return;
                }
                let left = sim_worker
                    .profile
                    .capacity
                    .saturating_sub(&sim_worker.used());
                assert!(
                    task.need.fits(&left),
                    "P1: no capacity for {attempt} on {worker}"
                );
                sim_worker.running.insert(attempt, (*task, end));
                self.results.insert(attempt, result);
                self.event(Event::Started { attempt });
            }
            Action::Stop {
                worker,
                attempt,
                checkpoint,
                ..
            } => self.stop_attempt(worker, attempt, checkpoint),
            Action::Refuse {
                worker, attempt, ..
            } => self.stop_attempt(worker, attempt, false),
            Action::Throttle {
                worker,
                attempt,
                cpu,
                ..
            } => {
                let sim_worker = self.workers.get_mut(&worker).unwrap();
                sim_worker.throttled.insert(attempt, cpu);
                self.event(Event::Throttled { attempt, cpu });
            }
            Action::RecordDispatch { job, tasks } if self.auto_record => {
                self.event(Event::DispatchRecorded { job, tasks });
            }
            Action::JobEnded { job, outcome } => {
                self.ended.insert(job, outcome);
            }
            _ => {}
        }
    }

    fn stop_attempt(&mut self, worker: WorkerId, attempt: AttemptId, checkpoint: bool) {
        let sim_worker = self.workers.get_mut(&worker).unwrap();
        if !sim_worker.alive {
            return;
        }
        let ran = sim_worker.running.remove(&attempt).is_some();
        let end = ran.then_some(AttemptEnd::Stopped { checkpoint });
        self.event(Event::Stopped { attempt, end });
    }

    /// Advances the time by `ms` in steps of 100 ms, with ticks and the ends of tasks.
    pub(crate) fn run(&mut self, ms: u64) {
        let until = self.now.after(ms);
        while self.now < until {
            self.now = self.now.after(100);
            self.end_due_tasks();
            if self.now.0.is_multiple_of(500) {
                self.event(Event::Tick);
            }
        }
    }

    fn end_due_tasks(&mut self) {
        let mut due = Vec::new();
        for (id, sim_worker) in &self.workers {
            let ends = sim_worker
                .running
                .iter()
                .filter(|(_, (_, t))| *t <= self.now);
            due.extend(ends.map(|(a, _)| (*id, *a)));
        }
        for (id, attempt) in due {
            let sim_worker = self.workers.get_mut(&id).unwrap();
            if sim_worker.running.remove(&attempt).is_none() {
                continue;
            }
            let end = match self.results.remove(&attempt) {
                Some(Err(why)) => AttemptEnd::Failed { why },
                _ => AttemptEnd::Done {
                    run_ms: self.run_ms,
                },
            };
            let reports = vec![AttemptReport {
                attempt,
                state: TaskState::Ended { end },
            }];
            let boot = sim_worker.profile.boot;
            self.event(Event::Heartbeat {
                worker: id,
                boot,
                reports,
            });
        }
    }

    /// Asserts that no worker exceeds its capacity (P1), no task runs twice (P2) and no team
    /// exceeds its allotment (P4). The numbers are those of the crate `zinnia-check`.
    pub(crate) fn check_invariants(&self) {
        let mut running_tasks = BTreeMap::new();
        let mut used: BTreeMap<TeamId, Resources> = BTreeMap::new();
        for sim_worker in self.workers.values() {
            let used_total = sim_worker.used();
            assert!(
                used_total.fits(&sim_worker.profile.capacity),
                "P1: worker over capacity: {used_total:?}"
            );
            for (id, (task, _)) in &sim_worker.running {
                *used.entry(task.team).or_default() += task.need;
                let other = running_tasks.insert((id.job, id.task), *id);
                assert_eq!(other, None, "P2: task of {id} runs twice");
            }
        }
        for (team, amount) in used {
            let limit = self.allotments.get(&team).copied().unwrap_or_default();
            assert!(
                amount.fits(&limit),
                "P4: team {team} exceeds its allotment: {amount:?}"
            );
        }
    }

    /// Number of running attempts of the job.
    pub(crate) fn running(&self, job: JobId) -> usize {
        let count = |m: &SimWorker| m.running.keys().filter(|a| a.job == job).count();
        self.workers.values().map(count).sum()
    }

    /// Sum of the declared resources of a team's running tasks.
    pub(crate) fn team_use(&self, name: &str) -> Resources {
        let mut sum = Resources::ZERO;
        for sim_worker in self.workers.values() {
            for (task, _) in sim_worker.running.values() {
                if task.team == team(name) {
                    sum += task.need;
                }
            }
        }
        sum
    }

    pub(crate) fn actions(&self, pick: impl Fn(&Action) -> bool) -> usize {
        self.log.iter().filter(|(_, a)| pick(a)).count()
    }

    pub(crate) fn lapse(&mut self, n: usize) {
        let sim_worker = self.workers.get_mut(&worker(n)).unwrap();
        sim_worker.alive = false;
        sim_worker.running.clear();
        self.event(Event::LeaseExpired { worker: worker(n) });
    }

    pub(crate) fn refuse(&mut self, attempt: AttemptId) {
        let why = StartRefusal::Tombstone;
        self.event(Event::Refused {
            attempt,
            reason: why,
        });
    }
}
