//! Versions of the operators' document.

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

/// What identifies one accepted version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionStamp {
    /// Version, from 1.
    pub version: u64,
    /// Hash of the document's compact JSON text.
    pub hash: Digest,
    /// Request that put it in force.
    pub request: String,
    /// When it was proposed, in milliseconds since the Unix epoch.
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

/// One accepted version with its document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DocumentVersion {
    /// Version, hash and request.
    pub stamp: VersionStamp,
    /// The document.
    pub document: Arc<Document>,
}

/// Longest id of a request or a call in bytes.
pub(crate) const MAX_ID: usize = 128;

/// Whether an id of a request or a call is acceptable.
pub(crate) fn is_id(text: &str) -> bool {
    !text.is_empty() && text.len() <= MAX_ID
}

/// All retained versions; the last one is in force.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Documents {
    recent: VecDeque<RecentDocument>,
    stamps: VecDeque<VersionStamp>,
}

/// A document whose stamp is at the same distance from the end of the stamps.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
struct RecentDocument(Arc<Document>);

impl Documents {
    pub(crate) fn current(&self) -> Option<&Document> {
        self.recent.back().map(|d| &*d.0)
    }

    pub(crate) fn stamp(&self) -> Option<&VersionStamp> {
        self.stamps.back()
    }

    /// Retained documents, the newest first.
    pub(crate) fn history(&self) -> impl Iterator<Item = DocumentVersion> {
        let stamps = self.stamps.iter().rev();
        stamps
            .zip(self.recent.iter().rev())
            .map(|(stamp, d)| DocumentVersion {
                stamp: stamp.clone(),
                document: Arc::clone(&d.0),
            })
    }

    fn version(&self) -> u64 {
        self.stamp().map_or(0, |s| s.version)
    }

    pub(crate) fn apply(
        &mut self,
        request: &str,
        from: u64,
        document: &Document,
        at_ms: i64,
        retention: &Retention,
    ) -> Reply {
        if !is_id(request) {
            return Reply::Refused(Refusal::BadId);
        }
        let Ok(hash) = Digest::of_json(document) else {
            return Reply::Refused(Refusal::BadDocument);
        };
        if let Some(stamp) = self.stamps.iter().rev().find(|s| s.request == request) {
            if stamp.hash != hash || stamp.version != from.saturating_add(1) {
                return Reply::Refused(Refusal::RequestReused);
            }
            return Reply::Document {
                stamp: stamp.clone(),
                repeated: true,
            };
        }
        if from != self.version() {
            let won = from.saturating_add(1);
            return Reply::Refused(Refusal::DocumentConflict {
                winner: self
                    .stamps
                    .iter()
                    .find(|s| s.version == won)
                    .cloned()
                    .map(Box::new),
                current: self.stamp().cloned().map(Box::new),
            });
        }
        let stamp = VersionStamp {
            version: from.saturating_add(1),
            hash,
            request: request.to_owned(),
            at_ms,
        };
        self.stamps.push_back(stamp.clone());
        self.recent
            .push_back(RecentDocument(Arc::new(document.clone())));
        // At least one of each stays, whatever the settings, since it is in force.
        let stamps = retention.stamps.max(1);
        while self.stamps.len() > stamps {
            self.stamps.pop_front();
        }
        while self.recent.len() > retention.documents.clamp(1, stamps) {
            self.recent.pop_front();
        }
        Reply::Document {
            stamp,
            repeated: false,
        }
    }
}
