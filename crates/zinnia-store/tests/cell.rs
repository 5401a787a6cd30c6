//! Raft nodes with stores, driven like the daemon drives them.

#![expect(clippy::expect_used, reason = "a failed fixture must stop the test")]

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use tempfile::TempDir;
use zinnia_raft::Action;
use zinnia_raft::Data;
use zinnia_raft::Event;
use zinnia_raft::Member;
use zinnia_raft::Members;
use zinnia_raft::MembershipChange;
use zinnia_raft::Node;
use zinnia_raft::Payload;
use zinnia_raft::Proposal;
use zinnia_raft::Role;
use zinnia_raft::Settings;
use zinnia_raft::Snapshot;
use zinnia_store::DiskHook;
use zinnia_store::DiskOp;
use zinnia_store::Identity;
use zinnia_store::Store;
use zinnia_store::StoreError;
use zinnia_store::StoreOptions;
use zinnia_types::Time;
use zinnia_types::VmId;

/// Number of applied entries after which a VM compacts its log.
const COMPACT_ENTRIES: u64 = 50;

/// Simulated VM.
struct TestVm {
    dir: TempDir,
    disk_full: Arc<AtomicBool>,
    /// Node and store of the running process, or `None` if the process is stopped.
    process: Option<(Node, Store)>,
    inbox: Vec<Event>,
    /// Index of the last applied entry.
    applied_index: u64,
    /// Concatenated data of the applied entries.
    applied_data: String,
}

/// Simulated cell without message delays.
#[derive(Default)]
struct TestCell {
    vms: BTreeMap<VmId, TestVm>,
    /// Simulated time in milliseconds.
    now: u64,
    /// Number of proposals that a leader reported as committed.
    committed: u64,
}

fn member(id: u64) -> Member {
    Member {
        id: VmId(id),
        peer: format!("10.0.0.{id}:7000"),
        http: String::new(),
        voter: true,
    }
}

impl TestCell {
    fn new() -> Self {
        let mut cell = Self::default();
        for id in 1..=3 {
            cell.add_vm(id);
            cell.start(VmId(id), true);
        }
        cell
    }

    fn add_vm(&mut self, id: u64) {
        let vm = TestVm {
            dir: tempfile::tempdir().expect("a temporary folder is created"),
            disk_full: Arc::default(),
            process: None,
            inbox: Vec::new(),
            applied_index: 0,
            applied_data: String::new(),
        };
        self.vms.insert(VmId(id), vm);
    }

    /// Starts a VM with the state in its folder. An initial voter with a new folder first saves the
    /// initial snapshot.
    fn start(&mut self, id: VmId, initial_voter: bool) {
        let vm = self.vms.get_mut(&id).expect("the VM exists");
        let identity = Identity {
            id,
            cluster: "coaster".to_owned(),
        };
        let disk_full = vm.disk_full.clone();
        let disk_hook: DiskHook = Arc::new(move |op| match op {
            DiskOp::Write { .. } if disk_full.load(Ordering::Relaxed) => {
                Err(io::ErrorKind::StorageFull.into())
            }
            _ => Ok(u64::MAX),
        });
        let options = StoreOptions {
            segment_bytes: 4_096,
            rotate_bytes: 512,
            disk_hook: Some(disk_hook),
            ..StoreOptions::default()
        };
        let (mut store, mut recovered) =
            Store::open_with(vm.dir.path(), &identity, options).expect("the store opens");
        if initial_voter && store.is_new() {
            let first = Snapshot::initial(Members::from(vec![member(1), member(2), member(3)]));
            store.save_snapshot(&first).expect("the snapshot is saved");
            recovered.snapshot = Some(first);
        }
        let snapshot = recovered.snapshot.clone().unwrap_or_default();
        vm.applied_index = snapshot.index;
        vm.applied_data = snapshot.data.as_str().to_owned();
        let settings = Settings {
            id,
            retained_entries: 10,
            max_chunk_bytes: 100,
            ..Settings::default()
        };
        vm.process = Some((Node::new(settings, recovered), store));
    }

