//! Simulated cluster whose messages can be delayed, duplicated, reordered and lost.

mod checks;
mod worker;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use zinnia_sched::Action;
use zinnia_sched::Event;
use zinnia_sched::Policy;
use zinnia_sched::Scheduler;
use zinnia_sched::Settings;
use zinnia_types::AttemptId;
use zinnia_types::Class;
use zinnia_types::Document;
use zinnia_types::Epoch;
use zinnia_types::Job;
use zinnia_types::JobId;
use zinnia_types::Resources;
use zinnia_types::Team;
use zinnia_types::TeamId;
use zinnia_types::Time;
use zinnia_types::WorkerId;
use zinnia_types::worker::AttemptEnd;
use zinnia_types::worker::AttemptReport;
use zinnia_types::worker::Task;
use zinnia_types::worker::TaskState;
use zinnia_types::worker::WorkerProfile;

use worker::Message;
use worker::SimWorker;

/// State of a job in the log.
#[derive(Clone, Debug)]
pub(crate) struct JobRecord {
    pub(crate) job: Job,
    pub(crate) done: BTreeSet<u32>,
    pub(crate) dispatched: BTreeSet<u32>,
    pub(crate) ended: bool,
}

/// One scheduler, its workers, the log and the messages between them, in virtual time.
pub(crate) struct SimCluster {
    sched: Scheduler,
    now: Time,
    term: u64,
    workers: Vec<SimWorker>,
    /// Messages that were sent and not yet delivered.
    in_flight: Vec<Message>,
    /// Jobs that the log holds; it survives takeovers.
    pub(crate) log: BTreeMap<JobId, JobRecord>,
    allotments: BTreeMap<TeamId, Resources>,
    shares: Vec<(TeamId, u32)>,
    /// Tasks that must not be repeated and were started.
    ran: BTreeSet<(JobId, u32)>,
    /// Number of attempts started on workers.
    pub(crate) starts: usize,
}

/// Limit of each team in the document, which is far above its allotment.
const LIMIT: Resources = Resources {
    cpu: 1_000_000,
    mem: 1_000_000,
    gpu: 1_000,
};

impl SimCluster {
    pub(crate) fn new(profiles: Vec<WorkerProfile>, teams: &[(TeamId, u32, Resources)]) -> Self {
        let worker = |profile| SimWorker {
            profile,
            epoch: 0,
            running: BTreeMap::new(),
            ends: BTreeMap::new(),
            tombstones: BTreeSet::new(),
            fenced: true,
            leaving: false,
        };
        let mut cluster = Self {
            sched: Scheduler::new(Settings::default(), Policy::default()),
            now: Time(0),
            term: 0,
            workers: profiles.into_iter().map(worker).collect(),
            in_flight: Vec::new(),
            log: BTreeMap::new(),
            allotments: teams.iter().map(|t| (t.0, t.2)).collect(),
            shares: teams.iter().map(|t| (t.0, t.1)).collect(),
            ran: BTreeSet::new(),
            starts: 0,
        };
        cluster.takeover();
        for n in 0..cluster.workers.len() {
            cluster.announce(n);
        }
        cluster
    }

    /// Another VM becomes the acting owner. It knows only the log and the workers of the domain.
    pub(crate) fn takeover(&mut self) {
        self.term += 1;
        let seed = self.term;
        let settings = Settings {
            seed,
            ..Settings::default()
        };
        self.sched = Scheduler::new(settings, Policy::default());
        let in_flight = std::mem::take(&mut self.in_flight);
        for message in in_flight {
            match message {
                // A proposal in flight may still be recorded, which depends on the virtual time.
                Message::Record(job, tasks) if self.now.0.is_multiple_of(2) => {
                    self.record(job, &tasks);
                }
                Message::Record(..) | Message::Event(_) => {}
                other => self.in_flight.push(other),
            }
        }
        let workers = self.workers.iter().map(|w| w.profile.clone()).collect();
        let term = self.term;
        self.step(Event::Takeover { term, workers });
        let team = |&(name, share): &(TeamId, u32)| Team {
            name,
            share,
            limit: LIMIT,
            calls: 1,
        };
        let document = Document {
            teams: self.shares.iter().map(team).collect(),
            ..Document::default()
        };
        self.step(Event::Document {
            document: Box::new(document),
        });
        for (team, amount) in self.allotments.clone() {
            self.step(Event::Allotment { team, amount });
        }
        self.step(Event::Active { active: true });
        for record in self.log.clone().into_values().filter(|e| !e.ended) {
            self.step(Event::Submit {
                job: Box::new(record.job),
                done: record.done.into_iter().collect(),
                dispatched: record.dispatched.into_iter().collect(),
                recovered: true,
            });
        }
    }

