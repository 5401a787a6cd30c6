//! The loop that owns the agent and performs its actions.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use zinnia_agent::Action;
use zinnia_agent::Agent;
use zinnia_agent::Event;
use zinnia_agent::Message;
use zinnia_agent::Reply;
use zinnia_http::Client;
use zinnia_types::AttemptId;
use zinnia_types::worker::Task;

use crate::FaultInjection;
use crate::Load;
use crate::ServiceSettings;
use crate::WorkerEvent;
use crate::input::Input;
use crate::link;
use crate::record::EventLog;
use crate::service::Services;
use crate::sim::Control;
use crate::sim::Sim;

/// Owner of the agent.
pub(crate) struct Shell {
    pub(crate) agent: Agent,
    pub(crate) client: Client,
    pub(crate) inputs: mpsc::UnboundedReceiver<Input>,
    pub(crate) sender: mpsc::UnboundedSender<Input>,
    pub(crate) services: Services,
    pub(crate) service: ServiceSettings,
    pub(crate) sample_interval: Duration,
    pub(crate) faults: watch::Receiver<FaultInjection>,
    pub(crate) log: EventLog,
    pub(crate) token: CancellationToken,
    pub(crate) tasks: BTreeMap<AttemptId, mpsc::UnboundedSender<Control>>,
    pub(crate) asks: BTreeMap<u64, oneshot::Sender<Reply>>,
    pub(crate) asked: u64,
    pub(crate) muted: bool,
    pub(crate) drained: Vec<oneshot::Sender<()>>,
}

impl Shell {
    /// Runs until the worker is stopped.
    pub(crate) async fn run(mut self) {
        let token = self.token.clone();
        token.run_until_cancelled(self.work()).await;
    }

    async fn work(&mut self) {
        loop {
            let now = crate::now();
            let wait = Duration::from_millis(self.agent.wake(now).since(now));
            let input = tokio::select! {
                input = self.inputs.recv() => input,
                () = tokio::time::sleep(wait) => None,
            };
            let owned = self.agent.is_owned();
            match input {
                Some(input) => self.input(input),
                None => self.step(Event::Tick),
            }
            if owned != self.agent.is_owned() {
                tracing::info!(owned = !owned, "ownership changed");
            }
            self.check_drained();
        }
    }

    fn input(&mut self, input: Input) {
        match input {
            Input::Command(command, reply) => {
                self.asked += 1;
                let ask = self.asked;
                self.asks.insert(ask, reply);
                self.step(Event::Command { ask, command });
            }
            Input::Answered { send, answer } => self.step(Event::Answered { send, answer }),
            Input::Exited { attempt, end } => {
                self.tasks.remove(&attempt);
                self.services.end(attempt);
                self.log.add(WorkerEvent::Ended {
                    attempt,
                    end: end.clone(),
                });
                self.step(Event::Exited { attempt, end });
            }
            Input::Usage { attempt, usage } => self.step(Event::Usage { attempt, usage }),
            Input::Leave => {
                tracing::info!("leaving");
                self.step(Event::Leave);
            }
            Input::Mute(muted) => self.muted = muted,
            Input::Dump(reply) => {
                let _ = reply.send(self.agent.dump());
            }
            Input::Drained(reply) => self.drained.push(reply),
        }
    }

    fn step(&mut self, event: Event) {
        for action in self.agent.step(event, crate::now()) {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Send {
                send,
                addr,
                message,
            } => self.send(send, addr, message),
            Action::Reply { ask, reply } => {
                if let Some(tx) = self.asks.remove(&ask) {
                    // The caller may have gone; the command was carried out all the same.
                    let _ = tx.send(reply);
                }
            }
            Action::Run { attempt, task } => self.start(attempt, task),
            Action::Kill {
                attempt,
                checkpoint,
            } => self.control(attempt, Control::Kill { checkpoint }),
            Action::Fence { attempts } => {
                tracing::warn!(
                    count = attempts.len(),
                    "task lease lapsed, tasks are stopped"
                );
                for attempt in attempts {
                    self.control(attempt, Control::Kill { checkpoint: false });
                }
            }
            Action::Throttle { attempt, cpu } => self.control(attempt, Control::Throttle { cpu }),
            Action::Checkpoint { attempt } => self.control(attempt, Control::Checkpoint),
        }
    }

    fn control(&self, attempt: AttemptId, order: Control) {
        if let Some(tx) = self.tasks.get(&attempt) {
            // A task that has just ended by itself needs no order.
            let _ = tx.send(order);
        }
    }

    fn send(&self, send: u64, addr: String, message: Message) {
        if self.muted {
            // The agent's own timeout reports the message as lost.
            return;
        }
        let (client, sender) = (self.client.clone(), self.sender.clone());
        let token = self.token.clone();
        tokio::spawn(async move {
            let exchange = link::exchange(&client, &addr, &message);
            if let Some(answer) = token.run_until_cancelled(exchange).await {
                let _ = sender.send(Input::Answered { send, answer });
            }
        });
    }

    fn start(&mut self, attempt: AttemptId, task: Box<Task>) {
        self.log.add(WorkerEvent::Started {
            attempt,
            team: task.team,
            need: task.need,
            repeat: task.repeat,
        });
        if let Some(service) = task.service {
            let load = Load::of(&task);
            self.services.start(service, attempt, &load, &self.service);
        }
        let (tx, control) = mpsc::unbounded_channel();
        self.tasks.insert(attempt, tx);
        let sim = Sim {
            attempt,
            task,
            faults: self.faults.borrow().clone(),
            sample_interval: self.sample_interval,
            control,
            shell: self.sender.clone(),
        };
        let token = self.token.clone();
        tokio::spawn(async move { token.run_until_cancelled(sim.run()).await });
    }

    fn check_drained(&mut self) {
        if self.drained.is_empty() || !self.agent.is_idle() || self.services.held() > 0 {
            return;
        }
        if self.agent.is_leave_known() {
            for reply in self.drained.drain(..) {
                let _ = reply.send(());
            }
        }
    }
}
