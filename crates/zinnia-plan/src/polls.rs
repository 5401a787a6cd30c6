//! Polls, which ask workers for the state of their runs and renew their leases.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use zinnia_types::Time;

use crate::End;
use crate::Leader;
use crate::Plan;
use crate::Poll;
use crate::Record;
use crate::Report;
use crate::ResumedRenewal;
use crate::State;
use crate::TaskId;
use crate::Worker;
use crate::slow_workers::Pace;
use crate::worker_view::OrderState;
use crate::worker_view::Progress;
use crate::worker_view::WorkerView;
use crate::worker_view::current_workers;

impl Leader {
    pub(crate) fn poll_workers(&mut self, state: &State, now: Time, plan: &mut Plan) {
        let lease = self.grant_ms(state);
        let wait = self.settings.poll_wait_ms;
        let retry_ms = self.settings.retry_ms;
        let mut idle_polls = self.views.values().filter(|v| v.has_open_idle_poll).count();
        for (name, view, worker) in current_workers(&mut self.views, state) {
            if view.open_poll.is_some() || now < view.next_poll {
                continue;
            }
            let unconfirmed = view.confirmed_fence < view.fence;
            let is_idle = worker.runs.is_empty() && view.strays.is_empty();
            if is_idle && (!unconfirmed || idle_polls >= self.settings.max_idle_polls) {
                continue;
            }
            let answers = view.failed_calls == 0 && view.knows_clock() && !worker.left;
            if answers && !is_idle && (worker.silence.is_some() || view.stop_proposed.is_some()) {
                // The next poll renews the lease, and an entry must allow that before.
                view.next_poll = now.after(retry_ms);
                plan.lease_changes.resumed.push(ResumedRenewal {
                    worker: name.to_owned(),
                    born: view.born,
                });
                continue;
            }
            idle_polls += usize::from(is_idle);
            view.has_open_idle_poll = is_idle;
            view.open_poll = Some(now);
            // A poll without an answer may still have renewed the lease. After a failure the polls
            // request no renewal, since otherwise the lease could never be known to have expired.
            let may_renew = view.failed_calls == 0 && view.stop_proposed.is_none() && !worker.left;
            let deadline_ms = match may_renew {
                true => view.deadline(lease, now),
                false => None,
            };
            plan.polls.push(Poll {
                worker: name.to_owned(),
                born: view.born,
                addr: worker.incarnation.addr.clone(),
                fence: view.fence,
                acked_end: worker.acked_end,
                deadline_ms,
                wait_ms: if unconfirmed || view.failed_calls > 0 {
                    0
                } else {
                    wait
                },
                is_idle,
                sent_at: now,
            });
        }
    }

    /// Processes the answer to a poll, or `None` without one; returns the records to propose.
    pub fn poll_answered(
        &mut self,
        state: &State,
        poll: &Poll,
        report: Option<&Report>,
        now: Time,
    ) -> Vec<Record> {
        let retry_ms = self.settings.retry_ms;
        let Some(view) = self.views.get_mut(&poll.worker) else {
            return Vec::new();
        };
        if view.born != poll.born || view.open_poll != Some(poll.sent_at) {
            return Vec::new();
        }
        view.close_poll();
        let Some(report) = report else {
            view.failed_calls += 1;
            view.next_poll = now.after(retry_ms);
            return Vec::new();
        };
        view.failed_calls = 0;
        view.last_heard = now;
        view.read_clock(report.clock_ms, now);
        if view.confirmed_fence == 0 {
            let remaining_ms = view.inherited.remaining_ms(now);
            view.extend_deadline(report.clock_ms.saturating_add(remaining_ms));
        }
        view.confirmed_fence = view.confirmed_fence.max(poll.fence);
        view.lease_expired = false;
        view.predecessor = None;
        view.next_poll = now;
        let Some(worker) = state.workers.get(&poll.worker) else {
            return Vec::new();
        };
        let is_new = |end: &&End| end.number > worker.acked_end;
        let ends: Vec<End> = report.ended.iter().filter(is_new).cloned().collect();
        view.apply_report(report, now);
        if self.settings.slow_workers.enabled {
            view.is_slow = self.run_times.judge(state, &mut view.progress);
            if view.is_slow {
                view.suspect_until = view.suspect_until.max(now.after(self.settings.suspect_ms));
            }
        }
        view.find_strays(report, worker);
        let lost_runs = view.lost_runs(poll, report, worker);
        let mut records = Vec::new();
        if let Some(upto) = ends.iter().map(|end| end.number).max() {
            records.push(Record::Ends {
                worker: poll.worker.clone(),
                born: poll.born,
                upto,
                list: ends,
            });
            // A poll before the ends are stored would return the same ends again.
            view.next_poll = now.after(retry_ms);
        }
        if !lost_runs.is_empty() {
            records.push(Record::Release(lost_runs));
        }
        records
    }

