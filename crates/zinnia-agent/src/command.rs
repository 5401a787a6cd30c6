//! Commands of the owner, refusals, usage reports and the upkeep of ends and tombstones.

use zinnia_types::AttemptId;
use zinnia_types::Epoch;
use zinnia_types::Resources;
use zinnia_types::Time;
use zinnia_types::worker::Start;
use zinnia_types::worker::StartReply;
use zinnia_types::worker::Stop;
use zinnia_types::worker::StopReply;

use crate::Action;
use crate::Agent;
use crate::Command;
use crate::ControlReply;
use crate::Reply;
use crate::owner::MessageKind;
use crate::tasks::StopReason;

impl Agent {
    pub(crate) fn handle_command(
        &mut self,
        command: Command,
        now: Time,
        actions: &mut Vec<Action>,
    ) -> Reply {
        match command {
            Command::Start(start) => Reply::Start(self.start(start, now, actions)),
            Command::Stop(stop) => Reply::Stop(self.stop(&stop, now, actions)),
            Command::Throttle(t) => {
                let (attempt, cpu) = (t.attempt, t.cpu);
                let action = Action::Throttle { attempt, cpu };
                Reply::Control(self.control(t.epoch, attempt, action, now, actions))
            }
            Command::Checkpoint { epoch, attempt } => {
                let action = Action::Checkpoint { attempt };
                Reply::Control(self.control(epoch, attempt, action, now, actions))
            }
        }
    }

    /// Whether `epoch` is that of the current owner. A command under the offered epoch first makes
    /// its sender the owner.
    fn is_current_epoch(&mut self, epoch: Epoch, now: Time, actions: &mut Vec<Action>) -> bool {
        self.accept_by_command(epoch, now, actions);
        self.owner.as_ref().is_some_and(|o| o.epoch == epoch)
    }

    /// Makes the VM that the pending announcement was sent to the owner if `epoch` is the offered
    /// one.
    ///
    /// Only that VM knows the offered epoch, so a command under it shows that the VM has accepted.
    /// The command may overtake the answer to the announcement, and refusing it as stale would tell
    /// the new owner that it had already been replaced.
    fn accept_by_command(&mut self, epoch: Epoch, now: Time, actions: &mut Vec<Action>) {
        let Some(pending) = &self.pending else {
            return;
        };
        if pending.kind != (MessageKind::Announce { epoch }) || self.owner.is_some() {
            return;
        }
        let (addr, sent) = (pending.addr.clone(), pending.sent);
        let leases = self.settings.leases;
        let expiry = sent.after(leases.owner_ms);
        if now >= expiry {
            return;
        }
        self.set_owner(&addr, epoch, expiry, sent);
        if self.tasks.running.is_empty() {
            // With running tasks, the task lease is extended only by the answer to the announcement.
            self.renew_task_lease(sent, leases.task_ms, now, actions);
        }
    }

    fn start(&mut self, start: Start, now: Time, actions: &mut Vec<Action>) -> StartReply {
        let Start {
            epoch,
            attempt,
            task,
        } = start;
        // Without a task lease the task would have to be fenced at once. The owner no longer renews
        // task leases, so it no longer schedules either.
        if !self.is_current_epoch(epoch, now, actions) || now >= self.task_expiry {
            return StartReply::StaleEpoch;
        }
        if self.tombstones.contains(attempt) {
            return StartReply::Refused;
        }
        if self.tasks.report_state(attempt).is_some() {
            return StartReply::Started;
        }
        if self.leaving {
            return StartReply::Leaving;
        }
        let free = self
            .profile
            .capacity
            .saturating_sub(&self.tasks.allocated());
        if !task.need.fits(&free) {
            return StartReply::NoCapacity { free };
        }
        if self.tasks.ended.len() >= self.settings.reports.max_ends {
            let free = Resources::ZERO;
            return StartReply::NoCapacity { free };
        }
        let task = Box::new(task);
        self.tasks.start(attempt, task.clone(), now);
        self.reports.mark_changed(attempt);
        actions.push(Action::Run { attempt, task });
        StartReply::Started
    }

    fn stop(&mut self, stop: &Stop, now: Time, actions: &mut Vec<Action>) -> StopReply {
        if !self.is_current_epoch(stop.epoch, now, actions) {
            return StopReply::StaleEpoch;
        }
        self.stop_or_refuse(stop.attempt, stop.checkpoint, now, actions);
        if self.tasks.running.contains_key(&stop.attempt) {
            return StopReply::Stopping;
        }
        let ended = self.tasks.ended.get(&stop.attempt);
        StopReply::Stopped {
            end: ended.map(|e| e.end.clone()),
        }
    }

