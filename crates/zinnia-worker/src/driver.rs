//! Event loop that drives the agent and performs its actions.

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
use crate::ServiceSettings;
use crate::SimPayload;
use crate::WorkerEvent;
use crate::event_log::EventLog;
use crate::input::DriverInput;
use crate::service::Services;
use crate::sim_task::SimTask;
use crate::sim_task::TaskControl;
use crate::vm_client;

/// The agent with everything that its actions need.
pub(crate) struct Driver {
    pub(crate) agent: Agent,
    pub(crate) client: Client,
    pub(crate) input_rx: mpsc::UnboundedReceiver<DriverInput>,
    pub(crate) input_tx: mpsc::UnboundedSender<DriverInput>,
    pub(crate) services: Services,
    pub(crate) service_settings: ServiceSettings,
    pub(crate) sample_interval: Duration,
    pub(crate) faults: watch::Receiver<FaultInjection>,
    pub(crate) event_log: EventLog,
    pub(crate) token: CancellationToken,
    /// Control channels of running tasks.
    pub(crate) tasks: BTreeMap<AttemptId, mpsc::UnboundedSender<TaskControl>>,
    /// Reply channels of commands by command id.
    pub(crate) replies: BTreeMap<u64, oneshot::Sender<Reply>>,
    /// Id of the last command.
    pub(crate) last_command: u64,
    pub(crate) heartbeats_paused: bool,
    /// Channels to notify once the worker has drained.
    pub(crate) drain_waiters: Vec<oneshot::Sender<()>>,
}

impl Driver {
    /// Runs until the worker is stopped.
    pub(crate) async fn run(mut self) {
        let token = self.token.clone();
        token.run_until_cancelled(self.process_inputs()).await;
    }

    async fn process_inputs(&mut self) {
        loop {
            let now = crate::now();
            let wait = Duration::from_millis(self.agent.next_tick(now).since(now));
            let input = tokio::select! {
                input = self.input_rx.recv() => input,
                () = tokio::time::sleep(wait) => None,
            };
            let owned = self.agent.is_owned();
            match input {
                Some(input) => self.handle_input(input),
                None => self.step(Event::Tick),
            }
            if owned != self.agent.is_owned() {
                tracing::info!(owned = !owned, "ownership changed");
            }
            self.notify_drained();
        }
    }

    fn handle_input(&mut self, input: DriverInput) {
        match input {
            DriverInput::Command(command, reply) => {
                self.last_command += 1;
                let command_id = self.last_command;
                self.replies.insert(command_id, reply);
                self.step(Event::Command {
                    command_id,
                    command,
                });
            }
            DriverInput::SendCompleted {
                message_id,
                outcome,
            } => self.step(Event::SendCompleted {
                message_id,
                outcome,
            }),
            DriverInput::Exited { attempt, end } => {
                self.tasks.remove(&attempt);
                self.services.remove_attempt(attempt);
                self.event_log.add(WorkerEvent::Ended {
                    attempt,
                    end: end.clone(),
                });
                self.step(Event::Exited { attempt, end });
            }
            DriverInput::Usage { attempt, usage } => self.step(Event::Usage { attempt, usage }),
            DriverInput::Leave => {
                tracing::info!("leaving");
                self.step(Event::Leave);
            }
            DriverInput::PauseHeartbeats(paused) => self.heartbeats_paused = paused,
            DriverInput::Dump(reply) => {
                let _ = reply.send(self.agent.dump());
            }
            DriverInput::WaitDrained(reply) => self.drain_waiters.push(reply),
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
                message_id,
                addr,
                message,
            } => self.send(message_id, addr, message),
            Action::Reply { command_id, reply } => {
                if let Some(tx) = self.replies.remove(&command_id) {
                    // The command was carried out even if the caller has disconnected.
                    let _ = tx.send(reply);
                }
            }
            Action::Run { attempt, task } => self.start_task(attempt, task),
            Action::Stop {
                attempt,
                checkpoint,
            } => self.control(attempt, TaskControl::Stop { checkpoint }),
            Action::Fence { attempts } => {
                tracing::warn!(count = attempts.len(), "task lease expired; stopping tasks");
                for attempt in attempts {
                    self.control(attempt, TaskControl::Stop { checkpoint: false });
                }
            }
            Action::Throttle { attempt, cpu } => {
                self.control(attempt, TaskControl::Throttle { cpu });
            }
            Action::Checkpoint { attempt } => self.control(attempt, TaskControl::Checkpoint),
        }
    }

    fn control(&self, attempt: AttemptId, command: TaskControl) {
        if let Some(tx) = self.tasks.get(&attempt) {
            // Sending fails if the task has just ended by itself, and then nothing is left to do.
            let _ = tx.send(command);
        }
    }

    fn send(&self, message_id: u64, addr: String, message: Message) {
        if self.heartbeats_paused {
            // The message counts as unanswered once the agent's timeout has passed.
            return;
        }
        let (client, input_tx) = (self.client.clone(), self.input_tx.clone());
        let token = self.token.clone();
        tokio::spawn(async move {
            let send = vm_client::send_message(&client, &addr, &message);
            if let Some(outcome) = token.run_until_cancelled(send).await {
                let _ = input_tx.send(DriverInput::SendCompleted {
                    message_id,
                    outcome,
                });
            }
        });
    }

    fn start_task(&mut self, attempt: AttemptId, task: Box<Task>) {
        self.event_log.add(WorkerEvent::Started {
            attempt,
            team: task.team,
            need: task.need,
            repeat: task.repeat,
        });
        if let Some(service) = task.service {
            let payload = SimPayload::from_task(&task);
            self.services
                .add_attempt(service, attempt, &payload, &self.service_settings);
        }
        let (tx, control) = mpsc::unbounded_channel();
        self.tasks.insert(attempt, tx);
        let sim_task = SimTask {
            attempt,
            task,
            faults: self.faults.borrow().clone(),
            sample_interval: self.sample_interval,
            control,
            input_tx: self.input_tx.clone(),
        };
        let token = self.token.clone();
        tokio::spawn(async move { token.run_until_cancelled(sim_task.run()).await });
    }

    fn notify_drained(&mut self) {
        if self.drain_waiters.is_empty() || !self.agent.is_idle() || self.services.in_flight() > 0 {
            return;
        }
        if self.agent.is_leave_acknowledged() {
            for reply in self.drain_waiters.drain(..) {
                let _ = reply.send(());
            }
        }
    }
}
