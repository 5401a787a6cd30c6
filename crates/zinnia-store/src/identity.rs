//! Identity of a data folder.

use serde::Deserialize;
use serde::Serialize;
use zinnia_types::VmId;

use crate::StoreError;
use crate::disk::Disk;
use crate::error::ErrorCause;
use crate::record;

const FILE: &str = "identity";
const STEP: &str = "read identity";

/// Who a data folder belongs to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Identity {
    /// Id of the VM, drawn at random when the folder is created.
    pub id: VmId,
    /// Cluster id of the cell.
    pub cluster: String,
}

impl Identity {
    /// An identity with a random id.
    ///
    /// # Errors
    ///
    /// Returns an error when the operating system gives no random bytes.
    pub fn generate(cluster: &str) -> Result<Self, getrandom::Error> {
        Ok(Self {
            id: VmId(getrandom::u64()?),
            cluster: cluster.to_owned(),
        })
    }

    pub(crate) fn load(disk: &Disk) -> Result<Option<Self>, StoreError> {
        let path = disk.path(FILE);
        let Some(bytes) = disk.read(&path, STEP)? else {
            return Ok(None);
        };
        let scan = record::scan(&path, STEP, &bytes)?;
        let [(at, content)] = scan.records[..] else {
            let why = "one record is expected";
            return Err(StoreError::corrupt(&path, scan.valid, STEP, why));
        };
        serde_json::from_slice(content)
            .map(Some)
            .map_err(|e| StoreError::corrupt(&path, at, STEP, e.to_string()))
    }

    pub(crate) fn save(&self, disk: &Disk) -> Result<(), StoreError> {
        let path = disk.path(FILE);
        let content = serde_json::to_vec(self)
            .map_err(|e| StoreError::io(&path, "encode identity", e.into()))?;
        let mut bytes = Vec::new();
        record::encode(&mut bytes, &content);
        disk.replace(&path, &bytes)
    }

    /// Refuses a folder of another cell.
    pub(crate) fn check(&self, disk: &Disk, wanted: &Self) -> Result<(), StoreError> {
        if self.cluster == wanted.cluster {
            return Ok(());
        }
        let cause = ErrorCause::ClusterMismatch {
            found: self.cluster.clone(),
            expected: wanted.cluster.clone(),
        };
        Err(StoreError::new(&disk.path(FILE), "check identity", cause))
    }
}
