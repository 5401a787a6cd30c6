//! A failure domain in virtual time: the engines of its VMs, its workers with the real agent, and a
//! leader of the log in another domain. There is no I/O and no sleeping.

mod faults;
mod leases;
mod worker;

use zinnia_agent::Action as AgentAction;
use zinnia_agent::Command as AgentCommand;
use zinnia_agent::Event as AgentEvent;
use zinnia_agent::Message;
use zinnia_agent::SendOutcome;
use zinnia_cell::Command;
use zinnia_cell::Digest;
use zinnia_cell::Liveness;
use zinnia_cell::Reply;
use zinnia_cell::Vm;
use zinnia_daemon::authority::AuthorityMode;
use zinnia_daemon::domain_scheduler::WorkerCommand;
use zinnia_daemon::engine::Engine;
use zinnia_daemon::engine::Identity;
use zinnia_sched::Action;
use zinnia_sched::Event;
use zinnia_types::Class;
use zinnia_types::Document;
use zinnia_types::DomainId;
use zinnia_types::Job;
use zinnia_types::JobId;
use zinnia_types::LeaseSettings;
use zinnia_types::Name;
use zinnia_types::Resources;
use zinnia_types::Team;
use zinnia_types::TeamId;
use zinnia_types::Time;
use zinnia_types::Urgency;
use zinnia_types::VmId;
use zinnia_types::WorkerId;
use zinnia_types::worker::Start;
use zinnia_types::worker::Stop;
use zinnia_types::worker::TaskState;
use zinnia_types::worker::Throttle;

pub(crate) use faults::Fault;
use leases::HeldAnnouncement;
use worker::SimWorker;
use worker::scheduler_event;

/// Virtual time between two rounds of the simulation, in milliseconds.
pub(crate) const STEP_MS: u64 = 100;
/// Longest election of a leader of the log that design.md allows for, in milliseconds.
pub(crate) const ELECTION_MS: u64 = 4_000;

const WORKERS: usize = 4;
/// The VMs 0 and 1 are in the domain under test; 2 leads the log in another domain.
const VMS: usize = 3;
const LEADER: usize = 2;

/// A VM whose process runs. Its clock began at another time than those of the other VMs.
struct SimVm {
    engine: Engine,
    clock_ms: u64,
}

/// The domain, in which one service task should always run.
pub(crate) struct SimDomain {
    pub(crate) now: u64,
    vms: Vec<Option<SimVm>>,
    workers: Vec<SimWorker>,
    log: Vec<Command>,
    liveness: Liveness,
    /// Until when no leader answers pings, since an election runs.
    election_end: u64,
    /// Commands that wait for the next round, with the VM that sends them.
    commands: Vec<(usize, WorkerCommand)>,
    /// Changes of renewed leases in flight, with the time at which they are committed.
    proposed: Vec<(u64, Command)>,
    announcements: Vec<HeldAnnouncement>,
    /// Time until each proposal is committed; `None` for a random one.
    pub(crate) delay_ms: Option<u64>,
    rng: u64,
}

pub(crate) fn domain() -> DomainId {
    DomainId::new("d1").unwrap()
}

fn vm(number: usize) -> Vm {
    Vm {
        id: VmId(number as u64 + 1),
        name: Name::new(&format!("vm{number}")).unwrap(),
        domain: DomainId::new(if number == LEADER { "d2" } else { "d1" }).unwrap(),
        http: format!("127.0.0.1:{}", 10 + number),
        peer: format!("127.0.0.1:{}", 20 + number),
        disk: true,
    }
}

fn service() -> Job {
    let team = TeamId::new("press").unwrap();
    Job {
        id: JobId::of(team, "proof"),
        team,
        name: "proof".to_owned(),
        kind: Name::new("web").unwrap(),
        class: Class::Service,
        urgency: Urgency::Normal,
        tasks: 1,
        need: Resources {
            cpu: 1_000,
            mem: 1_024,
            gpu: 0,
        },
        runtime_ms: 0,
        retries: 3,
        repeat: true,
        due_ms: None,
        accepted_ms: 1,
        pinned: true,
        domain: domain(),
        payload: serde_json::Value::Null,
    }
}

