//! Sample settings under `deploy/`, parsed as the programs parse them.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

use zinnia_types::LeaseSettings;
use zinnia_types::Resources;
use zinnia_types::parse_jsonc;

struct Case {
    deployment: &'static str,
    /// Capacities of the sample workers in cores, GiB of memory and GPUs, sorted by the number of
    /// GPUs.
    capacities: &'static [(u64, u64, u64)],
}

const CASES: [Case; 3] = [
    Case {
        deployment: "coaster",
        capacities: &[(64, 128, 0), (32, 128, 8)],
    },
    Case {
        deployment: "consortium",
        capacities: &[(32, 64, 0), (32, 128, 8)],
    },
    Case {
        deployment: "local",
        capacities: &[(64, 128, 8), (64, 128, 8), (64, 128, 8)],
    },
];

/// Guards against sample settings that a program refuses, and against sample VMs that disagree on
/// the voters and would form separate cells.
#[test]
fn settings_are_accepted_and_agree() -> anyhow::Result<()> {
    for case in CASES {
        let sample_dir = Path::new(env!("CARGO_MANIFEST_DIR"))
            .join("../../deploy")
            .join(case.deployment);
        let mut domains = BTreeSet::new();
        let mut peer_addrs = BTreeSet::new();
        let mut voter_lists = BTreeSet::new();
        let mut http_addrs = BTreeSet::new();
        let mut workers = Vec::new();
        for entry in fs::read_dir(&sample_dir)? {
            let path = entry?.path();
            let file_name = path.file_name().unwrap_or_default().to_string_lossy();
            let sample = format!("{}/{file_name}", case.deployment);
            let text = fs::read_to_string(&path)?;
            if file_name.starts_with("vm-") {
                let vm: zinnia_daemon::Settings = parse_jsonc(&text)?;
                assert_eq!(vm.check(), Vec::<String>::new(), "{sample}");
                assert_eq!(vm.cell.as_str(), case.deployment, "{sample}");
                assert_eq!(vm.lease, LeaseSettings::default(), "{sample}");
                assert_eq!(vm.seeds, vm.voters, "{sample}");
                assert_ne!(vm.peer, vm.listen, "{sample}");
                assert!(
                    domains.insert(vm.domain),
                    "{sample}: another VM is in the same domain"
                );
                assert!(peer_addrs.insert(vm.peer), "{sample}");
                http_addrs.insert(vm.listen.to_string());
                voter_lists.insert(vm.voters);
            } else if file_name.starts_with("worker-") {
                let worker: zinnia_worker::Settings = parse_jsonc(&text)?;
                assert_eq!(worker.agent.leases, LeaseSettings::default(), "{sample}");
                workers.push(worker);
            }
        }
        assert_eq!(domains.len(), 3, "{}", case.deployment);
        let voter_lists: Vec<_> = voter_lists.into_iter().collect();
        assert_eq!(
            voter_lists.len(),
            1,
            "{}: VMs differ in their voters",
            case.deployment
        );
        assert_eq!(
            voter_lists[0].iter().copied().collect::<BTreeSet<_>>(),
            peer_addrs
        );
        for worker in &workers {
            assert!(domains.contains(&worker.domain), "{}", worker.worker);
            let is_sample_vm = |vm: &String| http_addrs.contains(vm);
            assert!(
                worker.agent.search.vms.iter().all(is_sample_vm),
                "{}",
                worker.worker
            );
        }
        let mut actual: Vec<Resources> = workers.iter().map(|worker| worker.capacity).collect();
        actual.sort_by_key(|capacity| capacity.gpu);
        let expected: Vec<Resources> = case
            .capacities
            .iter()
            .map(|&(cores, gib, gpu)| Resources {
                cpu: cores * 1_000,
                mem: gib * 1_024,
                gpu,
            })
            .collect();
        assert_eq!(actual, expected, "{}", case.deployment);
    }
    Ok(())
}