    /// Stops the process of a VM without a shutdown.
    fn kill(&mut self, id: VmId) {
        let vm = self.vms.get_mut(&id).expect("the VM exists");
        vm.process = None;
        vm.inbox.clear();
    }

    fn leader(&self) -> Option<VmId> {
        let is_leader = |vm: &TestVm| {
            vm.process
                .as_ref()
                .is_some_and(|(node, _)| node.role() == Role::Leader)
        };
        self.vms
            .iter()
            .find(|(_, vm)| is_leader(vm))
            .map(|(id, _)| *id)
    }

    fn follower(&self) -> VmId {
        let leader = self.leader();
        let mut running = self.vms.iter().filter(|(_, vm)| vm.process.is_some());
        let follower = running.find(|(id, _)| Some(**id) != leader);
        *follower.expect("a follower is running").0
    }

    /// Simulates `ms` milliseconds.
    fn run(&mut self, ms: u64) {
        for _ in 0..ms / 50 {
            self.now += 50;
            for vm in self.vms.values_mut().filter(|vm| vm.process.is_some()) {
                vm.inbox.push(Event::Tick);
            }
            while self.vms.values().any(|vm| !vm.inbox.is_empty()) {
                for id in self.vms.keys().copied().collect::<Vec<_>>() {
                    if self.step_vm(id).is_err() {
                        // A write failed, for example on a full disk. Discard the node and its
                        // remaining actions.
                        self.kill(id);
                    }
                }
            }
        }
    }

    /// Passes the events in the inbox of a VM to its node and performs the resulting actions.
    fn step_vm(&mut self, id: VmId) -> Result<(), StoreError> {
        let now = Time(self.now);
        let vm = self.vms.get_mut(&id).expect("the VM exists");
        let events = std::mem::take(&mut vm.inbox);
        let Some((node, store)) = &mut vm.process else {
            return Ok(());
        };
        let mut actions: Vec<Action> = Vec::new();
        for event in events {
            actions.extend(node.step(event, now));
        }
        let mut sends = Vec::new();
        let mut last_index = 0;
        while !actions.is_empty() {
            let mut synced = false;
            for action in std::mem::take(&mut actions) {
                match action {
                    Action::Persist {
                        hard,
                        truncate,
                        entries,
                    } => {
                        store.persist(hard.as_ref(), truncate, &entries)?;
                        synced = true;
                        last_index = entries.last().map_or(last_index, |e| e.index);
                    }
                    Action::SaveSnapshot { snapshot } => store.save_snapshot(&snapshot)?,
                    Action::InstallSnapshot { snapshot } => {
                        store.save_snapshot(&snapshot)?;
                        vm.applied_index = snapshot.index;
                        vm.applied_data = snapshot.data.as_str().to_owned();
                    }
                    Action::Send { to, message } => {
                        sends.push((to, Event::Receive { from: id, message }));
                    }
                    Action::Committed { .. } => self.committed += 1,
                    Action::Apply { entries } => {
                        for entry in entries {
                            assert_eq!(entry.index, vm.applied_index + 1);
                            vm.applied_index = entry.index;
                            if let Payload::Data(data) = &entry.payload {
                                vm.applied_data.push_str(data.as_str());
                            }
                        }
                    }
                    Action::Rejected { .. } | Action::RoleChanged { .. } => {}
                }
            }
            if synced {
                actions = node.step(Event::Synced { index: last_index }, now);
            }
            if vm.applied_index >= node.snapshot_index() + COMPACT_ENTRIES {
                let (index, data) = (vm.applied_index, Data::from(vm.applied_data.as_str()));
                actions.extend(node.step(Event::Compact { index, data }, now));
            }
        }
        for (to, event) in sends {
            if let Some(vm) = self.vms.get_mut(&to).filter(|vm| vm.process.is_some()) {
                vm.inbox.push(event);
            }
        }
        Ok(())
    }

