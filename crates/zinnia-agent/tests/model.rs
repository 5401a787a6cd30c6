//! Property tests of the agent against an independent model of what owners may rely on.
//!
//! VMs accept, redirect and refuse. Messages are lost, duplicated and delayed. Owners send commands
//! under old epochs, and the worker pauses. The invariants of the worker are checked after each
//! event.

#![expect(
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "a failed fixture must stop the test"
)]

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use zinnia_types::AttemptId;
use zinnia_types::Code;
use zinnia_types::Epoch;
use zinnia_types::Resources;
use zinnia_types::Time;
use zinnia_types::worker::AnnounceReply;
use zinnia_types::worker::AttemptEnd;
use zinnia_types::worker::HeartbeatReply;
use zinnia_types::worker::StartReply;
use zinnia_types::worker::Stop;
use zinnia_types::worker::StopReply;
use zinnia_types::worker::TaskState;

use common::accepted;
use common::agent;
use common::cpu;
use common::start;
use zinnia_agent::Action;
use zinnia_agent::Agent;
use zinnia_agent::Command;
use zinnia_agent::Event;
use zinnia_agent::Message;
use zinnia_agent::Reply;
use zinnia_agent::SendOutcome;

mod common;

/// Owner lease.
const OWNER_MS: u64 = 10_000;
/// Task lease.
const TASK_MS: u64 = 30_000;

/// One step of the simulation.
#[derive(Clone, Debug)]
enum Step {
    /// Time passes, and the agent gets each tick when it is due.
    Wait(u64),
    /// Time passes without ticks, as if the worker process was suspended.
    Pause(u64),
    /// A message in flight is delivered, and stays in flight if `duplicate`.
    Deliver { index: usize, duplicate: bool },
    /// A message in flight is lost.
    Drop(usize),
    /// A VM starts a new attempt under one of its epochs. `epochs_back` 0 is the latest.
    Start {
        vm: usize,
        epochs_back: usize,
        need: u64,
    },
    /// A VM stops an attempt.
    Stop {
        vm: usize,
        epochs_back: usize,
        attempt: usize,
        checkpoint: bool,
    },
    /// A VM lists an attempt in its next answer as one to refuse.
    Refuse { vm: usize, attempt: usize },
    /// Sets how a VM answers: 0 accepts, 1 redirects, 2 is unavailable, 3 is draining, and 4
    /// accepts but does not renew the task lease with heartbeats.
    SetMode { vm: usize, mode: u8 },
    /// A task exits by itself or after a stop.
    Exit(usize),
    /// The worker starts to leave.
    Leave,
}

fn any_step() -> impl Strategy<Value = Step> {
    let any_index = any::<usize>;
    prop_oneof![
        8 => (1..4_000u64).prop_map(Step::Wait),
        1 => (1..45_000u64).prop_map(Step::Pause),
        24 => (any_index(), proptest::bool::weighted(0.15)).prop_map(|(index, duplicate)| {
            Step::Deliver { index, duplicate }
        }),
        2 => any_index().prop_map(Step::Drop),
        8 => (0..3usize, 0..6usize, 1..3_000u64).prop_map(|(vm, epochs_back, need)| {
            Step::Start { vm, epochs_back: epochs_back.saturating_sub(3), need }
        }),
        3 => (0..3usize, 0..4usize, any_index(), any::<bool>()).prop_map(
            |(vm, epochs_back, attempt, checkpoint)| {
                Step::Stop { vm, epochs_back: epochs_back.saturating_sub(2), attempt, checkpoint }
            }
        ),
        3 => (0..3usize, any_index()).prop_map(|(vm, attempt)| Step::Refuse { vm, attempt }),
        1 => (0..3usize, 0..5u8).prop_map(|(vm, mode)| Step::SetMode { vm, mode }),
        6 => any_index().prop_map(Step::Exit),
        1 => proptest::bool::weighted(0.02).prop_map(|leave| {
            if leave { Step::Leave } else { Step::Wait(1) }
        }),
    ]
}

/// A message in flight.
#[derive(Clone, Debug)]
enum Envelope {
    ToVm {
        vm: usize,
        message_id: u64,
        message: Message,
    },
    ToWorker(Event),
}

/// Model of a VM. It obeys the rules of owners, except that it sends commands under epochs that
/// have ended.
#[derive(Default)]
struct SimVm {
    /// Epochs that the VM has accepted, in increasing order.
    epochs: Vec<Epoch>,
    /// See [`Step::SetMode`].
    mode: u8,
    /// Attempts that the next answer lists as refused.
    refuse: Vec<AttemptId>,
    /// Attempts whose ends the next answer lets the worker forget.
    forget: Vec<AttemptId>,
}

