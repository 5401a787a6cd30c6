//! Start orders: what is sent for a committed start, and what follows from the answer.

use std::sync::Arc;

use zinnia_types::JobId;
use zinnia_types::Time;

use crate::ConfirmedStart;
use crate::Leader;
use crate::Record;
use crate::RunOrder;
use crate::Start;
use crate::StartOrder;
use crate::StartOutcome;
use crate::State;
use crate::StepId;
use crate::worker_view::MAX_ANSWER_DELAY_MS;
use crate::worker_view::OrderState;
use crate::worker_view::SentOrder;

impl Leader {
    /// Builds the order for a committed start. Returns `None` if the job, the task or the
    /// incarnation is gone, or the worker's clock is unknown.
    pub fn prepare_start(&mut self, state: &State, start: &Start, now: Time) -> Option<StartOrder> {
        let job = state.jobs.get(&start.task.job)?;
        state.task(start.task)?;
        let worker = state.workers.get(&start.worker)?;
        let lease = self.grant_ms(state);
        let text = self.order_text(start.task.job, &job.spec.text);
        let view = self.views.get_mut(&start.worker)?;
        let ticket = self
            .decisions
            .get(&StepId::from(start.task))
            .and_then(|d| d.ticket(view.index, now))
            .unwrap_or_default()
            .to_owned();
        if view.born != start.born {
            return None;
        }
        let deadline_ms = match view.stop_proposed {
            // The order must not renew the lease after the entry was proposed.
            Some(_) => view.granted_deadline()?,
            None => view.deadline(lease, now)?,
        };
        // The release of earlier runs does not include this one.
        view.lease_expired = false;
        let order = SentOrder {
            fence: view.fence,
            sent_at: now,
            state: OrderState::Open,
        };
        view.orders.insert((start.task, start.run), order);
        view.next_poll = view.next_poll.min(now.after(self.settings.poll_wait_ms));
        Some(StartOrder {
            common: RunOrder {
                worker: start.worker.clone(),
                born: start.born,
                addr: worker.incarnation.addr.clone(),
                fence: order.fence,
                task: start.task,
                run: start.run,
            },
            text,
            deadline_ms,
            checkpoint: state.checkpoint(start.task).to_owned(),
            ticket,
        })
    }

    /// Text of a job for its orders, which share it: an entry may start very many tasks of one job.
    fn order_text(&mut self, job: JobId, text: &str) -> Arc<str> {
        match &self.last_text {
            Some((known, shared)) if *known == job => Arc::clone(shared),
            _ => {
                let shared: Arc<str> = text.into();
                self.last_text = Some((job, Arc::clone(&shared)));
                shared
            }
        }
    }

    /// Checks a prepared order right before it is sent; `may_act` tells whether no other process can
    /// lead the cell.
    ///
    /// A process that was paused after a start was committed may find that another one leads and has
    /// started the task elsewhere. Then the order is held back and counts as unanswered, so that a
    /// process that still leads after all polls the worker and starts the task anew.
    ///
    /// An order whose failure domain has been taken out of service since is not sent either. Nobody else sends
    /// it, so its run is released at once.
    pub fn confirm_start(
        &mut self,
        state: &State,
        order: StartOrder,
        may_act: bool,
        now: Time,
    ) -> ConfirmedStart {
        if !may_act {
            self.start_answered(&order.common, &StartOutcome::Unknown, now);
            return ConfirmedStart::HeldBack(None);
        }
        if !state.holds_back(&order.common) {
            return ConfirmedStart::Send(order);
        }
        let never_sent = StartOutcome::Refused {
            busy: false,
            ticket: false,
        };
        ConfirmedStart::HeldBack(self.start_answered(&order.common, &never_sent, now))
    }

    /// Processes the outcome of a start order; returns the record to propose.
    pub fn start_answered(
        &mut self,
        order: &RunOrder,
        outcome: &StartOutcome,
        now: Time,
    ) -> Option<Record> {
        let suspect_until = now.after(self.settings.suspect_ms);
        let view = self.views.get_mut(&order.worker)?;
        if let StartOutcome::Refused { ticket: true, .. } = outcome
            && let Some(decisions) = self.decisions.get_mut(&StepId::from(order.task))
        {
            decisions.drop_ticket(view.index);
        }
        if view.born != order.born {
            return None;
        }
        let last_ms = view.last_reading_ms();
        let is_own_clock = |clock_ms: u64| clock_ms.saturating_add(MAX_ANSWER_DELAY_MS) >= last_ms;
        let sent_order = view.orders.get_mut(&(order.task, order.run))?;
        match outcome {
            // The next incarnation, whose clock restarted, may have answered. Its first poll tells.
            StartOutcome::Accepted { clock_ms } if !is_own_clock(*clock_ms) => {
                sent_order.state = OrderState::Unknown;
                view.unanswered.push((order.task, order.run));
                None
            }
            StartOutcome::Accepted { clock_ms } => {
                let clock_ms = *clock_ms;
                sent_order.state = OrderState::Accepted { at: now, clock_ms };
                view.new_runs.push((order.task, order.run));
                view.last_heard = now;
                view.failed_calls = 0;
                view.read_clock(clock_ms, now);
                None
            }
            StartOutcome::Refused { busy, .. } => {
                view.orders.remove(&(order.task, order.run));
                if *busy {
                    view.suspect_until = suspect_until;
                }
                Some(Record::Release(vec![(
                    order.task,
                    order.run,
                    String::new(),
                )]))
            }
            StartOutcome::Unknown => {
                sent_order.state = OrderState::Unknown;
                view.unanswered.push((order.task, order.run));
                // Once the worker has answered the next poll, the higher token rejects the order.
                if sent_order.fence == view.fence {
                    view.fence += 1;
                }
                view.failed_calls += 1;
                view.next_poll = now;
                // The open poll may wait for a run end for a long time. Its answer is ignored.
                view.close_poll();
                None
            }
        }
    }
}
