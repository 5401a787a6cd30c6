//! Disks that take no more writes.

use std::collections::BTreeSet;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use zinnia_daemon::settings::DiskHook;
use zinnia_store::DiskOp;

/// Names of the VMs whose disk is full.
#[derive(Clone, Debug, Default)]
pub struct FullDisks {
    names: Arc<Mutex<BTreeSet<String>>>,
}

impl FullDisks {
    /// Lets writes of the VM fail.
    pub fn mark_full(&self, name: &str) {
        let mut names = self.names.lock().unwrap_or_else(PoisonError::into_inner);
        names.insert(name.to_owned());
    }

    /// The seam for the settings of the daemon called `name`.
    pub fn disk_hook(&self, name: &str) -> DiskHook {
        let full = self.clone();
        let name = name.to_owned();
        DiskHook(Arc::new(move |op| {
            let names = full.names.lock().unwrap_or_else(PoisonError::into_inner);
            match op {
                DiskOp::Create(_) | DiskOp::Write { .. } if names.contains(&name) => {
                    Err(io::Error::from(io::ErrorKind::StorageFull))
                }
                _ => Ok(u64::MAX),
            }
        }))
    }
}
