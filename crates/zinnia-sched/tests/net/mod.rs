//! A cell whose messages are delivered late, twice, in any order or not at all.

mod checks;
mod machine;

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
use zinnia_types::worker::End;
use zinnia_types::worker::Profile;
use zinnia_types::worker::Report;
use zinnia_types::worker::Task;
use zinnia_types::worker::TaskState;

use machine::Machine;
use machine::Message;

/// What the log holds of a job.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) job: Job,
    pub(crate) done: BTreeSet<u32>,
    pub(crate) dispatched: BTreeSet<u32>,
    pub(crate) ended: bool,
}

pub(crate) struct Net {
    sched: Scheduler,
    now: Time,
    term: u64,
    machines: Vec<Machine>,
    flight: Vec<Message>,
    pub(crate) log: BTreeMap<JobId, Entry>,
    allots: BTreeMap<TeamId, Resources>,
    shares: Vec<(TeamId, u32)>,
    /// Tasks that must not be repeated and have run.
    ran: BTreeSet<(JobId, u32)>,
    pub(crate) starts: usize,
}

const LIMIT: Resources = Resources {
    cpu: 1_000_000,
    mem: 1_000_000,
    gpu: 1_000,
};

impl Net {
    pub(crate) fn new(profiles: Vec<Profile>, teams: &[(TeamId, u32, Resources)]) -> Self {
        let machine = |profile| Machine {
            profile,
            epoch: 0,
            running: BTreeMap::new(),
            ends: BTreeMap::new(),
            tombs: BTreeSet::new(),
            fenced: true,
            leaving: false,
        };
        let mut net = Self {
            sched: Scheduler::new(Settings::default(), Policy::default()),
            now: Time(0),
            term: 0,
            machines: profiles.into_iter().map(machine).collect(),
            flight: Vec::new(),
            log: BTreeMap::new(),
            allots: teams.iter().map(|t| (t.0, t.2)).collect(),
            shares: teams.iter().map(|t| (t.0, t.1)).collect(),
            ran: BTreeSet::new(),
            starts: 0,
        };
        net.takeover();
        for n in 0..net.machines.len() {
            net.announce(n);
        }
        net
    }

    /// Another VM becomes acting owner: it knows the log and the roster, and nothing else.
    pub(crate) fn takeover(&mut self) {
        self.term += 1;
        let seed = self.term;
        let settings = Settings {
            seed,
            ..Settings::default()
        };
        self.sched = Scheduler::new(settings, Policy::default());
        let flight = std::mem::take(&mut self.flight);
        for message in flight {
            match message {
                // A proposal in flight may still be recorded; every second one is.
                Message::Record(job, tasks) if self.now.0.is_multiple_of(2) => {
                    self.record(job, &tasks);
                }
                Message::Record(..) | Message::Event(_) => {}
                other => self.flight.push(other),
            }
        }
        let workers = self.machines.iter().map(|m| m.profile.clone()).collect();
        let term = self.term;
        self.give(Event::Takeover { term, workers });
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
        self.give(Event::Document {
            document: Box::new(document),
        });
        for (team, amount) in self.allots.clone() {
            self.give(Event::Allotment { team, amount });
        }
        self.give(Event::Active { active: true });
        for entry in self.log.clone().into_values().filter(|e| !e.ended) {
            self.give(Event::Submit {
                job: Box::new(entry.job),
                done: entry.done.into_iter().collect(),
                dispatched: entry.dispatched.into_iter().collect(),
                recovered: true,
            });
        }
    }

    pub(crate) fn submit(&mut self, job: Job) {
        if self.log.contains_key(&job.id) {
            return;
        }
        let entry = Entry {
            job: job.clone(),
            done: BTreeSet::new(),
            dispatched: BTreeSet::new(),
            ended: false,
        };
        self.log.insert(job.id, entry);
        self.give(Event::Submit {
            job: Box::new(job),
            done: Vec::new(),
            dispatched: Vec::new(),
            recovered: false,
        });
    }

    pub(crate) fn cancel(&mut self, n: usize) {
        let Some(id) = self.log.keys().copied().nth(n % self.log.len().max(1)) else {
            return;
        };
        self.give(Event::Cancel { jobs: vec![id] });
    }

    pub(crate) fn allot(&mut self, n: usize, amount: Resources) {
        let (team, _) = self.shares[n % self.shares.len()];
        self.allots.insert(team, amount);
        self.give(Event::Allotment { team, amount });
    }