    /// Adds a job to the log and submits it.
    pub(crate) fn submit(&mut self, job: Job) {
        if self.log.contains_key(&job.id) {
            return;
        }
        let record = JobRecord {
            job: job.clone(),
            done: BTreeSet::new(),
            dispatched: BTreeSet::new(),
            ended: false,
        };
        self.log.insert(job.id, record);
        self.step(Event::Submit {
            job: Box::new(job),
            done: Vec::new(),
            dispatched: Vec::new(),
            recovered: false,
        });
    }

    pub(crate) fn cancel(&mut self, pick: usize) {
        let Some(id) = self.log.keys().copied().nth(pick % self.log.len().max(1)) else {
            return;
        };
        self.step(Event::Cancel { jobs: vec![id] });
    }

    pub(crate) fn set_allotment(&mut self, pick: usize, amount: Resources) {
        let (team, _) = self.shares[pick % self.shares.len()];
        self.allotments.insert(team, amount);
        self.step(Event::Allotment { team, amount });
    }

    /// A worker grants ownership under its next epoch.
    pub(crate) fn announce(&mut self, pick: usize) {
        let index = pick % self.workers.len();
        let sim_worker = &mut self.workers[index];
        sim_worker.epoch += 1;
        sim_worker.fenced = false;
        let event = Event::OwnershipGranted {
            profile: sim_worker.profile.clone(),
            epoch: Epoch(sim_worker.epoch),
            leaving: sim_worker.leaving,
            reports: sim_worker.reports(),
        };
        self.step(event);
    }

    /// The task lease of a worker expires: the worker stops its tasks, then the owner is notified.
    pub(crate) fn expire_lease(&mut self, pick: usize) {
        let index = pick % self.workers.len();
        let sim_worker = &mut self.workers[index];
        for (id, _) in std::mem::take(&mut sim_worker.running) {
            sim_worker.ends.insert(id, AttemptEnd::Fenced);
        }
        sim_worker.fenced = true;
        let worker = sim_worker.profile.worker;
        self.step(Event::LeaseExpired { worker });
    }

    /// A worker process restarts, and the connections to it break. With `notified`, the owner is
    /// notified that it has exited.
    pub(crate) fn reboot(&mut self, pick: usize, notified: bool) {
        let index = pick % self.workers.len();
        let sim_worker = &mut self.workers[index];
        let worker = sim_worker.profile.worker;
        sim_worker.profile.boot += 1;
        sim_worker.epoch = 0;
        sim_worker.running.clear();
        sim_worker.ends.clear();
        sim_worker.tombstones.clear();
        sim_worker.leaving = false;
        sim_worker.fenced = true;
        self.in_flight.retain(|m| m.target() != Some(worker));
        if notified {
            self.step(Event::Exited { worker });
        }
        self.announce(index);
    }

    pub(crate) fn leave(&mut self, pick: usize) {
        let index = pick % self.workers.len();
        self.workers[index].leaving = true;
        let worker = self.workers[index].profile.worker;
        self.step(Event::Leaving { worker });
    }

    /// One running attempt ends.
    pub(crate) fn end(&mut self, pick: usize, success: bool) {
        let list: Vec<(usize, AttemptId)> = self
            .workers
            .iter()
            .enumerate()
            .flat_map(|(index, m)| m.running.keys().map(move |id| (index, *id)))
            .collect();
        if list.is_empty() {
            return;
        }
        let (index, attempt) = list[pick % list.len()];
        let end = if success {
            AttemptEnd::Done { run_ms: 1_000 }
        } else {
            AttemptEnd::Failed {
                why: "exit 1".to_owned(),
            }
        };
        let sim_worker = &mut self.workers[index];
        sim_worker.running.remove(&attempt);
        sim_worker.ends.insert(attempt, end.clone());
        let state = TaskState::Ended { end };
        self.report(index, AttemptReport { attempt, state });
    }

