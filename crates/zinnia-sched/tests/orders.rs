//! Random orders of events keep the promises P1, P2, P4 and P7 and the atomicity of gangs.

#[cfg(test)]
mod common;
#[cfg(test)]
mod net;

use common::job;
use common::profile;
use common::resources;
use common::team;
use net::Net;
use proptest::prelude::*;
use zinnia_types::Class;
use zinnia_types::Job;
use zinnia_types::Urgency;

#[derive(Clone, Debug)]
enum Op {
    Deliver(usize),
    Duplicate(usize),
    Lose(usize, bool),
    TimeOut(usize),
    Submit(usize),
    Cancel(usize),
    End(usize, bool),
    Lapse(usize),
    Announce(usize),
    Reboot(usize, bool),
    Leave(usize),
    Heartbeat(usize, bool),
    Allot(usize, u64),
    Takeover,
    Pass(u64),
}

fn op() -> impl Strategy<Value = Op> {
    let n = 0..64_usize;
    prop_oneof![
        24 => n.clone().prop_map(Op::Deliver),
        4 => n.clone().prop_map(Op::Duplicate),
        3 => (n.clone(), any::<bool>()).prop_map(|(n, b)| Op::Lose(n, b)),
        2 => n.clone().prop_map(Op::TimeOut),
        10 => n.clone().prop_map(Op::Submit),
        1 => n.clone().prop_map(Op::Cancel),
        8 => (n.clone(), prop::bool::weighted(0.7)).prop_map(|(n, b)| Op::End(n, b)),
        1 => n.clone().prop_map(Op::Lapse),
        2 => n.clone().prop_map(Op::Announce),
        1 => (n.clone(), any::<bool>()).prop_map(|(n, b)| Op::Reboot(n, b)),
        1 => n.clone().prop_map(Op::Leave),
        4 => (n.clone(), any::<bool>()).prop_map(|(n, b)| Op::Heartbeat(n, b)),
        1 => (n, 0..8_000_u64).prop_map(|(n, cpu)| Op::Allot(n, cpu)),
        1 => Just(Op::Takeover),
        8 => (1..4_000_u64).prop_map(Op::Pass),
    ]
}

/// Jobs of all classes; `n` picks one.
fn some_job(n: usize, seq: usize) -> Job {
    let class = [Class::Batch, Class::Batch, Class::Gang, Class::Service][n % 4];
    let urgency = [Urgency::Low, Urgency::Normal, Urgency::Urgent][n / 4 % 3];
    let of = ["a", "b"][n / 2 % 2];
    Job {
        class,
        urgency,
        tasks: 1 + (n as u32 / 3) % 3,
        need: resources(500 + 500 * (n as u64 % 5), 512, 0),
        // Services end when the test drains, so they count as work that ends.
        repeat: !n.is_multiple_of(3),
        ..job(&format!("j{seq}"), of)
    }
}

fn run(ops: &[Op]) -> usize {
    let profiles = (0..4)
        .map(|n| profile(n, resources(4_000, 4_096, 0)))
        .collect();
    let limit = resources(8_000, 1_000_000, 0);
    let mut net = Net::new(profiles, &[(team("a"), 2, limit), (team("b"), 1, limit)]);
    for (seq, op) in ops.iter().enumerate() {
        match *op {
            Op::Deliver(n) => net.deliver(n),
            Op::Duplicate(n) => net.duplicate(n),
            Op::Lose(n, arrives) => net.lose(n, arrives),
            Op::TimeOut(n) => net.time_out(n),
            Op::Submit(n) => net.submit(some_job(n, seq)),
            Op::Cancel(n) => net.cancel(n),
            Op::End(n, ok) => net.end(n, ok),
            Op::Lapse(n) => net.lapse(n),
            Op::Announce(n) => net.announce(n),
            Op::Reboot(n, told) => net.reboot(n, told),
            Op::Leave(n) => net.leave(n),
            Op::Heartbeat(n, full) => net.heartbeat(n, full),
            Op::Allot(n, cpu) => net.allot(n, resources(cpu, 1_000_000, 0)),
            Op::Takeover => net.takeover(),
            Op::Pass(ms) => net.pass(ms),
        }
    }
    net.drain();
    net.starts
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against double runs, overfilled workers, exceeded allotments, half gangs and jobs
    /// that never end, in any order of messages.
    #[test]
    fn any_order_keeps_the_promises(ops in prop::collection::vec(op(), 1..200)) {
        run(&ops);
    }
}

/// Guards against a generator that starts nothing, in which case the property would be empty.
#[test]
fn random_orders_do_start_tasks() {
    let ops: Vec<Op> = (0..200)
        .map(|n| match n % 4 {
            0 => Op::Submit(n),
            3 => Op::End(n, true),
            _ => Op::Deliver(0),
        })
        .collect();
    assert!(run(&ops) > 50);
}
