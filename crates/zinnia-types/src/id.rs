//! Identifiers of VMs, jobs and attempts, and the owner epoch of a worker.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de;
use sha2::Digest;
use sha2::Sha256;

use crate::TeamId;

/// Returns `text`, or an empty string, which fails to parse, if it begins with `+`.
///
/// The integer parsers of the standard library accept a leading `+`. The same id with and without
/// the sign would be two keys in a map keyed by text.
fn reject_plus_sign(text: &str) -> &str {
    if text.starts_with('+') { "" } else { text }
}

macro_rules! hex_id {
    ($(#[$doc:meta])* $id:ident, $expecting:literal) => {
        $(#[$doc])*
        ///
        /// Serialised as 16 hexadecimal digits, because many JSON parsers lose precision above
        /// 2^53.
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
        pub struct $id(pub u64);

        impl fmt::Display for $id {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:016x}", self.0)
            }
        }

        impl fmt::Debug for $id {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:016x}", self.0)
            }
        }

        impl FromStr for $id {
            type Err = std::num::ParseIntError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                u64::from_str_radix(reject_plus_sign(text), 16).map(Self)
            }
        }

        impl Serialize for $id {
            fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
                s.collect_str(self)
            }
        }

        impl<'de> Deserialize<'de> for $id {
            fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
                struct Visitor;

                impl de::Visitor<'_> for Visitor {
                    type Value = $id;

                    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                        f.write_str($expecting)
                    }

                    fn visit_str<E: de::Error>(self, text: &str) -> Result<$id, E> {
                        text.parse().map_err(E::custom)
                    }
                }

                d.deserialize_str(Visitor)
            }
        }
    };
}

hex_id! {
    /// Id of a member VM. It is generated at random when the data folder is created, so that a VM
    /// whose disk was wiped rejoins under a new id.
    VmId, "a VM id in hexadecimal digits"
}
hex_id! {
    /// Id of a job: a hash of the team and of the job's name, which is unique within the team.
    JobId, "a job id in hexadecimal digits"
}

impl JobId {
    /// Returns the id of the job `name` of `team`.
    pub fn of(team: TeamId, name: &str) -> Self {
        let mut hasher = Sha256::new();
        hasher.update(team.as_str());
        hasher.update([0]);
        hasher.update(name);
        let digest = hasher.finalize();
        let mut prefix = [0; 8];
        prefix.copy_from_slice(&digest[..8]);
        Self(u64::from_be_bytes(prefix))
    }
}

/// Owner epoch of a worker. The worker increases it for each new owner and rejects commands that
/// carry an older epoch.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Epoch(pub u64);

/// Id of one attempt to run a task of a job, unique in the cell.
///
/// It includes the term of the acting owner, so that two acting owners never create the same id.
/// Serialised as `job.task.term.number`.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// Id of the job.
    pub job: JobId,
    /// Index of the task within the job, from 0.
    pub task: u32,
    /// Term of the acting owner that created the attempt.
    pub term: u64,
    /// Number of the attempt within the term, from 1.
    pub number: u32,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}.{}.{}.{}",
            self.job, self.task, self.term, self.number
        )
    }
}

impl fmt::Debug for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for AttemptId {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        const INVALID_FORMAT: &str = "an attempt id must have the form job.task.term.number";
        let mut parts = text.split('.');
        let mut next = || parts.next().map(reject_plus_sign).ok_or(INVALID_FORMAT);
        let attempt = Self {
            job: next()?.parse().map_err(|_| INVALID_FORMAT)?,
            task: next()?.parse().map_err(|_| INVALID_FORMAT)?,
            term: next()?.parse().map_err(|_| INVALID_FORMAT)?,
            number: next()?.parse().map_err(|_| INVALID_FORMAT)?,
        };
        match parts.next() {
            None => Ok(attempt),
            Some(_) => Err(INVALID_FORMAT),
        }
    }
}

impl Serialize for AttemptId {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.collect_str(self)
    }
}

struct AttemptVisitor;

impl de::Visitor<'_> for AttemptVisitor {
    type Value = AttemptId;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an attempt id of the form job.task.term.number")
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<AttemptId, E> {
        text.parse().map_err(E::custom)
    }
}

impl<'de> Deserialize<'de> for AttemptId {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        d.deserialize_str(AttemptVisitor)
    }
}