/// The agent under test, the VMs, and the expected state.
struct Simulation {
    agent: Agent,
    now: Time,
    vms: [SimVm; 3],
    network: Vec<Envelope>,
    /// When each message of the agent was sent.
    send_times: BTreeMap<u64, Time>,
    /// Commands that the agent has not answered.
    commands: BTreeMap<u64, Command>,
    /// All attempts in the order in which VMs created them.
    attempts: Vec<AttemptId>,
    /// Attempts that the agent has run.
    started: BTreeSet<AttemptId>,
    /// Running attempts with their need and whether the agent has stopped or fenced them.
    running: BTreeMap<AttemptId, (Resources, bool)>,
    /// Attempts that the worker has reported as ended or refused, so that they must not run any more.
    refused: BTreeSet<AttemptId>,
    /// Latest expiry of the owner lease of each epoch that VMs have granted.
    owner_expiry: BTreeMap<Epoch, Time>,
    /// Latest expiry of the task lease that VMs have granted.
    task_expiry: Time,
    /// Address, expiry of the owner lease and epoch of the last owner.
    last_owner: Option<(String, Time, u64)>,
    /// Whether a VM has redirected or released the worker since the last change of the epoch.
    released: bool,
    leaving: bool,
}

fn vm_index(addr: &str) -> usize {
    "abc".find(addr).unwrap_or(0)
}

impl Simulation {
    fn new() -> Self {
        let agent = agent(|s| {
            // Small bounds make the agent drop tombstones and refuse starts within one test case.
            s.tombstones.max_count = 3;
            s.tombstones.max_age_ms = 20_000;
            s.reports.max_ends = 6;
        });
        Self {
            agent,
            now: Time(1_000),
            vms: Default::default(),
            network: Vec::new(),
            send_times: BTreeMap::new(),
            commands: BTreeMap::new(),
            attempts: Vec::new(),
            started: BTreeSet::new(),
            running: BTreeMap::new(),
            refused: BTreeSet::new(),
            owner_expiry: BTreeMap::new(),
            task_expiry: Time(0),
            last_owner: None,
            released: false,
            leaving: false,
        }
    }

