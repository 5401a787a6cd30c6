//! The agent state machine: event handling, lease expiry, announcements and heartbeats.

use serde_json::Value;
use serde_json::json;
use zinnia_types::AttemptId;
use zinnia_types::Code;
use zinnia_types::Epoch;
use zinnia_types::Time;
use zinnia_types::worker::Announce;
use zinnia_types::worker::AnnounceReply;
use zinnia_types::worker::AttemptReport;
use zinnia_types::worker::Heartbeat;
use zinnia_types::worker::HeartbeatReply;
use zinnia_types::worker::TaskState;
use zinnia_types::worker::WorkerProfile;

use crate::Action;
use crate::Event;
use crate::Message;
use crate::SendOutcome;
use crate::Settings;
use crate::jitter::Jitter;
use crate::owner::MessageKind;
use crate::owner::Owner;
use crate::owner::PendingMessage;
use crate::report_queue::ReportQueue;
use crate::search::OwnerSearch;
use crate::tasks::Tasks;
use crate::tombstones::Tombstones;

/// Worker-side state machine that tracks the owner, leases, task attempts and tombstones.
#[derive(Clone, Debug)]
pub struct Agent {
    pub(crate) settings: Settings,
    pub(crate) profile: WorkerProfile,
    pub(crate) tasks: Tasks,
    pub(crate) tombstones: Tombstones,
    pub(crate) reports: ReportQueue,
    pub(crate) owner: Option<Owner>,
    pub(crate) pending: Option<PendingMessage>,
    pub(crate) search: OwnerSearch,
    jitter: Jitter,
    /// Epoch of the latest announcement.
    pub(crate) offered_epoch: Epoch,
    /// Expiry of the task lease; tasks that still run at this time are fenced.
    pub(crate) task_expiry: Time,
    /// Owner whose epoch the worker ended early, with the expiry of its owner lease. Until then only
    /// this VM receives announcements.
    pub(crate) renewing_owner: Option<(String, Time)>,
    /// Whether the worker shuts down gracefully.
    pub(crate) leaving: bool,
    /// Whether the owner has answered a message that carried the leaving flag.
    leave_acknowledged: bool,
    /// Id of the last message that was sent.
    last_message: u64,
}

impl Agent {
    /// Creates an agent that has no owner and runs no tasks.
    pub fn new(settings: Settings, profile: WorkerProfile) -> Self {
        Self {
            search: OwnerSearch::new(&settings.search),
            jitter: Jitter::new(settings.seed),
            offered_epoch: settings.epoch_floor,
            settings,
            profile,
            tasks: Tasks::default(),
            tombstones: Tombstones::default(),
            reports: ReportQueue::default(),
            owner: None,
            pending: None,
            task_expiry: Time(0),
            renewing_owner: None,
            leaving: false,
            leave_acknowledged: false,
            last_message: 0,
        }
    }

    /// Handles one event and returns the resulting actions. `now` must not decrease between calls.
    pub fn step(&mut self, event: Event, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        // Leases expire before the event is handled, so that no event is accepted under an expired
        // lease.
        self.expire(now, &mut actions);
        match event {
            Event::Tick => {}
            Event::SendCompleted {
                message_id,
                outcome,
            } => self.on_send_completed(message_id, outcome, now, &mut actions),
            Event::Command {
                command_id,
                command,
            } => {
                let reply = self.handle_command(command, now, &mut actions);
                actions.push(Action::Reply { command_id, reply });
            }
            Event::Exited { attempt, end } => {
                if self.tasks.record_exit(attempt, end, now) {
                    self.reports.mark_changed(attempt);
                }
            }
            Event::Usage { attempt, usage } => self.update_usage(attempt, usage, now),
            Event::Leave => self.leave(now),
        }
        self.resend_ends(now);
        self.trim_tombstones(now);
        self.send_due(now, &mut actions);
        actions
    }