impl SimDomain {
    /// A domain in which the service has started. `seed` varies the clocks of workers and VMs.
    pub(crate) fn new(seed: u64) -> Self {
        let addresses: Vec<String> = (0..VMS).map(|n| vm(n).http).collect();
        // A clock that is slow by up to 2% lets a lease last 0.6 s longer, within the margin.
        let slow = |n: usize| (seed * 7 + n as u64 * 5) % 21;
        let workers = (0..WORKERS).map(|n| SimWorker::new(n, &addresses, slow(n)));
        let mut sim = Self {
            now: 0,
            vms: Vec::new(),
            workers: workers.collect(),
            log: Vec::new(),
            liveness: Liveness::new(vm(LEADER).id, Time(0), [vm(LEADER).id].into()),
            election_end: 0,
            commands: Vec::new(),
            proposed: Vec::new(),
            announcements: Vec::new(),
            delay_ms: None,
            rng: seed,
        };
        for n in 0..VMS {
            sim.vms.push(None);
            sim.start_vm(n, 1_000 + seed * 300 + n as u64 * 50_000);
        }
        for n in 0..VMS {
            sim.commit(Command::JoinVm { vm: vm(n) });
        }
        let add = sim.workers.iter().map(|w| w.profile.clone()).collect();
        let remove = Vec::new();
        sim.commit(Command::Workers {
            add,
            remove,
            leases: None,
        });
        sim.submit_service();
        sim
    }

    fn submit_service(&mut self) {
        let job = service();
        let limit = Resources {
            cpu: 10_000,
            mem: 10_240,
            gpu: 0,
        };
        let document = Document {
            teams: vec![Team {
                name: job.team,
                share: 1,
                limit,
                calls: 1,
            }],
            ..Document::default()
        };
        self.commit(Command::ApplyDocument {
            request: "first".to_owned(),
            from: 0,
            document,
            at_ms: 1,
        });
        while self.acting_vm().is_none() {
            self.round();
        }
        let term = self.owner_term();
        let team = job.team;
        let taken = self.commit(Command::Take {
            domain: domain(),
            team,
            amount: limit,
            term,
            from: 0,
        });
        assert!(matches!(taken, Reply::Held(_)), "{taken:?}");
        let request = Digest::of(b"proof");
        let accepted = self.commit(Command::AcceptJob {
            job: Box::new(job),
            request,
            key: None,
        });
        assert!(matches!(accepted, Reply::Accepted { .. }), "{accepted:?}");
    }

    fn start_vm(&mut self, number: usize, clock_ms: u64) {
        let engine = Engine::new(Identity {
            vm: vm(number),
            leases: LeaseSettings::default(),
            seed: number as u64,
        });
        let mut sim_vm = SimVm { engine, clock_ms };
        for (index, command) in (1..).zip(&self.log) {
            sim_vm
                .engine
                .apply(index, command, Time(clock_ms + self.now));
        }
        self.vms[number] = Some(sim_vm);
    }

    /// Commits a command and applies it on all VMs that run; returns the leader's reply.
    fn commit(&mut self, command: Command) -> Reply {
        self.log.push(command.clone());
        let index = self.log.len() as u64;
        let mut reply = None;
        for sim_vm in self.vms.iter_mut().flatten() {
            let now = Time(sim_vm.clock_ms + self.now);
            reply = Some(sim_vm.engine.apply(index, &command, now));
        }
        reply.unwrap()
    }

    /// The silent workers of the domain, as the VM knows them.
    fn silent_workers(&self, n: usize) -> Vec<WorkerId> {
        let sim_vm = self.vms[n].as_ref();
        sim_vm.map_or(Vec::new(), |v| v.engine.cell.silent_workers(domain()))
    }

    fn owner_term(&self) -> u64 {
        let leader = self.vms[LEADER].as_ref().unwrap();
        leader.engine.cell.owner(domain()).map_or(0, |o| o.term)
    }

