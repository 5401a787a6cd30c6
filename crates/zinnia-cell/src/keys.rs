//! API key grants and withdrawals.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::de;
use sha2::Digest as _;
use sha2::Sha256;
use subtle::ConstantTimeEq;
use zinnia_types::Name;

use crate::Digest;
use crate::KeyRole;
use crate::Refusal;
use crate::Reply;

/// Public id of a key: a name without `_`, the separator between id and secret.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(transparent)]
pub struct KeyId(Name);

impl KeyId {
    /// The id as text.
    pub fn as_str(&self) -> &str {
        self.0.as_str()
    }
}

impl FromStr for KeyId {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, KeyError> {
        if text.contains('_') {
            return Err(KeyError::Malformed);
        }
        Name::new(text).map(Self).map_err(|_| KeyError::Malformed)
    }
}

impl fmt::Display for KeyId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl fmt::Debug for KeyId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl<'de> Deserialize<'de> for KeyId {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        let name = Name::deserialize(d)?;
        name.as_str().parse().map_err(de::Error::custom)
    }
}

/// SHA-256 hash of a complete key text. `Debug` does not print it.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyHash(Digest);

impl KeyHash {
    /// Hashes a key text of the form `zk_<id>_<secret>`.
    pub fn of(key: &str) -> Self {
        Self(Digest::of(key.as_bytes()))
    }

    /// Compares the hash of `key` with this one in constant time.
    pub fn matches(&self, key: &str) -> bool {
        Self::of(key).0.0.ct_eq(&self.0.0).into()
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyHash(..)")
    }
}

/// A granted key and its role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyGrant {
    /// Id of the key.
    pub id: KeyId,
    /// Access that the key gives.
    pub role: KeyRole,
}

/// Reason why a key is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyError {
    /// The text is not of the form `zk_<id>_<secret>`.
    Malformed,
    /// The key was never granted, or its secret is wrong.
    Unknown,
    /// The key has been withdrawn.
    Withdrawn,
}

impl fmt::Display for KeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Malformed => "the key is not of the form zk_<id>_<secret>",
            Self::Unknown => "the key is not known",
            Self::Withdrawn => "the key is withdrawn",
        })
    }
}

impl std::error::Error for KeyError {}

/// Digest of a set of withdrawn keys, by which peers detect that their sets differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WithdrawnDigest {
    /// Number of withdrawn keys.
    pub count: u64,
    /// Hash of the sorted key ids.
    pub hash: Digest,
}

impl WithdrawnDigest {
    pub(crate) fn of(ids: &BTreeSet<KeyId>) -> Self {
        let mut hash = Sha256::new();
        for id in ids {
            hash.update(id.as_str());
            hash.update([0]);
        }
        Self {
            count: ids.len() as u64,
            hash: Digest(hash.finalize().into()),
        }
    }
}

/// Parses the id of a key text, whose secret must not be empty.
pub(crate) fn parse_key_id(key: &str) -> Result<KeyId, KeyError> {
    let rest = key.strip_prefix("zk_").ok_or(KeyError::Malformed)?;
    let (id, secret) = rest.split_once('_').ok_or(KeyError::Malformed)?;
    if secret.is_empty() {
        return Err(KeyError::Malformed);
    }
    id.parse()
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct GrantedKey {
    hash: KeyHash,
    role: KeyRole,
}

/// Key grants and withdrawals recorded in the log.
///
/// Withdrawals known only to this VM are kept elsewhere, since the effect of a log entry must not
/// depend on them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Keys {
    granted: BTreeMap<KeyId, GrantedKey>,
    withdrawn: BTreeSet<KeyId>,
}

impl Keys {
    pub(crate) fn grant(&mut self, id: KeyId, hash: KeyHash, role: KeyRole) -> Reply {
        if self.withdrawn.contains(&id) {
            return Reply::Refused(Refusal::KeyWithdrawn(id));
        }
        let entry = GrantedKey { hash, role };
        match self.granted.get(&id) {
            Some(old) if *old != entry => Reply::Refused(Refusal::KeyConflict(id)),
            Some(_) => Reply::Done,
            None => {
                self.granted.insert(id, entry);
                Reply::Done
            }
        }
    }

    pub(crate) fn withdraw(&mut self, ids: &[KeyId]) -> Reply {
        self.withdrawn.extend(ids);
        Reply::Done
    }

    pub(crate) fn withdrawn(&self) -> &BTreeSet<KeyId> {
        &self.withdrawn
    }

    pub(crate) fn grants(&self) -> impl Iterator<Item = KeyGrant> {
        self.granted.iter().map(|(&id, entry)| KeyGrant {
            id,
            role: entry.role,
        })
    }

    /// Role of a granted key that the log has not withdrawn.
    pub(crate) fn role(&self, id: KeyId) -> Result<KeyRole, Refusal> {
        if self.withdrawn.contains(&id) {
            return Err(Refusal::KeyWithdrawn(id));
        }
        let entry = self.granted.get(&id);
        entry.map(|e| e.role).ok_or(Refusal::KeyRefused(id))
    }

    /// Checks a key text against the grant of its id, whether or not the key is withdrawn.
    pub(crate) fn check(&self, id: KeyId, key: &str) -> Result<KeyGrant, KeyError> {
        let entry = self.granted.get(&id);
        // An unknown id takes the same time as a known one, so that timing reveals no ids.
        let hash = entry.map_or(KeyHash(Digest([0; 32])), |e| e.hash);
        let hash_matches = hash.matches(key);
        match entry {
            Some(entry) if hash_matches => Ok(KeyGrant {
                id,
                role: entry.role,
            }),
            _ => Err(KeyError::Unknown),
        }
    }
}