    /// Time at which the next [`Event::Tick`] is due.
    pub fn next_tick(&self, now: Time) -> Time {
        // Resending ends and dropping old tombstones may be late by up to a heartbeat interval, so
        // their exact times are left out.
        let mut at = now.after(self.settings.leases.heartbeat_ms);
        if let Some(pending) = &self.pending {
            at = at.min(pending.deadline);
        }
        match &self.owner {
            Some(owner) => {
                at = at.min(owner.expiry);
                if self.pending.is_none() {
                    at = at.min(self.heartbeat_due(owner));
                }
            }
            None if self.pending.is_none() => at = at.min(self.search.not_before),
            None => {}
        }
        if !self.tasks.running.is_empty() && self.task_expiry > now {
            at = at.min(self.task_expiry);
        }
        at.max(now.after(1))
    }

    /// Whether no task runs and the owner has acknowledged all reports.
    pub fn is_idle(&self) -> bool {
        self.tasks.running.is_empty() && self.reports.unacknowledged().next().is_none()
    }

    /// Whether the worker is leaving and its owner has acknowledged that.
    pub fn is_leave_acknowledged(&self) -> bool {
        self.leaving && self.leave_acknowledged
    }

    /// Whether the worker has an owner.
    pub fn is_owned(&self) -> bool {
        self.owner.is_some()
    }

    /// Returns the state as JSON for operators and tests.
    pub fn dump(&self) -> Value {
        let running: Vec<Value> = self
            .tasks
            .running
            .iter()
            .map(|(attempt, run)| {
                json!({
                    "attempt": attempt,
                    "team": run.task.team,
                    "need": run.task.need,
                    "usage": run.usage,
                    "stopping": run.stopping.is_some(),
                })
            })
            .collect();
        let ended: Vec<&AttemptId> = self.tasks.ended.keys().collect();
        json!({
            "worker": self.profile.worker,
            "boot": self.profile.boot,
            "owner": self.owner,
            "offered": self.offered_epoch,
            "task_until": self.task_expiry,
            "unreachable": self.search.unreachable,
            "leaving": self.leaving,
            "capacity": self.profile.capacity,
            "used": self.tasks.allocated(),
            "running": running,
            "ended": ended,
            "tombstones": self.tombstones.len(),
        })
    }

    /// Ends expired leases and treats messages past their deadline as unanswered.
    fn expire(&mut self, now: Time, actions: &mut Vec<Action>) {
        if now >= self.task_expiry {
            let attempts = self.tasks.fence_all();
            if !attempts.is_empty() {
                actions.push(Action::Fence { attempts });
            }
        }
        if self.owner.as_ref().is_some_and(|o| now >= o.expiry) {
            self.lose_owner(true, now);
        }
        if self.renewing_owner.as_ref().is_some_and(|(_, t)| now >= *t) {
            self.renewing_owner = None;
            self.search.restart(None, now);
        }
        if self.pending.as_ref().is_some_and(|p| now >= p.deadline)
            && let Some(pending) = self.pending.take()
        {
            self.on_no_response(&pending, now);
        }
    }

    /// Drops the owner and starts the search for a new one. `unresponsive` says that the owner lease
    /// expired because the owner stopped answering.
    pub(crate) fn lose_owner(&mut self, unresponsive: bool, now: Time) {
        let Some(owner) = self.owner.take() else {
            return;
        };
        self.leave_acknowledged = false;
        // The answer to a heartbeat of the old epoch must not be processed.
        self.pending = None;
        let start = now.after(self.jitter.up_to(self.settings.search.jitter_ms));
        let unreachable = unresponsive.then_some(owner.addr.as_str());
        self.search.restart(unreachable, start);
    }

    fn leave(&mut self, now: Time) {
        if self.leaving {
            return;
        }
        self.leaving = true;
        self.leave_acknowledged = false;
        if let Some(owner) = &mut self.owner {
            owner.next_heartbeat = now;
            // The next heartbeat does not wait for the answer to one in flight: if that one is
            // lost, the timeout would delay the notice beyond the 2 s within which a leaving target
            // must stop receiving new work.
            self.pending = None;
        }
    }