    /// Proposes `count` entries to the leader and checks that all are committed.
    fn propose(&mut self, count: u64) {
        let committed_before = self.committed;
        for proposal_id in 0..count {
            if proposal_id % 20 == 0 {
                self.run(50);
            }
            let leader = self.leader().expect("the cell has a leader");
            let data = Data::from("abcdefghij");
            let vm = self.vms.get_mut(&leader).expect("the VM exists");
            vm.inbox
                .push(Event::Propose(vec![Proposal { proposal_id, data }]));
        }
        self.run(1_000);
        assert_eq!(self.committed - committed_before, count);
    }

    fn change_members(&mut self, change: MembershipChange) {
        let leader = self.leader().expect("the cell has a leader");
        let vm = self.vms.get_mut(&leader).expect("the VM exists");
        let proposal_id = 0;
        vm.inbox.push(Event::ChangeMembers {
            proposal_id,
            change,
        });
        self.run(1_000);
    }

    /// Checks that all running VMs have applied the same amount of data.
    fn check_all_caught_up(&self) {
        let max_len = self
            .vms
            .values()
            .map(|vm| vm.applied_data.len())
            .max()
            .unwrap_or(0);
        for (id, vm) in self.vms.iter().filter(|(_, vm)| vm.process.is_some()) {
            assert_eq!(
                vm.applied_data.len(),
                max_len,
                "{id} has not applied all entries"
            );
        }
    }
}

/// Guards against lost entries when nodes and stores work together: restart of a VM from its
/// snapshot, restart of all VMs, replacement of a voter that lost its disk, and a full disk.
#[test]
fn cell_survives_restarts_disk_loss_and_full_disk() {
    let mut cell = TestCell::new();
    cell.run(10_000);
    cell.propose(500);
    let restarted = cell.follower();
    cell.kill(restarted);
    let index_before = cell.vms[&restarted].applied_index;
    cell.start(restarted, true);
    assert!(
        cell.vms[&restarted].applied_index > 400,
        "the snapshot covers most entries"
    );
    cell.run(50);
    assert!(
        cell.vms[&restarted].applied_index >= index_before,
        "the restart lost applied entries"
    );
    cell.run(1_000);
    cell.check_all_caught_up();

    for id in (1..=3).map(VmId) {
        cell.kill(id);
    }
    for id in (1..=3).map(VmId) {
        cell.start(id, true);
    }
    cell.run(15_000);
    cell.propose(100);
    cell.check_all_caught_up();

    // A voter loses its disk and is replaced by a new VM.
    let lost = cell.follower();
    cell.kill(lost);
    cell.add_vm(4);
    cell.start(VmId(4), false);
    cell.change_members(MembershipChange::Add(member(4)));
    cell.run(5_000);
    cell.change_members(MembershipChange::Remove(lost));
    cell.change_members(MembershipChange::Promote(VmId(4)));
    cell.propose(100);
    cell.check_all_caught_up();

    // A full disk stops one voter. The others continue, and the voter restarts with its synced
    // state.
    let stopped = cell.follower();
    cell.vms[&stopped].disk_full.store(true, Ordering::Relaxed);
    cell.propose(100);
    assert!(
        cell.vms[&stopped].process.is_none(),
        "a full disk stops the node"
    );
    cell.vms[&stopped].disk_full.store(false, Ordering::Relaxed);
    cell.start(stopped, true);
    cell.run(5_000);
    cell.propose(20);
    cell.check_all_caught_up();
    let (node, store) = cell.vms[&VmId(4)]
        .process
        .as_ref()
        .expect("the VM is running");
    println!("{:?}", store.counters());
    assert_eq!(node.members().voters().count(), 3);
    let (proposals, changes) = (820, 3);
    assert_eq!(cell.committed, proposals + changes);
}
