//! Log core and store together, as the daemon drives them.

#![expect(clippy::expect_used, reason = "a broken test cell must stop the test")]

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

/// Entries after which a VM compacts.
const COMPACT: u64 = 50;

struct Vm {
    dir: TempDir,
    full: Arc<AtomicBool>,
    running: Option<(Node, Store)>,
    inbox: Vec<Event>,
    /// Application: the last index and all data.
    index: u64,
    state: String,
}

#[derive(Default)]
struct Cell {
    vms: BTreeMap<VmId, Vm>,
    now: u64,
    accepted: u64,
}

fn member(id: u64) -> Member {
    Member {
        id: VmId(id),
        peer: format!("10.0.0.{id}:7000"),
        http: String::new(),
        voter: true,
    }
}

impl Cell {
    fn new() -> Self {
        let mut cell = Self::default();
        for id in 1..=3 {
            cell.add(id);
            cell.start(VmId(id), true);
        }
        cell
    }

    fn add(&mut self, id: u64) {
        let vm = Vm {
            dir: tempfile::tempdir().expect("a folder"),
            full: Arc::default(),
            running: None,
            inbox: Vec::new(),
            index: 0,
            state: String::new(),
        };
        self.vms.insert(VmId(id), vm);
    }

    /// Starts a VM from its folder; a named voter forms the initial snapshot.
    fn start(&mut self, id: VmId, named: bool) {
        let vm = self.vms.get_mut(&id).expect("a VM");
        let wanted = Identity {
            id,
            cluster: "coaster".to_owned(),
        };
        let full = vm.full.clone();
        let gate: DiskHook = Arc::new(move |op| match op {
            DiskOp::Write { .. } if full.load(Ordering::Relaxed) => {
                Err(io::ErrorKind::StorageFull.into())
            }
            _ => Ok(u64::MAX),
        });
        let options = StoreOptions {
            segment_bytes: 4_096,
            rotate_bytes: 512,
            disk_hook: Some(gate),
            ..StoreOptions::default()
        };
        let (mut store, mut found) =
            Store::open_with(vm.dir.path(), &wanted, options).expect("a folder");
        if named && store.is_new() {
            let first = Snapshot::initial(Members::from(vec![member(1), member(2), member(3)]));
            store.save_snapshot(&first).expect("a snapshot");
            found.snapshot = Some(first);
        }
        let snapshot = found.snapshot.clone().unwrap_or_default();
        vm.index = snapshot.index;
        vm.state = snapshot.data.as_str().to_owned();
        let settings = Settings {
            id,
            retained_entries: 10,
            max_chunk_bytes: 100,
            ..Settings::default()
        };
        vm.running = Some((Node::new(settings, found), store));
    }

    /// Ends the process of a VM without a word.
    fn kill(&mut self, id: VmId) {
        let vm = self.vms.get_mut(&id).expect("a VM");
        vm.running = None;
        vm.inbox.clear();
    }

    fn leader(&self) -> Option<VmId> {
        let leads = |vm: &Vm| {
            vm.running
                .as_ref()
                .is_some_and(|(n, _)| n.role() == Role::Leader)
        };
        self.vms.iter().find(|(_, vm)| leads(vm)).map(|(id, _)| *id)
    }

    fn follower(&self) -> VmId {
        let lead = self.leader();
        let mut live = self.vms.iter().filter(|(_, vm)| vm.running.is_some());
        let found = live.find(|(id, _)| Some(**id) != lead);
        *found.expect("a follower").0
    }

    fn run(&mut self, ms: u64) {
        for _ in 0..ms / 50 {
            self.now += 50;
            for vm in self.vms.values_mut().filter(|vm| vm.running.is_some()) {
                vm.inbox.push(Event::Tick);
            }
            while self.vms.values().any(|vm| !vm.inbox.is_empty()) {
                for id in self.vms.keys().copied().collect::<Vec<_>>() {
                    if self.turn(id).is_err() {
                        // As on a full disk: the node goes with the rest of its actions.
                        self.kill(id);
                    }
                }
            }
        }
    }

