//! Invariants of the simulated cluster.

use std::collections::BTreeSet;

use zinnia_sched::Event;
use zinnia_types::AttemptId;
use zinnia_types::Resources;
use zinnia_types::WorkerId;

use super::JobRecord;
use super::LIMIT;
use super::SimCluster;

impl SimCluster {
    /// Checks at each start that the usage of the team is within its current allotment.
    pub(super) fn check_allotment(&self, attempt: AttemptId) {
        let team = self.log[&attempt.job].job.team;
        let used = self.sched.team_use(team);
        assert!(
            used.fits(&self.allotments[&team]),
            "P4: {team} uses {used:?}"
        );
    }

    /// Checks that each running attempt is charged and no task runs twice.
    pub(super) fn check(&self) {
        let charged_attempts: BTreeSet<(AttemptId, WorkerId)> =
            self.sched.running().map(|(a, w, _)| (a, w)).collect();
        let mut seen = BTreeSet::new();
        for worker in &self.workers {
            for attempt in worker.running.keys() {
                let key = (attempt.job, attempt.task);
                assert!(seen.insert(key), "P2: {attempt} runs in two places");
                // Attempts of an earlier term are charged only after their worker has reported.
                let current_term = attempt.term == self.term;
                let charged = charged_attempts.contains(&(*attempt, worker.profile.worker));
                assert!(
                    !current_term || charged,
                    "P1: {attempt} runs and is not charged"
                );
            }
        }
    }

    /// Delivers all messages in order and ends all tasks, then checks that every job has ended and
    /// no attempt is charged.
    pub(crate) fn drain(&mut self) {
        for n in 0..self.workers.len() {
            self.workers[n].leaving = false;
            self.announce(n);
        }
        for (team, amount) in self.allotments.clone() {
            let amount = Resources::elementwise_max(&amount, &LIMIT);
            self.allotments.insert(team, amount);
            self.step(Event::Allotment { team, amount });
        }
        for round in 0..400 {
            while !self.in_flight.is_empty() {
                self.deliver(0);
            }
            if round % 2 == 0 {
                self.end(0, true);
            }
            for n in 0..self.workers.len() {
                self.heartbeat(n, false);
            }
            self.advance(1_000);
        }
        let unfinished: Vec<&JobRecord> = self.log.values().filter(|e| !e.ended).collect();
        let names: Vec<&str> = unfinished.iter().map(|e| e.job.name.as_str()).collect();
        assert!(
            names.is_empty(),
            "never ended: {names:?} {}",
            self.sched.dump()
        );
        let leftover: Vec<_> = self.sched.running().collect();
        assert!(leftover.is_empty(), "still charged: {leftover:?}");
    }
}