    /// The VM that may act for the domain at present.
    pub(crate) fn acting_vm(&self) -> Option<usize> {
        let acts = |n: &usize| {
            let sim_vm = self.vms[*n].as_ref();
            sim_vm.is_some_and(|v| {
                let now = Time(v.clock_ms + self.now);
                v.engine.may_act_for(domain(), now)
            })
        };
        (0..VMS).find(acts)
    }

    /// Advances the virtual time by one round and checks that no task runs in two places.
    pub(crate) fn round(&mut self) {
        self.now += STEP_MS;
        if self.now.is_multiple_of(1_000) {
            self.renew_vm_leases();
            self.plan_owners();
        }
        self.claim_domains();
        for n in 0..WORKERS {
            let actions = self.workers[n].tick(self.now);
            self.deliver(n, actions);
        }
        for (from, command) in std::mem::take(&mut self.commands) {
            self.execute(from, command);
        }
        for (n, sim_vm) in self.vms.iter_mut().enumerate() {
            let Some(sim_vm) = sim_vm else {
                continue;
            };
            sim_vm.engine.tick(Time(sim_vm.clock_ms + self.now));
            let commands = std::mem::take(&mut sim_vm.engine.worker_commands);
            self.commands.extend(commands.into_iter().map(|c| (n, c)));
        }
        self.retry_announcements();
        self.propose_lease_changes();
        let places = self.workers.iter().map(|w| w.running.len()).sum::<usize>();
        assert!(places <= 1, "P2: {places} copies run at {} ms", self.now);
    }

    /// Each VM pings the leader, which answers outside elections.
    fn renew_vm_leases(&mut self) {
        if self.now < self.election_end {
            return;
        }
        let commit = self.log.len() as u64;
        let leases = LeaseSettings::default();
        for (n, sim_vm) in self.vms.iter_mut().enumerate() {
            let Some(sim_vm) = sim_vm else {
                continue;
            };
            let sent = Time(sim_vm.clock_ms + self.now);
            let id = vm(n).id;
            self.liveness.record_contact(id, Time(self.now), &leases);
            let authority = &mut sim_vm.engine.authority;
            authority.record_lease_answer(sent, commit, commit);
        }
    }

    fn plan_owners(&mut self) {
        if self.now < self.election_end {
            return;
        }
        let cell = &self.vms[LEADER].as_ref().unwrap().engine.cell;
        let now = Time(self.now);
        let planned = zinnia_cell::plan(cell, &self.liveness, now, &LeaseSettings::default());
        for command in planned.commands {
            self.commit(command);
        }
    }

    /// Each VM that the log names as acting owner proposes itself in a term of its own.
    fn claim_domains(&mut self) {
        for n in 0..VMS {
            let Some(sim_vm) = &self.vms[n] else {
                continue;
            };
            let now = Time(sim_vm.clock_ms + self.now);
            if sim_vm.engine.authority_mode(now) != AuthorityMode::Quorum {
                continue;
            }
            for (domain, from_term) in sim_vm.engine.unclaimed_domains() {
                let vm = vm(n).id;
                let silent = self.silent_workers(n);
                let reply = self.commit(Command::SetOwner {
                    domain,
                    vm,
                    from_term,
                    silent: Some(silent),
                });
                if let (Reply::Owner(owner), Some(sim_vm)) = (reply, &mut self.vms[n]) {
                    sim_vm.engine.begin_acting(domain, owner.term, now);
                }
            }
        }
    }

    /// Delivers the messages of a worker to the VMs, and the answers to the worker.
    fn deliver(&mut self, n: usize, mut actions: Vec<AgentAction>) {
        while let Some(action) = actions.pop() {
            let AgentAction::Send {
                message_id,
                addr,
                message,
            } = action
            else {
                continue;
            };
            let target = (0..VMS).find(|&v| vm(v).http == addr);
            let Some(target) = target else {
                continue;
            };
            if let Message::Announce(announce) = &message
                && self.hold_announcement(n, target, message_id, announce)
            {
                continue;
            }
            let Some(outcome) = self.answer(n, target, message) else {
                continue;
            };
            let event = AgentEvent::SendCompleted {
                message_id,
                outcome,
            };
            actions.extend(self.workers[n].step(event, self.now));
        }
    }