    /// Stops `attempt` if it runs, and otherwise makes sure that it never starts.
    fn stop_or_refuse(
        &mut self,
        attempt: AttemptId,
        checkpoint: bool,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        if let Some(run) = self.tasks.running.get_mut(&attempt) {
            if run.stopping.is_none() {
                run.stopping = Some(StopReason::Command);
                actions.push(Action::Stop {
                    attempt,
                    checkpoint,
                });
            }
        } else if !self.tasks.ended.contains_key(&attempt) {
            self.tombstones.add(attempt, self.offered_epoch, now);
        }
    }

    /// Stops or refuses the attempts that an answer of the owner lists, and reports each refusal.
    pub(crate) fn refuse_attempts(
        &mut self,
        attempts: &[AttemptId],
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        for attempt in attempts {
            self.stop_or_refuse(*attempt, false, now, actions);
            if !self.tasks.running.contains_key(attempt) {
                self.reports.mark_changed(*attempt);
            }
        }
    }

    /// Drops the end of `attempt`, which the owner has recorded durably.
    pub(crate) fn forget_end(&mut self, attempt: AttemptId, now: Time) {
        if self.tasks.ended.remove(&attempt).is_some() {
            self.reports.remove(attempt);
            // A delayed duplicate of the start must not run the attempt again.
            self.tombstones.add(attempt, self.offered_epoch, now);
        }
    }

    /// Emits `action` on a running attempt if the command comes from the current owner.
    fn control(
        &mut self,
        epoch: Epoch,
        attempt: AttemptId,
        action: Action,
        now: Time,
        actions: &mut Vec<Action>,
    ) -> ControlReply {
        if !self.is_current_epoch(epoch, now, actions) {
            return ControlReply::StaleEpoch;
        }
        let running = self.tasks.running.get(&attempt);
        if running.is_none_or(|r| r.stopping.is_some()) {
            return ControlReply::NotRunning;
        }
        actions.push(action);
        ControlReply::Done
    }

    /// Reports a usage sample that differs enough from the last reported usage.
    pub(crate) fn update_usage(&mut self, attempt: AttemptId, usage: Resources, now: Time) {
        let settings = &self.settings.reports;
        let Some(run) = self.tasks.running.get_mut(&attempt) else {
            return;
        };
        let need = run.task.need;
        let exceeds_threshold = |old: u64, new: u64, need: u64| {
            old.abs_diff(new).saturating_mul(100) > need.saturating_mul(settings.threshold_percent)
        };
        let changed = exceeds_threshold(run.usage.cpu, usage.cpu, need.cpu)
            || exceeds_threshold(run.usage.mem, usage.mem, need.mem)
            || exceeds_threshold(run.usage.gpu, usage.gpu, need.gpu);
        if changed && now.since(run.usage_time) >= settings.usage_interval_ms {
            run.usage = usage;
            run.usage_time = now;
            self.reports.mark_changed(attempt);
        }
    }

    /// Handles the owner's acknowledgement of all reports up to `seq`.
    pub(crate) fn acknowledge(&mut self, seq: u64, now: Time) {
        for attempt in self.reports.acknowledge(seq) {
            if let Some(ended) = self.tasks.ended.get_mut(&attempt) {
                ended.resend_from = now;
            }
        }
    }

    /// Reports an end again when the owner acknowledged it `resend_ms` ago and has not sent `forget`.
    pub(crate) fn resend_ends(&mut self, now: Time) {
        let interval = self.settings.reports.resend_ms;
        for (attempt, ended) in &mut self.tasks.ended {
            if now.since(ended.resend_from) >= interval && !self.reports.is_unacknowledged(*attempt)
            {
                self.reports.mark_changed(*attempt);
            }
        }
    }

    /// Drops tombstones beyond the bounds and ends the current epoch if that alone makes room.
    pub(crate) fn trim_tombstones(&mut self, now: Time) {
        let bounds = &self.settings.tombstones;
        let current = self.owner.as_ref().map(|o| o.epoch);
        // Without an owner, all epochs up to the last offered one have ended, except for the epoch
        // of a pending announcement.
        let current = current.unwrap_or(match &self.pending {
            Some(_) => self.offered_epoch,
            None => Epoch(self.offered_epoch.0 + 1),
        });
        self.tombstones.trim(bounds, current, now);
        if !self.tombstones.needs_new_epoch(bounds, now) {
            return;
        }
        // The remaining tombstones can be dropped only after their epoch. The worker ends the epoch
        // and offers the next one to the same owner, and to no other VM before the owner lease
        // expires.
        if self.pending.is_some() {
            return;
        }
        if let Some(owner) = self.owner.take() {
            self.search.restart(None, now);
            self.renewing_owner = Some((owner.addr, owner.expiry));
        }
    }
}
