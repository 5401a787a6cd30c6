//! I/O shell of a simulated VM, which performs the actions of its node.

use zinnia_types::Time;
use zinnia_types::VmId;

use super::Simulation;
use super::vm::ShellStep;
use crate::Action;
use crate::Data;
use crate::Entry;
use crate::Event;
use crate::Node;
use crate::Payload;
use crate::Role;

impl Simulation {
    /// Performs up to `count` pending steps: actions and reports of syncs.
    pub(super) fn perform_actions(&mut self, id: VmId, count: usize) {
        for _ in 0..count {
            let Some(vm) = self.vms.get_mut(&id) else {
                return;
            };
            match vm.pending_steps.pop_front() {
                Some(ShellStep::Perform(action)) => self.perform_action(id, action),
                Some(ShellStep::ReportSync) => {
                    let index = vm.last_persisted;
                    vm.step_node(Event::Synced { index }, Time(self.now));
                }
                None => return,
            }
        }
    }

    fn perform_action(&mut self, id: VmId, action: Action) {
        let Some(vm) = self.vms.get_mut(&id) else {
            return;
        };
        match action {
            Action::Persist {
                hard,
                truncate,
                entries,
            } => {
                let truncates_applied = truncate.is_some_and(|from| from <= vm.applied_index);
                self.checker.expect(!truncates_applied, || {
                    format!("{id} truncates applied entries")
                });
                vm.last_persisted = entries.last().map_or(vm.last_persisted, |e| e.index);
                vm.disk.write(hard, truncate, &entries);
                vm.disk.sync();
                let before = entries.first().and_then(|e| vm.disk.term(e.index - 1));
                self.checker.check_written(&entries, before);
            }
            Action::SaveSnapshot { snapshot } => vm.disk.snapshot = Some(snapshot),
            Action::InstallSnapshot { snapshot } => {
                let is_newer = snapshot.index > vm.applied_index;
                self.checker.expect(is_newer, || {
                    format!("{id} installs a snapshot that is not ahead of its state")
                });
                vm.restore(Some(&snapshot));
                self.checker.check_restored(vm.applied_index, vm.state_hash);
                vm.disk.snapshot = Some(snapshot);
            }
            Action::Send { to, message } => {
                self.checker.check_sent(id, to, &message, &vm.disk);
                self.send(id, to, &message);
            }
            Action::Committed { proposal_id, index } => {
                self.checker.check_committed(proposal_id, index);
            }
            Action::Rejected {
                proposal_id,
                leader,
                reason,
            } => {
                self.rejections.insert(proposal_id, (reason, leader));
                self.checker.check_rejected(proposal_id);
            }
            Action::Apply { entries } => self.apply(id, &entries),
            Action::RoleChanged {
                role: Role::Leader,
                term,
                ..
            } => self.checker.check_leader(id, term, &vm.disk),
            Action::RoleChanged { .. } => {}
        }
    }

    fn apply(&mut self, id: VmId, entries: &[Entry]) {
        for entry in entries {
            let Some(vm) = self.vms.get_mut(&id) else {
                return;
            };
            let consecutive = entry.index == vm.applied_index + 1;
            self.checker.expect(consecutive, || {
                format!("{id} applies entry {} out of order", entry.index)
            });
            let durable = !self.options.settings.durable_commit
                || vm.disk.hard.commit.max(vm.disk.snapshot_index()) >= entry.index;
            self.checker.expect(durable, || {
                format!(
                    "{id} applies entry {} before its commit index is durable",
                    entry.index
                )
            });
            vm.applied_index = entry.index;
            if let Payload::Data(data) = &entry.payload {
                vm.apply(data.as_str());
            }
            let term = vm.node.as_ref().map_or(0, Node::term);
            let is_first = self.checker.check_applied(id, entry, vm.state_hash, term);
            if is_first && !self.disk_wiped {
                let nodes = self.vms.values().filter_map(|vm| vm.node.as_ref());
                let disk = |id| self.vms.get(&id).map(|vm| &vm.disk);
                self.checker
                    .check_durable(entry, nodes.map(Node::members), disk);
            }
        }
        self.compact(id);
    }

    fn compact(&mut self, id: VmId) {
        let Some(vm) = self.vms.get_mut(&id) else {
            return;
        };
        let compacted = vm.node.as_ref().map_or(u64::MAX, Node::snapshot_index);
        if vm.applied_index >= compacted.saturating_add(self.options.compact_entries) {
            let index = vm.applied_index;
            let data = Data::from(vm.snapshot_data());
            vm.inbox.push(Event::Compact { index, data });
        }
    }
}