    /// The worker grants ownership under its next epoch.
    pub(crate) fn announce(&mut self, n: usize) {
        let at = n % self.machines.len();
        let machine = &mut self.machines[at];
        machine.epoch += 1;
        machine.fenced = false;
        let event = Event::OwnershipGranted {
            profile: machine.profile.clone(),
            epoch: Epoch(machine.epoch),
            leaving: machine.leaving,
            reports: machine.reports(),
        };
        self.give(event);
    }

    /// The worker's task lease lapses: it stops its tasks, and later its owner knows.
    pub(crate) fn lapse(&mut self, n: usize) {
        let at = n % self.machines.len();
        let machine = &mut self.machines[at];
        for (id, _) in std::mem::take(&mut machine.running) {
            machine.ends.insert(id, End::Fenced);
        }
        machine.fenced = true;
        let worker = machine.profile.worker;
        self.give(Event::LeaseExpired { worker });
    }

    /// The worker process ends and starts anew; connections to it break.
    pub(crate) fn reboot(&mut self, n: usize, told: bool) {
        let at = n % self.machines.len();
        let machine = &mut self.machines[at];
        let worker = machine.profile.worker;
        machine.profile.boot += 1;
        machine.epoch = 0;
        machine.running.clear();
        machine.ends.clear();
        machine.tombs.clear();
        machine.leaving = false;
        machine.fenced = true;
        self.flight.retain(|m| m.target() != Some(worker));
        if told {
            self.give(Event::Exited { worker });
        }
        self.announce(at);
    }

    pub(crate) fn leave(&mut self, n: usize) {
        let at = n % self.machines.len();
        self.machines[at].leaving = true;
        let worker = self.machines[at].profile.worker;
        self.give(Event::Leaving { worker });
    }

    /// One running task ends.
    pub(crate) fn end(&mut self, n: usize, ok: bool) {
        let list: Vec<(usize, AttemptId)> = self
            .machines
            .iter()
            .enumerate()
            .flat_map(|(at, m)| m.running.keys().map(move |id| (at, *id)))
            .collect();
        if list.is_empty() {
            return;
        }
        let (at, attempt) = list[n % list.len()];
        let end = if ok {
            End::Done { run_ms: 1_000 }
        } else {
            End::Failed {
                why: "exit 1".to_owned(),
            }
        };
        let machine = &mut self.machines[at];
        machine.running.remove(&attempt);
        machine.ends.insert(attempt, end.clone());
        let state = TaskState::Ended { end };
        self.report(at, Report { attempt, state });
    }

    /// A heartbeat, with all that runs when `full`.
    pub(crate) fn heartbeat(&mut self, n: usize, full: bool) {
        let at = n % self.machines.len();
        let machine = &self.machines[at];
        if machine.fenced {
            return;
        }
        let reports = if full { machine.reports() } else { Vec::new() };
        self.flight.push(Message::Event(Event::Heartbeat {
            worker: machine.profile.worker,
            boot: machine.profile.boot,
            reports,
        }));
    }

    fn report(&mut self, at: usize, report: Report) {
        let profile = &self.machines[at].profile;
        self.flight.push(Message::Event(Event::Heartbeat {
            worker: profile.worker,
            boot: profile.boot,
            reports: vec![report],
        }));
    }

    pub(crate) fn pass(&mut self, ms: u64) {
        self.now = self.now.after(ms);
        self.give(Event::Tick);
    }

    pub(crate) fn deliver(&mut self, n: usize) {
        if !self.flight.is_empty() {
            let message = self.flight.remove(n % self.flight.len());
            self.carry(message, true);
        }
    }

    /// A message arrives and stays on its way a second time.
    pub(crate) fn duplicate(&mut self, n: usize) {
        if !self.flight.is_empty() {
            let message = self.flight[n % self.flight.len()].clone();
            // The log applies a record once.
            if !matches!(message, Message::Record(..)) {
                self.carry(message, true);
            }
        }
    }

    /// A command is lost, or arrives and its answer is lost.
    pub(crate) fn lose(&mut self, n: usize, arrives: bool) {
        if self.flight.is_empty() {
            return;
        }
        let at = n % self.flight.len();
        let attempt = match &self.flight[at] {
            Message::Start(_, _, a, _) | Message::Stop(_, _, a, _) => *a,
            Message::Record(..) => {
                self.flight.remove(at);
                return;
            }
            _ => return,
        };
        let message = self.flight.remove(at);
        if arrives {
            self.carry(message, false);
        }
        let event = Event::Unanswered { attempt };
        self.flight.push(Message::Event(event));
    }

