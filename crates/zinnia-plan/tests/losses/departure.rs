//! Workers that leave as planned: they drain, deregister, and end.

use rand::Rng;
use zinnia_plan::LeaseChanges;
use zinnia_plan::Record;

use crate::network;
use crate::network::Event;
use crate::network::MAX_DELAY_MS;
use crate::sim::Sim;

/// Time after which a worker tries another process.
const RETRY_MS: u64 = 1_000;
/// Longest time for which a leader holds back the answer until the runs have ended.
const ANSWER_MS: u64 = 700;

/// How an incarnation leaves.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Departure {
    drain_ms: u64,
    wait_ms: u64,
    unanswered: bool,
    back_ms: Option<u64>,
    /// When it deregisters next, once its drain was answered.
    next: Option<u64>,
    /// When it ends without an acknowledgement.
    until: u64,
}

impl Departure {
    pub(crate) fn new(drain_ms: u64, wait_ms: u64, unanswered: bool, back_ms: Option<u64>) -> Self {
        Self {
            drain_ms,
            wait_ms,
            unanswered,
            back_ms,
            next: None,
            until: 0,
        }
    }

    pub(crate) fn drain_answered(&mut self, now: u64) {
        if self.next.is_none() {
            self.next = Some(now + self.drain_ms);
            self.until = now + self.drain_ms + self.wait_ms;
        }
    }
}

/// A deregistration that a leader has received.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OpenRequest {
    machine: usize,
    born: i64,
    member: usize,
    until: u64,
}

impl Sim {
    pub(crate) fn advance_departures(&mut self) {
        for i in 0..self.machines.len() {
            self.advance_departure(i);
        }
        let open = std::mem::take(&mut self.deregistrations);
        for request in open {
            self.answer_deregistration(request);
        }
    }

    fn advance_departure(&mut self, i: usize) {
        let now = self.now;
        let machine = &mut self.machines[i];
        let Some(life) = &machine.life else {
            return;
        };
        let born = life.born;
        let Some(departure) = &mut machine.departure else {
            return;
        };
        if departure.next.is_none_or(|at| now < at) {
            return;
        }
        if now >= departure.until {
            let text = format!("{} ends without an acknowledgement", machine.name);
            self.end_departure(i);
            self.checks.loss(now, now, text);
            return;
        }
        departure.next = Some(now + RETRY_MS);
        let is_cut = now < machine.cut_from;
        self.checks
            .note(now, format!("{} deregisters", machine.name));
        let born = self.rng.random_bool(0.5).then_some(born);
        let deregister = |at| (at, Event::Deregister { machine: i, born });
        let mut copies = Vec::new();
        if !is_cut {
            copies.push(deregister(now + network::latency_ms(&mut self.rng)));
        }
        if self.rng.random_bool(0.1) {
            copies.push(deregister(now + self.rng.random_range(1..MAX_DELAY_MS)));
        }
        for (at, event) in copies {
            self.push(at, event);
        }
    }

    /// A leader receives a deregistration.
    pub(crate) fn receive_deregistration(&mut self, machine: usize, born: Option<i64>) {
        let now = self.now;
        let Some(member) = self.cell.acting(now) else {
            return;
        };
        let name = self.machines[machine].name.clone();
        let state = &self.cell.members[member].state;
        let Some(current) = state.deregistering(&name, born) else {
            return;
        };
        let (born, is_recorded) = (current.incarnation.born, current.left);
        if !is_recorded {
            let record = Record::Deregister { worker: name, born };
            self.cell
                .propose(member, vec![record], LeaseChanges::default(), now);
        }
        self.deregistrations.push(OpenRequest {
            machine,
            born,
            member,
            until: now + ANSWER_MS,
        });
    }

    /// Acknowledges a deregistration if the incarnation has no runs any more.
    fn answer_deregistration(&mut self, request: OpenRequest) {
        let now = self.now;
        let OpenRequest {
            machine,
            born,
            member,
            until,
        } = request;
        if now > until || !self.cell.may_act(member, now) {
            return;
        }
        let name = &self.machines[machine].name;
        let state = &self.cell.members[member].state;
        if state.runs_after_deregistration(name, born) != Some(0) {
            self.deregistrations.push(request);
            return;
        }
        let waits = &self.machines[machine];
        let is_same = waits.life.as_ref().is_some_and(|l| l.born == born);
        let unanswered = waits.departure.is_none_or(|d| d.unanswered);
        if is_same && !unanswered && now >= waits.cut_to {
            let text = format!("{name} is acknowledged and ends");
            self.end_departure(machine);
            self.checks.note(now, text);
        }
    }

    fn end_departure(&mut self, i: usize) {
        let now = self.now;
        let machine = &mut self.machines[i];
        machine.life = None;
        let back_ms = machine.departure.take().and_then(|d| d.back_ms);
        machine.back = back_ms.map(|ms| now + ms);
    }
}
