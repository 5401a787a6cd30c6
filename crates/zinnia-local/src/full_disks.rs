//! Simulation of full disks.

use std::collections::BTreeSet;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use zinnia_daemon::settings::DiskHook;
use zinnia_store::DiskOp;

/// Set of VMs, by name, on which writes fail as on a full disk. Clones share the set.
#[derive(Clone, Debug, Default)]
pub struct FullDisks {
    vm_names: Arc<Mutex<BTreeSet<String>>>,
}

impl FullDisks {
    /// Makes all further writes of the VM fail.
    pub fn mark_full(&self, vm_name: &str) {
        let mut vm_names = self.vm_names.lock().unwrap_or_else(PoisonError::into_inner);
        vm_names.insert(vm_name.to_owned());
    }

    /// Makes the writes of the VM succeed again.
    pub fn clear(&self, vm_name: &str) {
        let mut vm_names = self.vm_names.lock().unwrap_or_else(PoisonError::into_inner);
        vm_names.remove(vm_name);
    }

    /// Hook for the daemon settings of a VM. It follows later changes of the set.
    pub fn disk_hook(&self, vm_name: &str) -> DiskHook {
        let full_disks = self.clone();
        let vm_name = vm_name.to_owned();
        DiskHook(Arc::new(move |op| {
            let vm_names = full_disks
                .vm_names
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            match op {
                DiskOp::Create(_) | DiskOp::Write { .. } if vm_names.contains(&vm_name) => {
                    Err(io::Error::from(io::ErrorKind::StorageFull))
                }
                _ => Ok(u64::MAX),
            }
        }))
    }
}