    /// The answer to a command times out while the command is still on its way.
    pub(crate) fn time_out(&mut self, n: usize) {
        if self.flight.is_empty() {
            return;
        }
        if let Message::Start(_, _, attempt, _) = self.flight[n % self.flight.len()] {
            let event = Event::Unanswered { attempt };
            self.flight.push(Message::Event(event));
        }
    }

    fn carry(&mut self, message: Message, answers: bool) {
        match message {
            Message::Event(event) => self.give(event),
            Message::Record(job, tasks) => {
                self.record(job, &tasks);
                self.give(Event::DispatchRecorded { job, tasks });
            }
            Message::Start(to, epoch, attempt, task) => {
                let event = self.start(to, epoch, attempt, *task);
                self.answer(event, answers);
            }
            Message::Stop(to, epoch, attempt, checkpoint) => {
                let at = self.at(to);
                if let Some(end) = self.machines[at].halt(epoch, attempt, checkpoint) {
                    self.answer(Event::Stopped { attempt, end }, answers);
                }
            }
            Message::Refuse(to, epoch, attempt) => {
                let at = self.at(to);
                if let Some(end) = self.machines[at].halt(epoch, attempt, false) {
                    let state = end.map_or(TaskState::Refused, |end| TaskState::Ended { end });
                    self.report(at, Report { attempt, state });
                }
            }
            Message::Throttle(to, epoch, attempt, cpu) => {
                let at = self.at(to);
                let machine = &mut self.machines[at];
                if !machine.fenced && epoch == machine.epoch && machine.throttle(&attempt, cpu) {
                    self.answer(Event::Throttled { attempt, cpu }, answers);
                }
            }
        }
        self.check();
    }

    fn answer(&mut self, event: Event, answers: bool) {
        if answers {
            self.flight.push(Message::Event(event));
        }
    }

    fn start(&mut self, to: WorkerId, epoch: u64, attempt: AttemptId, task: Task) -> Event {
        let at = self.at(to);
        let key = (attempt.job, attempt.task);
        let repeat = task.repeat;
        let before = self.machines[at].running.len();
        let event = self.machines[at].start(epoch, attempt, task);
        if self.machines[at].running.len() > before {
            self.starts += 1;
            let recorded = self.log[&attempt.job].dispatched.contains(&attempt.task);
            assert!(repeat || recorded, "P7: {attempt} runs without a record");
            let first = repeat || self.ran.insert(key);
            assert!(first, "P7: {attempt} runs a second time");
        }
        event
    }

    fn record(&mut self, job: JobId, tasks: &[u32]) {
        if let Some(entry) = self.log.get_mut(&job) {
            entry.dispatched.extend(tasks);
        }
    }

    fn give(&mut self, event: Event) {
        let actions = self.sched.step(event, self.now);
        let mut gangs: BTreeMap<JobId, usize> = BTreeMap::new();
        for action in actions {
            match action {
                Action::Start {
                    worker,
                    epoch,
                    attempt,
                    task,
                } => {
                    if task.class == Class::Gang && task.repeat {
                        *gangs.entry(attempt.job).or_default() += 1;
                    }
                    let message = Message::Start(worker, epoch.0, attempt, task);
                    self.flight.push(message);
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
                    self.flight.push(message);
                }
                Action::Refuse {
                    worker,
                    epoch,
                    attempt,
                } => {
                    let message = Message::Refuse(worker, epoch.0, attempt);
                    self.flight.push(message);
                }
                Action::Throttle {
                    worker,
                    epoch,
                    attempt,
                    cpu,
                } => {
                    let message = Message::Throttle(worker, epoch.0, attempt, cpu);
                    self.flight.push(message);
                }
                Action::RecordDispatch { job, tasks } => {
                    self.flight.push(Message::Record(job, tasks))
                }
                Action::TaskEnded { attempt, end, .. } => {
                    if let Some(entry) = self.log.get_mut(&attempt.job)
                        && matches!(end, End::Done { .. })
                    {
                        entry.done.insert(attempt.task);
                    }
                }
                Action::JobEnded { job, .. } => {
                    let entry = self.log.get_mut(&job).unwrap();
                    assert!(!entry.ended, "{job} ended twice");
                    entry.ended = true;
                }
                _ => {}
            }
        }
        for (job, started) in gangs {
            let entry = &self.log[&job];
            let open = entry.job.tasks as usize - entry.done.len();
            assert_eq!(started, open, "a part of gang {job} was started");
        }
        self.check();
    }

    fn at(&self, worker: WorkerId) -> usize {
        let at = self
            .machines
            .iter()
            .position(|m| m.profile.worker == worker);
        at.unwrap()
    }
}
