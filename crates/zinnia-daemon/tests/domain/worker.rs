//! Simulated worker: the real agent on a clock of its own, behind a link that can be cut.

use std::collections::BTreeSet;

use zinnia_agent::Action;
use zinnia_agent::Agent;
use zinnia_agent::ControlReply;
use zinnia_agent::Event;
use zinnia_agent::Reply;
use zinnia_agent::Settings;
use zinnia_sched::Event as SchedEvent;
use zinnia_sched::StartRefusal;
use zinnia_types::AttemptId;
use zinnia_types::DomainId;
use zinnia_types::Epoch;
use zinnia_types::RackId;
use zinnia_types::Resources;
use zinnia_types::Time;
use zinnia_types::WorkerId;
use zinnia_types::worker::AttemptEnd;
use zinnia_types::worker::StartReply;
use zinnia_types::worker::StopReply;
use zinnia_types::worker::WorkerProfile;

/// Resources of each worker: two tasks of the test fit.
const CAPACITY: Resources = Resources {
    cpu: 2_000,
    mem: 2_048,
    gpu: 0,
};

/// A worker of the domain. `slow` is by how much its clock is slow, in thousandths.
pub(crate) struct SimWorker {
    pub(crate) profile: WorkerProfile,
    pub(crate) agent: Agent,
    pub(crate) running: BTreeSet<AttemptId>,
    /// Whether no message passes in either direction.
    pub(crate) cut: bool,
    vms: Vec<String>,
    slow: u64,
    next_tick: Time,
}

impl SimWorker {
    pub(crate) fn new(number: usize, vms: &[String], slow: u64) -> Self {
        let profile = WorkerProfile {
            worker: WorkerId::new(&format!("w{number}")).unwrap(),
            boot: 1,
            addr: format!("127.0.0.1:{}", 100 + number),
            domain: DomainId::new("d1").unwrap(),
            rack: RackId::new("r1").unwrap(),
            capacity: CAPACITY,
        };
        Self {
            agent: new_agent(&profile, vms),
            profile,
            running: BTreeSet::new(),
            cut: false,
            vms: vms.to_vec(),
            slow,
            next_tick: Time(0),
        }
    }

    /// Time of the worker's own clock.
    pub(crate) fn clock(&self, now: u64) -> Time {
        Time(now - now * self.slow / 1_000)
    }

    /// The process starts anew, without tasks and with a new boot number.
    pub(crate) fn reboot(&mut self) {
        self.profile.boot += 1;
        self.running.clear();
        self.agent = new_agent(&self.profile, &self.vms);
        self.next_tick = Time(0);
        self.cut = false;
    }

    /// Runs the agent's timer if it is due, and returns the actions that need the network.
    pub(crate) fn tick(&mut self, now: u64) -> Vec<Action> {
        if self.clock(now) < self.next_tick {
            return Vec::new();
        }
        self.step(Event::Tick, now)
    }

    /// Passes an event to the agent, carries out what it does to tasks, and returns the rest.
    pub(crate) fn step(&mut self, event: Event, now: u64) -> Vec<Action> {
        let clock = self.clock(now);
        let mut remote = Vec::new();
        let mut actions = self.agent.step(event, clock);
        while !actions.is_empty() {
            let mut ended = Vec::new();
            for action in actions {
                match action {
                    Action::Run { attempt, .. } => {
                        self.running.insert(attempt);
                    }
                    Action::Stop {
                        attempt,
                        checkpoint,
                    } => ended.push((attempt, AttemptEnd::Stopped { checkpoint })),
                    Action::Fence { attempts } => {
                        ended.extend(attempts.into_iter().map(|a| (a, AttemptEnd::Fenced)));
                    }
                    other => remote.push(other),
                }
            }
            actions = Vec::new();
            for (attempt, end) in ended {
                self.running.remove(&attempt);
                actions.extend(self.agent.step(Event::Exited { attempt, end }, clock));
            }
        }
        self.next_tick = self.agent.next_tick(clock);
        remote
    }
}

fn new_agent(profile: &WorkerProfile, vms: &[String]) -> Agent {
    let mut settings = Settings {
        seed: profile.boot,
        epoch_floor: Epoch(profile.boot * 1_000),
        ..Settings::default()
    };
    settings.search.vms = vms.to_vec();
    Agent::new(settings, profile.clone())
}

/// The scheduler's event for the answer of a worker; `None` if a later report tells the end.
pub(crate) fn scheduler_event(attempt: AttemptId, reply: Option<Reply>) -> Option<SchedEvent> {
    let refused = |reason| Some(SchedEvent::Refused { attempt, reason });
    match reply {
        None | Some(Reply::Stop(StopReply::StaleEpoch)) => Some(SchedEvent::Unanswered { attempt }),
        Some(Reply::Start(StartReply::Started)) => Some(SchedEvent::Started { attempt }),
        Some(Reply::Start(StartReply::StaleEpoch)) => refused(StartRefusal::StaleEpoch),
        Some(Reply::Start(StartReply::NoCapacity { free })) => {
            refused(StartRefusal::NoCapacity { free })
        }
        Some(Reply::Start(StartReply::Leaving)) => refused(StartRefusal::Leaving),
        Some(Reply::Start(StartReply::Refused)) => refused(StartRefusal::Tombstone),
        Some(Reply::Stop(StopReply::Stopped { end })) => Some(SchedEvent::Stopped { attempt, end }),
        Some(Reply::Stop(StopReply::Stopping)) => None,
        Some(Reply::Control(ControlReply::Done)) => None,
        Some(Reply::Control(_)) => None,
    }
}
