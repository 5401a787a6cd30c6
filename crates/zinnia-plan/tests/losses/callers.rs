//! Callers that cancel jobs: their submissions and cancellations arrive at any time, in any order and repeatedly.

use rand::Rng;
use zinnia_plan::LeaseChanges;
use zinnia_plan::Record;
use zinnia_types::JobId;

use crate::network::Event;
use crate::network::MAX_DELAY_MS;
use crate::schedule::Class;
use crate::sim::Sim;
use crate::worker::Work;

/// Time without an answer after which a caller repeats a cancellation.
const CANCEL_RETRY_MS: u64 = 1_000;
/// Interval between two attempts to find a leader.
const RETRY_MS: u64 = 100;
/// Share of the jobs that are cancelled.
const CANCELLED_SHARE: f64 = 0.4;

impl Sim {
    /// Hands a job in as a caller does who may cancel it. Returns whether such callers are part of the schedule.
    pub(crate) fn submit_by_caller(&mut self, id: JobId, work: Work) -> bool {
        if self.schedule.class != Class::Cancellations || !self.rng.random_bool(CANCELLED_SHARE) {
            return false;
        }
        let record = self.new_job(id, work);
        let copies = self.rng.random_range(1..3);
        for _ in 0..copies {
            let at = self.now + self.arrival_ms();
            self.push(at, Event::Submission(record.clone()));
        }
        let at = self.now + self.arrival_ms().min(5_000);
        self.push(at, Event::Cancellation(id));
        true
    }

    fn arrival_ms(&mut self) -> u64 {
        match self.rng.random_bool(0.5) {
            true => self.rng.random_range(1..100),
            false => self.rng.random_range(1..MAX_DELAY_MS),
        }
    }

    /// A submission arrives; its caller may have given up long ago.
    pub(crate) fn receive_submission(&mut self, record: Record) {
        match self.cell.acting(self.now) {
            Some(member) => {
                let changes = LeaseChanges::default();
                self.cell.propose(member, vec![record], changes, self.now);
            }
            None => self.push(self.now + RETRY_MS, Event::Submission(record)),
        }
    }

    /// A caller cancels its job, until that is answered.
    pub(crate) fn receive_cancellation(&mut self, id: JobId) {
        if self.checks.is_cancelled(id) {
            return;
        }
        let Some(member) = self.cell.acting(self.now) else {
            self.push(self.now + RETRY_MS, Event::Cancellation(id));
            return;
        };
        let records = vec![Record::Cancel(id)];
        self.cell
            .propose(member, records, LeaseChanges::default(), self.now);
        self.push(self.now + CANCEL_RETRY_MS, Event::Cancellation(id));
    }
}
