//! Inflicts the losses of a schedule, and lets the lost come back.

use std::mem;

use rand::Rng;

use crate::cell::wall_ms;
use crate::departure::Departure;
use crate::network::Call;
use crate::network::Event;
use crate::schedule::Class;
use crate::schedule::Fault;
use crate::schedule::Victim;
use crate::sim::Machine;
use crate::sim::Sim;
use crate::sim::WORKERS;
use crate::worker::Clock;
use crate::worker::Incarnation;
use crate::workload::lasting_jobs;
use crate::workload::task_of;

impl Sim {
    pub(crate) fn inflict_faults(&mut self) {
        let now = self.now;
        let due = self.schedule.faults.iter().filter(|(at, _)| *at == now);
        for (_, fault) in due.copied().collect::<Vec<_>>() {
            self.inflict(fault);
        }
    }

    fn inflict(&mut self, fault: Fault) {
        let now = self.now;
        match fault {
            Fault::WorkerLost {
                victim,
                back_ms,
                reset,
            } => {
                let i = self.victim(victim);
                self.lose_worker(i, reset);
                self.machines[i].back = back_ms.map(|ms| now + ms);
            }
            Fault::WorkerLeaves {
                victim,
                drain_ms,
                wait_ms,
                unanswered,
                back_ms,
            } => {
                let i = self.victim(victim);
                let machine = &mut self.machines[i];
                machine.departure = Some(Departure::new(drain_ms, wait_ms, unanswered, back_ms));
                machine.next_beat = now + 1;
                let text = format!("{} is to leave, unanswered: {unanswered}", machine.name);
                self.checks.note(now, text);
            }
            Fault::LeaderLost { back_ms } => {
                if let Some(member) = self.cell.lose_leader(now) {
                    self.restarts.push((now + back_ms, member));
                    self.checks.loss(now, now, format!("leader {member} lost"));
                }
            }
            Fault::StepDown => {
                self.checks.note(now, "leader steps down");
                self.cell.step_down(now);
            }
            Fault::WorkerCut {
                victim,
                to_worker,
                from_worker,
                relayed,
                ms,
            } => {
                let i = self.victim(victim);
                let machine = &mut self.machines[i];
                machine.cut_to = if to_worker { now + ms } else { 0 };
                machine.cut_from = if from_worker { now + ms } else { 0 };
                machine.relayed = relayed;
                machine.last_trouble = now + ms;
                let text = format!("{} cut off for {ms} ms", machine.name);
                self.checks.loss(now, now + ms, text);
            }
            Fault::LeaderCut { ms, frozen } => {
                if let Some(member) = self.cell.cut_leader(now) {
                    if frozen {
                        self.frozen = Some((member, now + ms));
                    }
                    let learns = now + ms + self.rng.random_range(1..50);
                    self.joins.push((learns, member));
                    self.checks.loss(
                        now,
                        now + ms,
                        format!("leader {member} cut off for {ms} ms, frozen: {frozen}"),
                    );
                }
            }
        }
    }

    fn victim(&mut self, victim: Victim) -> usize {
        if let Victim::Holder(index) = victim {
            let job = lasting_jobs().nth(index).expect("the job exists");
            let holds = |m: &Machine| {
                let runs = m.life.as_ref().map(|l| &l.runs);
                runs.is_some_and(|r| r.contains_key(&task_of(job)))
            };
            let holder = self.machines.iter().position(holds);
            self.last_victim = holder.unwrap_or_else(|| self.rng.random_range(0..WORKERS));
        }
        self.last_victim
    }

    fn lose_worker(&mut self, i: usize, reset: bool) {
        let now = self.now;
        let machine = &mut self.machines[i];
        machine.last_trouble = now;
        machine.departure = None;
        let Some(life) = machine.life.take() else {
            return;
        };
        let tasks: Vec<String> = life.runs.keys().map(|t| t.to_string()).collect();
        let text = format!("{} lost with {tasks:?}", machine.name);
        self.checks.loss(now, now, text);
        if reset {
            let calls: Vec<u64> = life.held_calls().collect();
            self.reset_calls(&calls);
        }
    }

    /// Open calls fail at once, since their connections are reset.
    fn reset_calls(&mut self, calls: &[u64]) {
        let now = self.now;
        for event in mem::take(&mut self.events) {
            let ((at, counter), event) = event;
            let is_reset = |call: &Call| calls.contains(&call.id);
            let at = match &event {
                Event::Answer { call, .. } if is_reset(call) => now + 2,
                _ => at,
            };
            self.events.insert((at, counter), event);
        }
    }

    pub(crate) fn recover(&mut self) {
        let now = self.now;
        for i in 0..self.machines.len() {
            if self.machines[i].back == Some(now) {
                self.boot(i);
            }
        }
        let due = self.restarts.iter().filter(|(at, _)| *at == now);
        for (_, member) in due.copied().collect::<Vec<_>>() {
            self.cell.restart(member);
            self.restarted.insert(member, now);
            self.checks.note(now, format!("member {member} back"));
        }
        let due = self.joins.iter().filter(|(at, _)| *at == now);
        for (_, member) in due.copied().collect::<Vec<_>>() {
            self.cell.join_member(member);
            self.checks.note(now, format!("member {member} joined"));
        }
    }

    /// A new incarnation starts.
    fn boot(&mut self, i: usize) {
        let now = self.now;
        let unanswered = self.schedule.class == Class::UnansweredOrders;
        let origin = match unanswered || self.rng.random_bool(0.5) {
            true => self.rng.random_range(1..5_000),
            false => self.rng.random_range(1..10_000_000),
        };
        let clock = Clock {
            origin,
            started: now,
            lag: self.rng.random_range(0..=20),
        };
        // Until the first heartbeat, a late order may meet an incarnation that knows no fencing token.
        let first_ms = if unanswered { 1_500 } else { 300 };
        let first_beat = now + self.rng.random_range(1..first_ms);
        let machine = &mut self.machines[i];
        machine.back = None;
        machine.life = Some(Incarnation::new(wall_ms(now), clock));
        machine.next_beat = first_beat;
        self.checks
            .note(now, format!("{} up", self.machines[i].name));
    }
}
