//! Property test with random orders of messages. Each operation checks these invariants:
//!
//! - P1: the attempts on a worker fit its capacity, and each running attempt is charged.
//! - P2: no task runs in two places.
//! - P4: no team exceeds its allotment.
//! - P7: a task that must not be repeated runs at most once, after its dispatch was recorded.
//! - Gangs start as a whole.

#[cfg(test)]
mod common;
#[cfg(test)]
mod net;

use common::job;
use common::profile;
use common::resources;
use common::team;
use net::SimCluster;
use proptest::prelude::*;
use zinnia_types::Class;
use zinnia_types::Job;
use zinnia_types::Urgency;

/// One operation on the simulated cluster. A number picks the worker, job, attempt or message.
#[derive(Clone, Debug)]
enum Op {
    Deliver(usize),
    Duplicate(usize),
    /// Loses a command, or only its answer if the flag is set.
    Lose(usize, bool),
    TimeOut(usize),
    Submit(usize),
    Cancel(usize),
    /// Ends an attempt; the flag tells whether it succeeds.
    End(usize, bool),
    ExpireLease(usize),
    Announce(usize),
    /// Restarts a worker; the flag tells whether the owner is notified.
    Reboot(usize, bool),
    Leave(usize),
    /// Sends a heartbeat; the flag tells whether it lists everything that runs.
    Heartbeat(usize, bool),
    /// Sets the processor part of the allotment of a team.
    SetAllotment(usize, u64),
    Takeover,
    /// Advances the virtual time by milliseconds.
    Advance(u64),
}

fn operation() -> impl Strategy<Value = Op> {
    let n = 0..64_usize;
    prop_oneof![
        24 => n.clone().prop_map(Op::Deliver),
        4 => n.clone().prop_map(Op::Duplicate),
        3 => (n.clone(), any::<bool>()).prop_map(|(n, b)| Op::Lose(n, b)),
        2 => n.clone().prop_map(Op::TimeOut),
        10 => n.clone().prop_map(Op::Submit),
        1 => n.clone().prop_map(Op::Cancel),
        8 => (n.clone(), prop::bool::weighted(0.7)).prop_map(|(n, b)| Op::End(n, b)),
        1 => n.clone().prop_map(Op::ExpireLease),
        2 => n.clone().prop_map(Op::Announce),
        1 => (n.clone(), any::<bool>()).prop_map(|(n, b)| Op::Reboot(n, b)),
        1 => n.clone().prop_map(Op::Leave),
        4 => (n.clone(), any::<bool>()).prop_map(|(n, b)| Op::Heartbeat(n, b)),
        1 => (n, 0..8_000_u64).prop_map(|(n, cpu)| Op::SetAllotment(n, cpu)),
        1 => Just(Op::Takeover),
        8 => (1..4_000_u64).prop_map(Op::Advance),
    ]
}

/// A job whose class, urgency and size are derived from `n`.
fn generate_job(n: usize, seq: usize) -> Job {
    let class = [Class::Batch, Class::Batch, Class::Gang, Class::Service][n % 4];
    let urgency = [Urgency::Low, Urgency::Normal, Urgency::Urgent][n / 4 % 3];
    let team_name = ["a", "b"][n / 2 % 2];
    Job {
        class,
        urgency,
        tasks: 1 + (n as u32 / 3) % 3,
        need: resources(500 + 500 * (n as u64 % 5), 512, 0),
        // Services end when the simulation drains, so they too may be unrepeatable.
        repeat: !n.is_multiple_of(3),
        ..job(&format!("j{seq}"), team_name)
    }
}

fn run_operations(ops: &[Op]) -> usize {
    let profiles = (0..4)
        .map(|n| profile(n, resources(4_000, 4_096, 0)))
        .collect();
    let limit = resources(8_000, 1_000_000, 0);
    let mut cluster = SimCluster::new(profiles, &[(team("a"), 2, limit), (team("b"), 1, limit)]);
    for (seq, op) in ops.iter().enumerate() {
        match *op {
            Op::Deliver(n) => cluster.deliver(n),
            Op::Duplicate(n) => cluster.duplicate(n),
            Op::Lose(n, arrives) => cluster.lose(n, arrives),
            Op::TimeOut(n) => cluster.time_out(n),
            Op::Submit(n) => cluster.submit(generate_job(n, seq)),
            Op::Cancel(n) => cluster.cancel(n),
            Op::End(n, success) => cluster.end(n, success),
            Op::ExpireLease(n) => cluster.expire_lease(n),
            Op::Announce(n) => cluster.announce(n),
            Op::Reboot(n, notified) => cluster.reboot(n, notified),
            Op::Leave(n) => cluster.leave(n),
            Op::Heartbeat(n, full) => cluster.heartbeat(n, full),
            Op::SetAllotment(n, cpu) => cluster.set_allotment(n, resources(cpu, 1_000_000, 0)),
            Op::Takeover => cluster.takeover(),
            Op::Advance(ms) => cluster.advance(ms),
        }
    }
    cluster.drain();
    cluster.starts
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against violated invariants and jobs that never end when messages are delayed,
    /// duplicated, reordered or lost.
    #[test]
    fn invariants_hold_in_any_message_order(ops in prop::collection::vec(operation(), 1..200)) {
        run_operations(&ops);
    }
}

/// Guards against a simulation in which nothing is started, so that the property holds trivially.
#[test]
fn simulation_starts_tasks() {
    let ops: Vec<Op> = (0..200)
        .map(|n| match n % 4 {
            0 => Op::Submit(n),
            3 => Op::End(n, true),
            _ => Op::Deliver(0),
        })
        .collect();
    assert!(run_operations(&ops) > 50);
}
