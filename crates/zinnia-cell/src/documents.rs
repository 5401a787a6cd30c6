//! Versions of the configuration document, which operators edit.

use std::collections::VecDeque;
use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use zinnia_types::Document;

use crate::Digest;
use crate::Refusal;
use crate::Reply;
use crate::Retention;

/// Identity of one accepted document version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionStamp {
    /// Version number, starting at 1.
    pub version: u64,
    /// Hash of the document's compact JSON text.
    pub hash: Digest,
    /// Id of the request that submitted it.
    pub request: String,
    /// Time of the proposal, in milliseconds since the Unix epoch.
    pub at_ms: i64,
}

impl fmt::Display for VersionStamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "version {} with hash {} by request {}",
            self.version, self.hash, self.request
        )
    }
}

/// An accepted document version with its content.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DocumentVersion {
    /// Version number, hash and request id.
    pub stamp: VersionStamp,
    /// Content of the document.
    pub document: Arc<Document>,
}

/// Maximum length in bytes of a request id or call id.
pub(crate) const MAX_ID_BYTES: usize = 128;

/// Whether a request id or call id is neither empty nor too long.
pub(crate) fn is_valid_id(text: &str) -> bool {
    !text.is_empty() && text.len() <= MAX_ID_BYTES
}

/// All retained versions, oldest first; the last one is in force.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Documents {
    /// Content of the most recent versions. Aligned with the end of `stamps`.
    #[serde(rename = "recent")]
    contents: VecDeque<DocumentContent>,
    stamps: VecDeque<VersionStamp>,
}

/// Shared content of a document version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
struct DocumentContent(Arc<Document>);

impl Documents {
    pub(crate) fn current(&self) -> Option<&Document> {
        self.contents.back().map(|content| &*content.0)
    }

    pub(crate) fn stamp(&self) -> Option<&VersionStamp> {
        self.stamps.back()
    }

    /// Versions whose content is retained, newest first.
    pub(crate) fn history(&self) -> impl Iterator<Item = DocumentVersion> {
        let stamps = self.stamps.iter().rev();
        stamps
            .zip(self.contents.iter().rev())
            .map(|(stamp, content)| DocumentVersion {
                stamp: stamp.clone(),
                document: Arc::clone(&content.0),
            })
    }

    /// Version number in force; 0 before the first document.
    fn current_version(&self) -> u64 {
        self.stamp().map_or(0, |s| s.version)
    }

    pub(crate) fn apply(
        &mut self,
        request: &str,
        base_version: u64,
        document: &Document,
        at_ms: i64,
        retention: &Retention,
    ) -> Reply {
        if !is_valid_id(request) {
            return Reply::Refused(Refusal::BadId);
        }
        let Ok(hash) = Digest::of_json(document) else {
            return Reply::Refused(Refusal::BadDocument);
        };
        if let Some(stamp) = self.stamps.iter().rev().find(|s| s.request == request) {
            if stamp.hash != hash || stamp.version != base_version.saturating_add(1) {
                return Reply::Refused(Refusal::RequestReused);
            }
            return Reply::Document {
                stamp: stamp.clone(),
                repeated: true,
            };
        }
        if base_version != self.current_version() {
            let winning_version = base_version.saturating_add(1);
            return Reply::Refused(Refusal::DocumentConflict {
                winner: self
                    .stamps
                    .iter()
                    .find(|s| s.version == winning_version)
                    .cloned()
                    .map(Box::new),
                current: self.stamp().cloned().map(Box::new),
            });
        }
        let stamp = VersionStamp {
            version: base_version.saturating_add(1),
            hash,
            request: request.to_owned(),
            at_ms,
        };
        self.stamps.push_back(stamp.clone());
        self.contents
            .push_back(DocumentContent(Arc::new(document.clone())));
        // The version in force is retained whatever the settings.
        let max_stamps = retention.stamps.max(1);
        while self.stamps.len() > max_stamps {
            self.stamps.pop_front();
        }
        while self.contents.len() > retention.documents.clamp(1, max_stamps) {
            self.contents.pop_front();
        }
        Reply::Document {
            stamp,
            repeated: false,
        }
    }
}