    fn turn(&mut self, id: VmId) -> Result<(), StoreError> {
        let now = Time(self.now);
        let vm = self.vms.get_mut(&id).expect("a VM");
        let events = std::mem::take(&mut vm.inbox);
        let Some((node, store)) = &mut vm.running else {
            return Ok(());
        };
        let mut actions: Vec<Action> = Vec::new();
        for event in events {
            actions.extend(node.step(event, now));
        }
        let mut sends = Vec::new();
        let mut last = 0;
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
                        last = entries.last().map_or(last, |e| e.index);
                    }
                    Action::SaveSnapshot { snapshot } => store.save_snapshot(&snapshot)?,
                    Action::InstallSnapshot { snapshot } => {
                        store.save_snapshot(&snapshot)?;
                        vm.index = snapshot.index;
                        vm.state = snapshot.data.as_str().to_owned();
                    }
                    Action::Send { to, message } => {
                        sends.push((to, Event::Receive { from: id, message }));
                    }
                    Action::Committed { .. } => self.accepted += 1,
                    Action::Apply { entries } => {
                        for entry in entries {
                            assert_eq!(entry.index, vm.index + 1);
                            vm.index = entry.index;
                            if let Payload::Data(data) = &entry.payload {
                                vm.state.push_str(data.as_str());
                            }
                        }
                    }
                    Action::Rejected { .. } | Action::RoleChanged { .. } => {}
                }
            }
            if synced {
                actions = node.step(Event::Synced { index: last }, now);
            }
            if vm.index >= node.snapshot_index() + COMPACT {
                let (index, data) = (vm.index, Data::from(vm.state.as_str()));
                actions.extend(node.step(Event::Compact { index, data }, now));
            }
        }
        for (to, event) in sends {
            if let Some(vm) = self.vms.get_mut(&to).filter(|vm| vm.running.is_some()) {
                vm.inbox.push(event);
            }
        }
        Ok(())
    }

    fn propose(&mut self, count: u64) {
        let before = self.accepted;
        for proposal_id in 0..count {
            if proposal_id % 20 == 0 {
                self.run(50);
            }
            let lead = self.leader().expect("a leader");
            let data = Data::from("abcdefghij");
            let vm = self.vms.get_mut(&lead).expect("a VM");
            vm.inbox
                .push(Event::Propose(vec![Proposal { proposal_id, data }]));
        }
        self.run(1_000);
        assert_eq!(self.accepted - before, count);
    }

    fn change(&mut self, change: MembershipChange) {
        let lead = self.leader().expect("a leader");
        let vm = self.vms.get_mut(&lead).expect("a VM");
        let proposal_id = 0;
        vm.inbox.push(Event::ChangeMembers {
            proposal_id,
            change,
        });
        self.run(1_000);
    }

    /// Every running VM holds all that was accepted.
    fn check(&self) {
        let data = self
            .vms
            .values()
            .map(|vm| vm.state.len())
            .max()
            .unwrap_or(0);
        for (id, vm) in self.vms.iter().filter(|(_, vm)| vm.running.is_some()) {
            assert_eq!(vm.state.len(), data, "{id} lags");
        }
    }
}

/// Guards against a log core and a store that do not fit together: restart by snapshot, all restarted,
/// a voter replaced under a new id, and a full disk.
#[test]
fn life_of_a_cell() {
    let mut cell = Cell::new();
    cell.run(10_000);
    cell.propose(500);
    let one = cell.follower();
    cell.kill(one);
    let shown = cell.vms[&one].index;
    cell.start(one, true);
    assert!(cell.vms[&one].index > 400, "most comes from the snapshot");
    cell.run(50);
    assert!(
        cell.vms[&one].index >= shown,
        "an older state after a restart"
    );
    cell.run(1_000);
    cell.check();

    for id in (1..=3).map(VmId) {
        cell.kill(id);
    }
    for id in (1..=3).map(VmId) {
        cell.start(id, true);
    }
    cell.run(15_000);
    cell.propose(100);
    cell.check();

    // A voter is lost with its disk; another VM takes its place.
    let lost = cell.follower();
    cell.kill(lost);
    cell.add(4);
    cell.start(VmId(4), false);
    cell.change(MembershipChange::Add(member(4)));
    cell.run(5_000);
    cell.change(MembershipChange::Remove(lost));
    cell.change(MembershipChange::Promote(VmId(4)));
    cell.propose(100);
    cell.check();

    // A full disk stops one voter; the others go on, and it returns with all that it had synced.
    let full = cell.follower();
    cell.vms[&full].full.store(true, Ordering::Relaxed);
    cell.propose(100);
    assert!(
        cell.vms[&full].running.is_none(),
        "a full disk stops the node"
    );
    cell.vms[&full].full.store(false, Ordering::Relaxed);
    cell.start(full, true);
    cell.run(5_000);
    cell.propose(20);
    cell.check();
    let (node, store) = cell.vms[&VmId(4)].running.as_ref().expect("a running VM");
    println!("{:?}", store.counters());
    assert_eq!(node.members().voters().count(), 3);
    let (proposals, changes) = (820, 3);
    assert_eq!(cell.accepted, proposals + changes);
}
