//! Identity file of a data folder.

use serde::Deserialize;
use serde::Serialize;
use zinnia_types::VmId;

use crate::StoreError;
use crate::disk::DataFolder;
use crate::error::ErrorCause;
use crate::record;

const FILE_NAME: &str = "identity";
const READ_STEP: &str = "read identity";

/// VM and cell that a data folder belongs to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Identity {
    /// Random id of the VM, assigned when the folder is created.
    pub id: VmId,
    /// Cluster id of the cell.
    pub cluster: String,
}

impl Identity {
    /// Creates an identity with a random VM id.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system provides no random bytes.
    pub fn generate(cluster: &str) -> Result<Self, getrandom::Error> {
        Ok(Self {
            id: VmId(getrandom::u64()?),
            cluster: cluster.to_owned(),
        })
    }

    /// Reads the identity file. Returns `None` if it does not exist.
    pub(crate) fn load(folder: &DataFolder) -> Result<Option<Self>, StoreError> {
        let path = folder.file_path(FILE_NAME);
        let Some(bytes) = folder.read(&path, READ_STEP)? else {
            return Ok(None);
        };
        let scan = record::scan(&path, READ_STEP, &bytes)?;
        let [(offset, content)] = scan.records[..] else {
            let message = "expected one record";
            return Err(StoreError::corrupt(
                &path,
                scan.valid_bytes,
                READ_STEP,
                message,
            ));
        };
        serde_json::from_slice(content)
            .map(Some)
            .map_err(|e| StoreError::corrupt(&path, offset, READ_STEP, e.to_string()))
    }

    pub(crate) fn save(&self, folder: &DataFolder) -> Result<(), StoreError> {
        let path = folder.file_path(FILE_NAME);
        let content = serde_json::to_vec(self)
            .map_err(|e| StoreError::io(&path, "encode identity", e.into()))?;
        let mut bytes = Vec::new();
        record::encode(&mut bytes, &content);
        folder.replace(&path, &bytes)
    }

    /// Returns an error if this identity belongs to another cell than `expected`.
    pub(crate) fn check_cluster(
        &self,
        folder: &DataFolder,
        expected: &Self,
    ) -> Result<(), StoreError> {
        if self.cluster == expected.cluster {
            return Ok(());
        }
        let cause = ErrorCause::ClusterMismatch {
            found: self.cluster.clone(),
            expected: expected.cluster.clone(),
        };
        Err(StoreError::new(
            &folder.file_path(FILE_NAME),
            "check identity",
            cause,
        ))
    }
}