    /// Sends a heartbeat of a worker, with everything that it runs if `full`.
    pub(crate) fn heartbeat(&mut self, pick: usize, full: bool) {
        let index = pick % self.workers.len();
        let sim_worker = &self.workers[index];
        if sim_worker.fenced {
            return;
        }
        let reports = if full {
            sim_worker.reports()
        } else {
            Vec::new()
        };
        self.in_flight.push(Message::Event(Event::Heartbeat {
            worker: sim_worker.profile.worker,
            boot: sim_worker.profile.boot,
            reports,
        }));
    }

    /// Sends a heartbeat with one report.
    fn report(&mut self, index: usize, report: AttemptReport) {
        let profile = &self.workers[index].profile;
        self.in_flight.push(Message::Event(Event::Heartbeat {
            worker: profile.worker,
            boot: profile.boot,
            reports: vec![report],
        }));
    }

    /// Advances the virtual time.
    pub(crate) fn advance(&mut self, ms: u64) {
        self.now = self.now.after(ms);
        self.step(Event::Tick);
    }

    /// Delivers one message.
    pub(crate) fn deliver(&mut self, pick: usize) {
        if !self.in_flight.is_empty() {
            let message = self.in_flight.remove(pick % self.in_flight.len());
            self.process(message, true);
        }
    }

    /// Delivers a message and keeps a copy of it in flight.
    pub(crate) fn duplicate(&mut self, pick: usize) {
        if !self.in_flight.is_empty() {
            let message = self.in_flight[pick % self.in_flight.len()].clone();
            // The log applies each record only once.
            if !matches!(message, Message::Record(..)) {
                self.process(message, true);
            }
        }
    }

    /// Loses a command, or delivers it if it `arrives` and loses its answer.
    pub(crate) fn lose(&mut self, pick: usize, arrives: bool) {
        if self.in_flight.is_empty() {
            return;
        }
        let index = pick % self.in_flight.len();
        let attempt = match &self.in_flight[index] {
            Message::Start(_, _, a, _) | Message::Stop(_, _, a, _) => *a,
            Message::Record(..) => {
                self.in_flight.remove(index);
                return;
            }
            _ => return,
        };
        let message = self.in_flight.remove(index);
        if arrives {
            self.process(message, false);
        }
        let event = Event::Unanswered { attempt };
        self.in_flight.push(Message::Event(event));
    }

    /// The answer to a start times out while the start is still in flight.
    pub(crate) fn time_out(&mut self, pick: usize) {
        if self.in_flight.is_empty() {
            return;
        }
        if let Message::Start(_, _, attempt, _) = self.in_flight[pick % self.in_flight.len()] {
            let event = Event::Unanswered { attempt };
            self.in_flight.push(Message::Event(event));
        }
    }

    /// Processes a message at its target.
    fn process(&mut self, message: Message, reply_arrives: bool) {
        match message {
            Message::Event(event) => self.step(event),
            Message::Record(job, tasks) => {
                self.record(job, &tasks);
                self.step(Event::DispatchRecorded { job, tasks });
            }
            Message::Start(to, epoch, attempt, task) => {
                let event = self.start(to, epoch, attempt, *task);
                self.send_reply(event, reply_arrives);
            }
            Message::Stop(to, epoch, attempt, checkpoint) => {
                let index = self.worker_index(to);
                if let Some(end) = self.workers[index].stop(epoch, attempt, checkpoint) {
                    self.send_reply(Event::Stopped { attempt, end }, reply_arrives);
                }
            }
            Message::Refuse(to, epoch, attempt) => {
                let index = self.worker_index(to);
                if let Some(end) = self.workers[index].stop(epoch, attempt, false) {
                    let state = end.map_or(TaskState::Refused, |end| TaskState::Ended { end });
                    self.report(index, AttemptReport { attempt, state });
                }
            }
            Message::Throttle(to, epoch, attempt, cpu) => {
                let index = self.worker_index(to);
                let sim_worker = &mut self.workers[index];
                if !sim_worker.fenced
                    && epoch == sim_worker.epoch
                    && sim_worker.throttle(&attempt, cpu)
                {
                    self.send_reply(Event::Throttled { attempt, cpu }, reply_arrives);
                }
            }
        }
        self.check();
    }

