//! Safety and liveness of the log under random faults.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use zinnia_raft::Members;
use zinnia_raft::Role;
use zinnia_raft::sim::SimOptions;
use zinnia_raft::sim::Simulation;
use zinnia_types::VmId;

#[derive(Clone, Debug)]
enum Fault {
    RunMs(u64),
    Propose {
        vm: usize,
        count: usize,
    },
    Crash {
        vm: usize,
        actions: usize,
        synced_writes: usize,
    },
    Start {
        vm: usize,
    },
    StopAll,
    WipeDisk {
        vm: usize,
    },
    Isolate {
        vm: usize,
    },
    IsolateLeader,
    CutOneWay {
        from: usize,
        to: usize,
    },
    Heal,
    Pause {
        vm: usize,
        ms: u64,
    },
    AddBlankVm,
}

fn arbitrary_fault() -> impl Strategy<Value = Fault> {
    let vm = 0..8_usize;
    prop_oneof![
        6 => (100..4_000_u64).prop_map(Fault::RunMs),
        6 => (vm.clone(), 1..30_usize).prop_map(|(vm, count)| Fault::Propose { vm, count }),
        3 => (vm.clone(), 0..12_usize, 0..6_usize)
            .prop_map(|(vm, actions, synced_writes)| Fault::Crash { vm, actions, synced_writes }),
        4 => vm.clone().prop_map(|vm| Fault::Start { vm }),
        1 => Just(Fault::StopAll),
        2 => vm.clone().prop_map(|vm| Fault::WipeDisk { vm }),
        1 => vm.clone().prop_map(|vm| Fault::Isolate { vm }),
        2 => Just(Fault::IsolateLeader),
        2 => (vm.clone(), vm.clone()).prop_map(|(from, to)| Fault::CutOneWay { from, to }),
        2 => Just(Fault::Heal),
        1 => (vm, 500..6_000_u64).prop_map(|(vm, ms)| Fault::Pause { vm, ms }),
        1 => Just(Fault::AddBlankVm),
    ]
}

fn select_vm(sim: &Simulation, number: usize) -> VmId {
    let ids: Vec<VmId> = sim
        .vms
        .iter()
        .filter(|(_, vm)| !vm.wiped)
        .map(|(id, _)| *id)
        .collect();
    ids[number % ids.len()]
}

/// Whether every membership keeps a quorum of disks after the disk of `id` is wiped. Without it the
/// log cannot make progress again.
///
/// If silent voters are replaced, a voter that is down or cut off does not count. The leader may remove
/// it before it notices the wiped disk, and the remaining voters would permanently lack a quorum.
fn quorum_survives_wipe(sim: &Simulation, id: VmId) -> bool {
    let unreachable = |v: &VmId| sim.options.manage_members && !sim.is_reachable(*v);
    let keeps_disk = |v: &VmId| *v != id && !sim.vms[v].wiped && !unreachable(v);
    let memberships = sim.memberships();
    let has_quorum = |m: &Members| m.voters().filter(keeps_disk).count() >= m.quorum();
    !sim.has_queued_change() && memberships.iter().all(has_quorum)
}

