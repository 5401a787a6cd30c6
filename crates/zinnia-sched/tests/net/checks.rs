//! What must hold after each message, and in the end.

use std::collections::BTreeSet;

use zinnia_sched::Event;
use zinnia_types::AttemptId;
use zinnia_types::Resources;
use zinnia_types::WorkerId;

use super::Entry;
use super::LIMIT;
use super::Net;

impl Net {
    /// At each start, the use of its team stays within the allotment of that moment.
    pub(super) fn check_allotment(&self, attempt: AttemptId) {
        let team = self.log[&attempt.job].job.team;
        let used = self.sched.team_use(team);
        assert!(used.fits(&self.allots[&team]), "P4: {team} uses {used:?}");
    }

    /// What runs is charged, and nothing runs twice.
    pub(super) fn check(&self) {
        let known: BTreeSet<(AttemptId, WorkerId)> =
            self.sched.running().map(|(a, w, _)| (a, w)).collect();
        let mut seen = BTreeSet::new();
        for machine in &self.machines {
            for attempt in machine.running.keys() {
                let key = (attempt.job, attempt.task);
                assert!(seen.insert(key), "P2: {attempt} runs in two places");
                // Attempts of an earlier owner are charged once their worker has reported.
                let own = attempt.term == self.term;
                let charged = known.contains(&(*attempt, machine.profile.worker));
                assert!(!own || charged, "P1: {attempt} runs and is not charged");
            }
        }
    }

    /// Lets everything arrive in order and every task end, and checks that nothing is left over.
    pub(crate) fn drain(&mut self) {
        for n in 0..self.machines.len() {
            self.machines[n].leaving = false;
            self.announce(n);
        }
        for (team, amount) in self.allots.clone() {
            let amount = Resources::max(&amount, &LIMIT);
            self.allots.insert(team, amount);
            self.give(Event::Allotment { team, amount });
        }
        for round in 0..400 {
            while !self.flight.is_empty() {
                self.deliver(0);
            }
            if round % 2 == 0 {
                self.end(0, true);
            }
            for n in 0..self.machines.len() {
                self.heartbeat(n, false);
            }
            self.pass(1_000);
        }
        let open: Vec<&Entry> = self.log.values().filter(|e| !e.ended).collect();
        let names: Vec<&str> = open.iter().map(|e| e.job.name.as_str()).collect();
        assert!(
            names.is_empty(),
            "never ended: {names:?} {}",
            self.sched.dump()
        );
        let left: Vec<_> = self.sched.running().collect();
        assert!(left.is_empty(), "still charged: {left:?}");
    }
}