    fn on_send_completed(
        &mut self,
        message_id: u64,
        outcome: SendOutcome,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        let Some(pending) = self.pending.take_if(|p| p.message_id == message_id) else {
            // The outcome is late or a duplicate: the message has timed out or was answered before.
            return;
        };
        match outcome {
            SendOutcome::NoResponse => return self.on_no_response(&pending, now),
            _ => self.search.mark_reachable(&pending.addr),
        }
        match (pending.kind, outcome) {
            (MessageKind::Announce { epoch }, SendOutcome::Announce(reply)) => {
                self.on_announce_reply(&pending, epoch, reply, now, actions);
            }
            (MessageKind::Heartbeat { seq }, SendOutcome::Heartbeat(reply)) => {
                self.on_heartbeat_reply(&pending, seq, reply, now, actions);
            }
            (MessageKind::Heartbeat { .. }, SendOutcome::Error(code)) if is_release(code) => {
                self.lose_owner(false, now);
            }
            (MessageKind::Heartbeat { .. }, _) => self.retry_heartbeat(now),
            (MessageKind::Announce { .. }, SendOutcome::Error(code)) if is_release(code) => {
                self.renewing_owner = None;
                self.continue_search(now);
            }
            (MessageKind::Announce { .. }, _) => self.continue_search(now),
        }
    }

    /// Handles the loss of `pending` or of its answer.
    fn on_no_response(&mut self, pending: &PendingMessage, now: Time) {
        match pending.kind {
            MessageKind::Announce { .. } => {
                self.search.mark_unreachable(&pending.addr);
                self.continue_search(now);
            }
            MessageKind::Heartbeat { .. } => self.retry_heartbeat(now),
        }
    }

    /// Backs off if the search round is over. Otherwise the next VM is asked at once.
    fn continue_search(&mut self, now: Time) {
        if self.owner.is_none() {
            let round_over = self.renewing_owner.is_some() || self.search.is_round_over();
            if round_over {
                let settings = &self.settings.search;
                self.search.back_off(settings, &mut self.jitter, now);
            }
        }
    }

    /// Schedules the next heartbeat after a fraction of the interval, well before the lease expires.
    fn retry_heartbeat(&mut self, now: Time) {
        let wait = self.jitter.around(self.settings.leases.heartbeat_ms / 4);
        if let Some(owner) = &mut self.owner {
            owner.next_heartbeat = now.after(wait);
        }
    }

    fn on_announce_reply(
        &mut self,
        pending: &PendingMessage,
        epoch: Epoch,
        reply: AnnounceReply,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        match reply {
            AnnounceReply::Accepted {
                owner,
                owner_ms,
                task_ms,
                vms,
                refuse,
            } => {
                let expiry = pending.sent.after(owner_ms);
                if now >= expiry {
                    // The granted lease expired before the answer arrived.
                    return self.continue_search(now);
                }
                self.set_owner(&pending.addr, epoch, expiry, pending.sent);
                if let Some(current) = &mut self.owner {
                    current.vm = Some(owner);
                }
                self.search.set_vms(&self.settings.search, vms);
                self.renew_task_lease(pending.sent, task_ms, now, actions);
                self.acknowledge(0, now);
                self.leave_acknowledged = pending.leaving;
                self.refuse_attempts(&refuse, now, actions);
            }
            AnnounceReply::Redirect { addr } => {
                self.renewing_owner = None;
                self.lose_owner(false, now);
                let settings = &self.settings.search;
                self.search.redirect(settings, &pending.addr, addr);
                self.continue_search(now);
            }
        }
    }

    /// Makes the VM at `addr` the owner under `epoch`. `sent` is when the announcement with this
    /// epoch was sent, and `expiry` the end of the owner lease.
    pub(crate) fn set_owner(&mut self, addr: &str, epoch: Epoch, expiry: Time, sent: Time) {
        self.renewing_owner = None;
        self.search.on_owner_found();
        self.owner = Some(Owner {
            addr: addr.to_owned(),
            vm: None,
            epoch,
            expiry,
            next_heartbeat: sent.after(self.jitter.around(self.settings.leases.heartbeat_ms)),
            last_heartbeat: sent,
        });
    }

    /// Extends the task lease to `ms` milliseconds after `sent`. Tasks that are fenced already stay
    /// fenced.
    pub(crate) fn renew_task_lease(
        &mut self,
        sent: Time,
        ms: u64,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        self.task_expiry = self.task_expiry.max(sent.after(ms));
        self.expire(now, actions);
    }