    fn send_reply(&mut self, event: Event, reply_arrives: bool) {
        if reply_arrives {
            self.in_flight.push(Message::Event(event));
        }
    }

    /// Starts an attempt on a worker and checks that a task that must not be repeated runs only
    /// once and after its dispatch was recorded.
    fn start(&mut self, worker: WorkerId, epoch: u64, attempt: AttemptId, task: Task) -> Event {
        let index = self.worker_index(worker);
        let key = (attempt.job, attempt.task);
        let repeat = task.repeat;
        let before = self.workers[index].running.len();
        let event = self.workers[index].start(epoch, attempt, task);
        if self.workers[index].running.len() > before {
            self.starts += 1;
            let recorded = self.log[&attempt.job].dispatched.contains(&attempt.task);
            assert!(repeat || recorded, "P7: {attempt} runs without a record");
            let first = repeat || self.ran.insert(key);
            assert!(first, "P7: {attempt} runs a second time");
        }
        event
    }

    /// Records the dispatch of tasks in the log.
    fn record(&mut self, job: JobId, tasks: &[u32]) {
        if let Some(record) = self.log.get_mut(&job) {
            record.dispatched.extend(tasks);
        }
    }

    /// Passes an event to the scheduler, sends its commands, and checks that gangs start as a
    /// whole.
    fn step(&mut self, event: Event) {
        let actions = self.sched.step(event, self.now);
        let mut gang_starts: BTreeMap<JobId, usize> = BTreeMap::new();
        for action in actions {
            match action {
                Action::Start {
                    worker,
                    epoch,
                    attempt,
                    task,
                } => {
                    if task.class == Class::Gang && task.repeat {
                        *gang_starts.entry(attempt.job).or_default() += 1;
                    }
                    let message = Message::Start(worker, epoch.0, attempt, task);
                    self.in_flight.push(message);
                    self.check_allotment(attempt);
                }
                Action::Stop {
                    worker,
                    epoch,
                    attempt,
                    checkpoint,
                    ..
                } => {
                    let message = Message::Stop(worker, epoch.0, attempt, checkpoint);
                    self.in_flight.push(message);
                }
                Action::Refuse {
                    worker,
                    epoch,
                    attempt,
                } => {
                    let message = Message::Refuse(worker, epoch.0, attempt);
                    self.in_flight.push(message);
                }
                Action::Throttle {
                    worker,
                    epoch,
                    attempt,
                    cpu,
                } => {
                    let message = Message::Throttle(worker, epoch.0, attempt, cpu);
                    self.in_flight.push(message);
                }
                Action::RecordDispatch { job, tasks } => {
                    self.in_flight.push(Message::Record(job, tasks));
                }
                Action::TaskEnded { attempt, end, .. } => {
                    if let Some(record) = self.log.get_mut(&attempt.job)
                        && matches!(end, AttemptEnd::Done { .. })
                    {
                        record.done.insert(attempt.task);
                    }
                }
                Action::JobEnded { job, .. } => {
                    let record = self.log.get_mut(&job).unwrap();
                    assert!(!record.ended, "{job} ended twice");
                    record.ended = true;
                }
                _ => {}
            }
        }
        for (job, started) in gang_starts {
            let record = &self.log[&job];
            let unfinished = record.job.tasks as usize - record.done.len();
            assert_eq!(started, unfinished, "a part of gang {job} was started");
        }
        self.check();
    }

    fn worker_index(&self, worker: WorkerId) -> usize {
        let index = self.workers.iter().position(|w| w.profile.worker == worker);
        index.unwrap()
    }
}