    /// The answer of a VM to a worker; `None` if it does not arrive.
    fn answer(&mut self, n: usize, target: usize, message: Message) -> Option<SendOutcome> {
        if self.workers[n].cut {
            return None;
        }
        let sim_vm = self.vms[target].as_mut()?;
        let now = Time(sim_vm.clock_ms + self.now);
        let engine = &mut sim_vm.engine;
        Some(match message {
            Message::Announce(announce) => match engine.announce(*announce, now) {
                Ok(reply) => SendOutcome::Announce(reply),
                Err(error) => SendOutcome::Error(error.code),
            },
            Message::Heartbeat(beat) => match engine.heartbeat(&beat, now) {
                Ok(reply) => SendOutcome::Heartbeat(reply),
                Err(error) => SendOutcome::Error(error.code),
            },
        })
    }

    /// Carries out a command of a VM at its worker, and passes the answer to the scheduler.
    fn execute(&mut self, from: usize, command: WorkerCommand) {
        let (worker, epoch, command_id) = match &command.action {
            Action::Start { worker, epoch, .. }
            | Action::Stop { worker, epoch, .. }
            | Action::Throttle { worker, epoch, .. }
            | Action::Refuse { worker, epoch, .. } => (*worker, *epoch, 0),
            _ => return,
        };
        let Some(n) = (0..WORKERS).find(|&n| self.workers[n].profile.worker == worker) else {
            return;
        };
        let (attempt, order) = match command.action.clone() {
            Action::Start { attempt, task, .. } => {
                let task = *task;
                let start = Start {
                    epoch,
                    attempt,
                    task,
                };
                (attempt, AgentCommand::Start(start))
            }
            Action::Stop {
                attempt,
                checkpoint,
                ..
            } => {
                let stop = Stop {
                    epoch,
                    attempt,
                    checkpoint,
                };
                (attempt, AgentCommand::Stop(stop))
            }
            Action::Throttle { attempt, cpu, .. } => {
                let throttle = Throttle {
                    epoch,
                    attempt,
                    cpu,
                };
                (attempt, AgentCommand::Throttle(throttle))
            }
            Action::Refuse { attempt, .. } => {
                if let Some(sim_vm) = &mut self.vms[from]
                    && let Some(owned) = sim_vm.engine.owned_workers.get_mut(&worker)
                {
                    owned.refused_attempts.insert(attempt);
                }
                return;
            }
            _ => return,
        };
        let mut reply = None;
        if !self.workers[n].cut {
            let event = AgentEvent::Command {
                command_id,
                command: order,
            };
            let mut others = Vec::new();
            for action in self.workers[n].step(event, self.now) {
                match action {
                    AgentAction::Reply { reply: answer, .. } => reply = Some(answer),
                    other => others.push(other),
                }
            }
            self.deliver(n, others);
        }
        let event = scheduler_event(attempt, reply);
        self.notify(from, &command, event);
    }

    fn notify(&mut self, from: usize, command: &WorkerCommand, event: Option<Event>) {
        let (Some(sim_vm), Some(event)) = (&mut self.vms[from], event) else {
            return;
        };
        let now = Time(sim_vm.clock_ms + self.now);
        let engine = &mut sim_vm.engine;
        if let (Event::Started { attempt }, Action::Start { worker, task, .. }) =
            (&event, &command.action)
            && let Some(owned) = engine.owned_workers.get_mut(worker)
        {
            let state = TaskState::Running {
                task: task.clone(),
                usage: task.need,
            };
            owned.tasks.entry(*attempt).or_insert(state);
        }
        if let Some(scheduler) = engine.schedulers.get_mut(&command.domain)
            && scheduler.term == command.term
        {
            scheduler.step(event, now, &mut engine.worker_commands);
        }
    }
}