fn inject(sim: &mut Simulation, fault: &Fault) {
    match *fault {
        Fault::RunMs(ms) => sim.run(ms),
        Fault::Propose { vm, count } => {
            // Some proposals go to a VM that may not lead. It must reject them, and they must never be
            // committed.
            let id = if vm < 6 { sim.leader() } else { None };
            let id = id.unwrap_or_else(|| select_vm(sim, vm));
            for _ in 0..count {
                sim.propose(id);
            }
        }
        Fault::Crash {
            vm,
            actions,
            synced_writes,
        } => {
            let id = select_vm(sim, vm);
            sim.crash(id, actions, synced_writes);
        }
        Fault::Start { vm } => {
            let id = select_vm(sim, vm);
            sim.start(id);
        }
        Fault::StopAll => {
            for id in sim.running_vms() {
                sim.crash(id, 0, 0);
            }
            start_all(sim);
        }
        Fault::WipeDisk { vm } => {
            let id = select_vm(sim, vm);
            if quorum_survives_wipe(sim, id) {
                sim.wipe(id);
            }
        }
        Fault::Isolate { vm } => {
            let id = select_vm(sim, vm);
            sim.isolate(id);
        }
        Fault::IsolateLeader => {
            if let Some(id) = sim.leader() {
                sim.isolate(id);
            }
        }
        Fault::CutOneWay { from, to } => {
            let link = (select_vm(sim, from), select_vm(sim, to));
            sim.cut_links.insert(link);
        }
        Fault::Heal => sim.cut_links.clear(),
        Fault::Pause { vm, ms } => {
            let id = select_vm(sim, vm);
            let until = sim.now + ms;
            if let Some(vm) = sim.vms.get_mut(&id) {
                vm.paused_until = until;
            }
        }
        Fault::AddBlankVm => {
            if sim.vms.len() < 9 {
                sim.add_blank_vm();
            }
        }
    }
}

fn start_all(sim: &mut Simulation) {
    for id in sim.vms.keys().copied().collect::<Vec<_>>() {
        sim.start(id);
    }
}

fn arbitrary_options() -> impl Strategy<Value = SimOptions> {
    let base = (
        any::<u64>(),
        prop_oneof![Just(1_u64), Just(3), Just(5)],
        any::<bool>(),
        any::<bool>(),
    );
    let net = (0..15_u32, 0..15_u32, 5..200_u64, 0..40_u32);
    (base, net).prop_map(
        |(
            (seed, voters, manage_members, durable_commit),
            (loss_percent, duplicate_percent, delay_ms, stall_percent),
        )| {
            let base = SimOptions::default();
            let settings = zinnia_raft::Settings {
                durable_commit,
                ..base.settings
            };
            SimOptions {
                seed,
                voters,
                manage_members,
                loss_percent,
                duplicate_percent,
                delay_ms,
                stall_percent,
                settings,
                ..base
            }
        },
    )
}

/// Virtual time within which a cell without further faults must commit a proposal and apply it on all
/// VMs, equal to 15 election timeouts.
const RECOVERY_MS: u64 = 60_000;

fn run_faults(options: SimOptions, faults: &[Fault]) -> Result<(), String> {
    let mut sim = Simulation::new(options);
    sim.run(5_000);
    for fault in faults {
        inject(&mut sim, fault);
        sim.run(50);
    }
    sim.cut_links.clear();
    sim.options.loss_percent = 0;
    start_all(&mut sim);
    // New VMs catch up only once they are added as members, so enable membership management.
    sim.options.manage_members = true;
    let recovered = sim.converge(RECOVERY_MS);
    sim.result()?;
    if !recovered {
        return Err(format!("no progress after the last fault:\n{}", sim.dump()));
    }
    for (id, node) in sim.nodes() {
        if node.dump()["faults"] != 0 || node.role() == Role::PreCandidate {
            return Err(format!(
                "{id} counted protocol violations or is still a pre-candidate: {}",
                node.dump()
            ));
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(config())]

    /// Guards against two leaders in one term, diverging logs and lost commits under random faults, and
    /// against a cell that makes no progress after the faults end.
    #[test]
    fn log_stays_safe_and_live_under_random_faults(options in arbitrary_options(), faults in prop::collection::vec(arbitrary_fault(), 1..60)) {
        let result = run_faults(options, &faults);
        prop_assert!(result.is_ok(), "{}", result.unwrap_err());
    }
}

/// Runs 128 cases from a fixed seed, so that the result is reproducible. `RAFT_CASES` and `RAFT_SEED`
/// override both for longer runs.
fn config() -> ProptestConfig {
    let env_number = |name| {
        std::env::var(name)
            .ok()
            .and_then(|n: String| n.parse().ok())
    };
    ProptestConfig {
        cases: env_number("RAFT_CASES").unwrap_or(128),
        rng_seed: RngSeed::Fixed(env_number("RAFT_SEED").map_or(1, u64::from)),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}