    fn on_heartbeat_reply(
        &mut self,
        pending: &PendingMessage,
        seq: u64,
        reply: HeartbeatReply,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        let leases = self.settings.leases;
        let Some(owner) = &mut self.owner else {
            return;
        };
        owner.expiry = owner.expiry.max(pending.sent.after(leases.owner_ms));
        owner.next_heartbeat = pending.sent.after(leases.heartbeat_ms);
        if reply.renew {
            self.renew_task_lease(pending.sent, leases.task_ms, now, actions);
        }
        self.acknowledge(reply.seq.min(seq), now);
        self.leave_acknowledged |= pending.leaving;
        self.refuse_attempts(&reply.refuse, now, actions);
        for attempt in reply.forget {
            self.forget_end(attempt, now);
        }
    }

    /// Time at which the next heartbeat is due; it is early when an end or a refusal is unsent.
    fn heartbeat_due(&self, owner: &Owner) -> Time {
        let urgent = self
            .reports
            .unsent()
            .any(|attempt| !self.tasks.running.contains_key(&attempt));
        if urgent {
            let earliest = owner
                .last_heartbeat
                .after(self.settings.reports.urgent_interval_ms);
            return owner.next_heartbeat.min(earliest);
        }
        owner.next_heartbeat
    }

    /// Sends the heartbeat or announcement that is due, unless a message is in flight.
    fn send_due(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.pending.is_some() {
            return;
        }
        let message = match &self.owner {
            Some(owner) if now >= self.heartbeat_due(owner) => self.heartbeat_message(now),
            None if now >= self.search.not_before => self.announcement(),
            _ => None,
        };
        let Some((addr, kind, message)) = message else {
            return;
        };
        self.last_message += 1;
        let timeout = match kind {
            MessageKind::Announce { .. } => self.settings.search.timeout_ms,
            // With half an interval, four heartbeats fit into the default owner lease.
            MessageKind::Heartbeat { .. } => self.settings.leases.heartbeat_ms / 2,
        };
        self.pending = Some(PendingMessage {
            message_id: self.last_message,
            addr: addr.clone(),
            sent: now,
            deadline: now.after(timeout),
            kind,
            leaving: self.leaving,
        });
        actions.push(Action::Send {
            message_id: self.last_message,
            addr,
            message,
        });
    }

    fn heartbeat_message(&mut self, now: Time) -> Option<(String, MessageKind, Message)> {
        let owner = self.owner.as_mut()?;
        owner.last_heartbeat = now;
        let (addr, epoch) = (owner.addr.clone(), owner.epoch);
        let seq = self.reports.assign_seq();
        let message = Heartbeat {
            worker: self.profile.worker,
            boot: self.profile.boot,
            epoch,
            seq,
            reports: self
                .reports
                .unacknowledged()
                .map(|a| self.report_on(a))
                .collect(),
            leaving: self.leaving,
        };
        Some((
            addr,
            MessageKind::Heartbeat { seq },
            Message::Heartbeat(message),
        ))
    }

    fn announcement(&mut self) -> Option<(String, MessageKind, Message)> {
        let addr = match &self.renewing_owner {
            Some((addr, _)) => addr.clone(),
            None => self.search.next()?,
        };
        self.offered_epoch = Epoch(self.offered_epoch.0 + 1);
        let mut attempts: Vec<AttemptId> = self.tasks.running.keys().copied().collect();
        attempts.extend(self.tasks.ended.keys());
        attempts.extend(
            self.reports
                .unacknowledged()
                .filter(|a| self.tombstones.contains(*a)),
        );
        self.reports.mark_announced();
        let message = Announce {
            profile: self.profile.clone(),
            epoch: self.offered_epoch,
            unreachable: self.search.unreachable.clone(),
            reports: attempts.iter().map(|a| self.report_on(*a)).collect(),
            leaving: self.leaving,
        };
        let kind = MessageKind::Announce {
            epoch: self.offered_epoch,
        };
        Some((addr, kind, Message::Announce(Box::new(message))))
    }

    fn report_on(&self, attempt: AttemptId) -> AttemptReport {
        let state = self
            .tasks
            .report_state(attempt)
            .unwrap_or(TaskState::Refused);
        AttemptReport { attempt, state }
    }
}

/// Whether the error `code` in an answer means that the VM does not own the worker any more.
///
/// A VM that answers so sends no further command under the epoch, so the worker can look for another
/// owner before the owner lease expires.
fn is_release(code: Code) -> bool {
    matches!(code, Code::StaleEpoch | Code::NotFound | Code::Draining)
}