    /// Processes the answer of another worker to a poll; returns the record to propose.
    ///
    /// Only one process can listen on an address, so the polled incarnation has ended, and its runs with it. A
    /// heartbeat with the same address does not show that, since it may come from another writer. Nor does the
    /// answer if the polled incarnation is only known from such a heartbeat: the runs are those of an earlier
    /// one, which may have another address.
    pub fn poll_misdirected(&mut self, state: &State, poll: &Poll, now: Time) -> Option<Record> {
        let worker = state.workers.get(&poll.worker)?;
        let view = self.views.get_mut(&poll.worker)?;
        if view.born != poll.born || worker.incarnation.born != poll.born {
            return None;
        }
        let was_here = worker.replaced_ms.is_none() || worker.answer_entry.is_some();
        if !was_here && view.confirmed_fence == 0 && !worker.runs.is_empty() {
            let records = self.poll_answered(state, poll, None, now);
            debug_assert!(records.is_empty(), "a failed poll results in no records");
            return None;
        }
        view.close_poll();
        view.next_poll = now.after(self.settings.retry_ms);
        Some(Record::Replaced {
            worker: poll.worker.clone(),
            born: poll.born,
        })
    }

    /// Makes the next poll of a worker due, after its run ends were stored.
    pub fn ends_acked(&mut self, worker: &str, now: Time) {
        if let Some(view) = self.views.get_mut(worker) {
            view.next_poll = view.next_poll.min(now);
        }
    }

    /// Records whether a run failed. A worker on which several jobs fail becomes suspect.
    pub fn record_result(&mut self, worker: &str, task: TaskId, failed: bool, now: Time) {
        let (jobs, ms) = (self.settings.suspect_jobs, self.settings.suspect_ms);
        let Some(view) = self.views.get_mut(worker) else {
            return;
        };
        if !failed {
            view.failed_jobs.clear();
            return;
        }
        view.failed_jobs.insert(task.job);
        if view.failed_jobs.len() >= jobs {
            view.suspect_until = now.after(ms);
            view.failed_jobs.clear();
        }
    }
}

impl WorkerView {
    /// Returns the assigned runs that the worker certainly does not run and will not start. If that
    /// is still open for one, the next poll has a higher fencing token, which decides it.
    fn lost_runs(
        &mut self,
        poll: &Poll,
        report: &Report,
        worker: &Worker,
    ) -> Vec<(TaskId, u32, String)> {
        let mut lost_runs = Vec::new();
        if report.partial {
            return lost_runs;
        }
        let running = report.running.iter().map(|r| (r.task, r.run));
        let ended = report.ended.iter().map(|e| (e.task, e.run));
        let listed: BTreeSet<(TaskId, u32)> = running.chain(ended).collect();
        let mut unresolved = false;
        for &(task, run) in worker.runs.difference(&listed) {
            let order = self.orders.get(&(task, run));
            let settled = order.is_none_or(|o| {
                o.fence < poll.fence
                    || matches!(o.state, OrderState::Accepted { at, .. } if at < poll.sent_at)
            });
            if settled && order.is_none_or(|o| o.state != OrderState::Open) {
                lost_runs.push((task, run, String::new()));
            } else if order.is_some_and(|o| o.state == OrderState::Unknown) {
                unresolved = true;
            }
        }
        if unresolved && self.fence == poll.fence {
            self.fence += 1;
        }
        lost_runs
    }

    /// Records the runs that the worker has without an assignment. A delayed order may start one on an incarnation
    /// that does not know the fencing token which had settled the order.
    fn find_strays(&mut self, report: &Report, worker: &Worker) {
        let running = report.running.iter().map(|r| (r.task, r.run));
        self.strays = running.filter(|key| !worker.runs.contains(key)).collect();
    }

    /// Reading of the worker's clock when it accepted the start order of a run; `None` if its answer had
    /// none.
    fn accepted_ms(&self, run: (TaskId, u32)) -> Option<u64> {
        match self.orders.get(&run)?.state {
            OrderState::Accepted { clock_ms, .. } => (clock_ms > 0).then_some(clock_ms),
            OrderState::Open | OrderState::Unknown => None,
        }
    }

    /// Records the progress of the reported runs and updates the start orders.
    fn apply_report(&mut self, report: &Report, now: Time) {
        let mut reported = BTreeMap::new();
        for run in &report.running {
            let key = (run.task, run.run);
            if !self.progress.contains_key(&key) {
                self.new_runs.push(key);
            }
            let clock_ms = report.clock_ms;
            let changed_ms = match self.progress.get(&key) {
                Some(p) if p.percent == run.percent => p.changed_ms,
                None if run.percent == 0 => self.accepted_ms(key).unwrap_or(clock_ms),
                _ => clock_ms,
            };
            let known = self.progress.get(&key);
            let progress = Progress {
                percent: run.percent,
                changed_ms,
                reported_ms: clock_ms,
                checkpoint: run.checkpoint.clone(),
                pace: known.map_or_else(|| Pace::new(run.percent, clock_ms), |p| p.pace),
            };
            reported.insert(key, progress);
            if let Some(order) = self.orders.get_mut(&key)
                && order.state == OrderState::Unknown
            {
                order.state = OrderState::Accepted { at: now, clock_ms };
            }
        }
        for end in &report.ended {
            self.orders.remove(&(end.task, end.run));
        }
        self.progress = reported;
    }
}