    fn step(&mut self, event: Event) {
        let actions = self.agent.step(event, self.now);
        for action in actions {
            self.perform(action);
        }
        self.check_invariants();
        self.check_owner();
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Send {
                message_id,
                addr,
                message,
            } => {
                self.send_times.insert(message_id, self.now);
                let reports = match &message {
                    Message::Announce(m) => &m.reports,
                    Message::Heartbeat(m) => &m.reports,
                };
                for report in reports {
                    let running = matches!(report.state, TaskState::Running { .. });
                    assert_eq!(running, self.running.contains_key(&report.attempt));
                    if !running {
                        self.refused.insert(report.attempt);
                    }
                }
                let vm = vm_index(&addr);
                self.network.push(Envelope::ToVm {
                    vm,
                    message_id,
                    message,
                });
            }
            Action::Run { attempt, task } => {
                assert!(self.started.insert(attempt), "P2: {attempt} runs twice");
                assert!(
                    !self.refused.contains(&attempt),
                    "P2: {attempt} runs after it was reported as refused or ended"
                );
                assert!(
                    !self.leaving,
                    "P8: {attempt} starts while the worker is leaving"
                );
                self.running.insert(attempt, (task.need, false));
            }
            Action::Stop { attempt, .. } => self.mark_stopped(attempt),
            Action::Fence { attempts } => attempts.into_iter().for_each(|a| self.mark_stopped(a)),
            Action::Reply { command_id, reply } => self.check_reply(command_id, &reply),
            Action::Throttle { .. } | Action::Checkpoint { .. } => {}
        }
    }

    fn mark_stopped(&mut self, attempt: AttemptId) {
        if let Some((_, stopping)) = self.running.get_mut(&attempt) {
            *stopping = true;
        }
    }

    fn check_reply(&mut self, command_id: u64, reply: &Reply) {
        let command = self
            .commands
            .remove(&command_id)
            .expect("one reply for each command");
        let (epoch, attempt) = match &command {
            Command::Start(s) => (s.epoch, s.attempt),
            Command::Stop(s) => (s.epoch, s.attempt),
            _ => unreachable!("the simulation sends no such command"),
        };
        let obeyed = match reply {
            Reply::Start(StartReply::Started) => {
                assert!(
                    self.started.contains(&attempt),
                    "P6: {attempt} did not start"
                );
                true
            }
            Reply::Start(StartReply::StaleEpoch) => false,
            Reply::Start(refusal) => {
                assert!(
                    !self.running.contains_key(&attempt),
                    "P6: {attempt} runs after the reply {refusal:?}"
                );
                if *refusal == StartReply::Refused {
                    self.refused.insert(attempt);
                }
                true
            }
            Reply::Stop(StopReply::StaleEpoch) => false,
            Reply::Stop(StopReply::Stopped { .. }) => {
                assert!(
                    !self.running.contains_key(&attempt),
                    "P6: {attempt} runs after the reply Stopped"
                );
                self.refused.insert(attempt);
                true
            }
            Reply::Stop(StopReply::Stopping) => true,
            Reply::Control(_) => unreachable!("the simulation sends no such command"),
        };
        let expiry = self.owner_expiry.get(&epoch).copied().unwrap_or(Time(0));
        assert!(
            !obeyed || self.now < expiry,
            "obeyed a command under {epoch:?} after its owner lease expired"
        );
        let latest = self.owner_expiry.keys().next_back();
        let replaced = latest.is_some_and(|e| *e > epoch && self.agent.is_owned());
        let current = self.agent.dump()["owner"]["epoch"].as_u64() == Some(epoch.0);
        assert!(
            !obeyed || !replaced || current,
            "obeyed a command under {epoch:?} after the epoch was replaced"
        );
    }

    fn check_invariants(&self) {
        let needs = self.running.values().map(|(need, _)| *need);
        let used = needs.fold(Resources::ZERO, |sum, need| sum + need);
        assert!(used.fits(&cpu(4_000)), "P1: {used:?} exceeds the capacity");
        if self.now >= self.task_expiry {
            let unfenced = self.running.iter().find(|(_, (_, stopping))| !stopping);
            assert_eq!(
                unfenced, None,
                "P2: a task runs after the task lease expired"
            );
        }
    }

    /// Checks that an owner was replaced only after its lease expired or a VM redirected or
    /// released the worker.
    fn check_owner(&mut self) {
        let owner = &self.agent.dump()["owner"];
        let (Some(addr), Some(epoch)) = (owner["addr"].as_str(), owner["epoch"].as_u64()) else {
            return;
        };
        if let Some((last_addr, expiry, last_epoch)) = &self.last_owner
            && *last_epoch != epoch
        {
            let expired = *expiry <= self.now;
            assert!(epoch > *last_epoch, "epochs must increase");
            assert!(
                expired || last_addr == addr || self.released,
                "{last_addr} was replaced by {addr} before its owner lease expired"
            );
            self.released = false;
        }
        let expiry = Time(owner["until"].as_u64().unwrap());
        self.last_owner = Some((addr.to_owned(), expiry, epoch));
    }

    /// Delivers a message of the worker to the VM with index `vm`, and sends its answer.
    fn deliver_to_vm(&mut self, vm: usize, message_id: u64, message: Message) {
        let sent = self.send_times[&message_id];
        let state = &mut self.vms[vm];
        let outcome = match (message, state.mode) {
            (Message::Announce(_), 1) => {
                let addr = ["b", "c", "a"][vm].to_owned();
                SendOutcome::Announce(AnnounceReply::Redirect { addr })
            }
            (_, 2) => SendOutcome::Error(Code::Unavailable),
            (_, 3) => SendOutcome::Error(Code::Draining),
            (Message::Announce(m), _) => {
                if state.epochs.last().is_none_or(|e| *e < m.epoch) {
                    state.epochs.push(m.epoch);
                }
                let expiry = self.owner_expiry.entry(m.epoch).or_default();
                *expiry = (*expiry).max(sent.after(OWNER_MS));
                self.task_expiry = self.task_expiry.max(sent.after(TASK_MS));
                SendOutcome::Announce(accepted(std::mem::take(&mut state.refuse)))
            }
            (Message::Heartbeat(m), _) if state.epochs.last() == Some(&m.epoch) => {
                let expiry = self.owner_expiry.entry(m.epoch).or_default();
                *expiry = (*expiry).max(sent.after(OWNER_MS));
                let renew = state.mode != 4;
                if renew {
                    self.task_expiry = self.task_expiry.max(sent.after(TASK_MS));
                }
                for report in &m.reports {
                    if matches!(report.state, TaskState::Ended { .. }) {
                        state.forget.push(report.attempt);
                    }
                }
                SendOutcome::Heartbeat(HeartbeatReply {
                    seq: m.seq,
                    renew,
                    refuse: std::mem::take(&mut state.refuse),
                    forget: std::mem::take(&mut state.forget),
                })
            }
            (Message::Heartbeat(_), _) => SendOutcome::Error(Code::StaleEpoch),
        };
        self.network.push(Envelope::ToWorker(Event::SendCompleted {
            message_id,
            outcome,
        }));
    }

    fn deliver(&mut self, index: usize, duplicate: bool) {
        if self.network.is_empty() {
            return;
        }
        // Three of four deliveries take the newest message, so that most answers arrive before
        // their deadline.
        let len = self.network.len();
        let index = if index.is_multiple_of(4) {
            index / 4 % len
        } else {
            len - 1
        };
        let envelope = match duplicate {
            true => self.network[index].clone(),
            false => self.network.remove(index),
        };
        match envelope {
            Envelope::ToVm {
                vm,
                message_id,
                message,
            } => self.deliver_to_vm(vm, message_id, message),
            Envelope::ToWorker(event) => {
                let event = match event {
                    Event::Command { command, .. } => {
                        let command_id = self.commands.keys().next_back().map_or(1, |id| id + 1);
                        self.commands.insert(command_id, command.clone());
                        Event::Command {
                            command_id,
                            command,
                        }
                    }
                    other => other,
                };
                if let Event::SendCompleted { outcome, .. } = &event {
                    self.released |= matches!(
                        outcome,
                        SendOutcome::Error(Code::Draining | Code::StaleEpoch)
                            | SendOutcome::Announce(AnnounceReply::Redirect { .. })
                    );
                }
                self.step(event);
            }
        }
    }

    /// Epoch that the VM accepted `epochs_back` epochs before its latest one.
    fn epoch(&self, vm: usize, epochs_back: usize) -> Option<Epoch> {
        self.vms[vm].epochs.iter().rev().nth(epochs_back).copied()
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Wait(ms) => {
                let end = self.now.after(ms);
                while self.now < end {
                    self.now = self.agent.next_tick(self.now).min(end);
                    self.step(Event::Tick);
                }
            }
            Step::Pause(ms) => {
                self.now = self.now.after(ms);
            }
            Step::Deliver { index, duplicate } => self.deliver(index, duplicate),
            Step::Drop(index) => {
                if !self.network.is_empty() {
                    self.network.remove(index % self.network.len());
                }
            }
            Step::Start {
                vm,
                epochs_back,
                need,
            } => {
                if let Some(epoch) = self.epoch(vm, epochs_back) {
                    let number = u32::try_from(self.attempts.len()).unwrap();
                    let start = start(epoch, number, cpu(need));
                    self.attempts.push(start.attempt);
                    self.send_command(Command::Start(start));
                }
            }
            Step::Stop {
                vm,
                epochs_back,
                attempt,
                checkpoint,
            } => {
                if let (Some(epoch), false) =
                    (self.epoch(vm, epochs_back), self.attempts.is_empty())
                {
                    let attempt = self.attempts[attempt % self.attempts.len()];
                    self.send_command(Command::Stop(Stop {
                        epoch,
                        attempt,
                        checkpoint,
                    }));
                }
            }
            Step::Refuse { vm, attempt } => {
                if !self.attempts.is_empty() {
                    let attempt = self.attempts[attempt % self.attempts.len()];
                    self.vms[vm].refuse.push(attempt);
                }
            }
            Step::SetMode { vm, mode } => self.vms[vm].mode = mode,
            Step::Exit(index) => {
                if let Some(attempt) = self
                    .running
                    .keys()
                    .nth(index % self.running.len().max(1))
                    .copied()
                {
                    self.running.remove(&attempt);
                    let end = AttemptEnd::Done { run_ms: 1 };
                    self.step(Event::Exited { attempt, end });
                }
            }
            Step::Leave => {
                self.leaving = true;
                self.step(Event::Leave);
            }
        }
    }

    fn send_command(&mut self, command: Command) {
        let command_id = 0;
        self.network.push(Envelope::ToWorker(Event::Command {
            command_id,
            command,
        }));
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        // A fixed seed makes runs reproducible. PROPTEST_RNG_SEED selects another one.
        rng_seed: std::env::var("PROPTEST_RNG_SEED")
            .ok()
            .and_then(|s| s.parse().ok())
            .map_or(RngSeed::Fixed(1), RngSeed::Fixed),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards the invariants of the worker: capacity (P1), no attempt that runs twice or beyond its
    /// task lease (P2), truthful replies (P6), no start while leaving (P8), and commands obeyed
    /// only from the current owner.
    #[test]
    fn invariants_hold_in_any_order_of_events(steps in prop::collection::vec(any_step(), 50..400)) {
        let mut sim = Simulation::new();
        for step in steps {
            sim.apply(step);
        }
    }
}
