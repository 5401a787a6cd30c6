//! Opaque content of entries and snapshots.

use std::fmt;
use std::string::FromUtf8Error;
use std::sync::Arc;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;

/// Text that the log carries without reading it; cloning shares it.
///
/// Serialised as one JSON string, which is far shorter than an array of numbers.
#[derive(Clone, PartialEq, Eq)]
pub struct Data(Arc<str>);

impl Data {
    /// The text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Length in bytes.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there is no text.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// At most `max` bytes from byte `at` on, cut at a character; empty when `at` is not valid.
    pub(crate) fn chunk(&self, offset: usize, max: usize) -> &str {
        let Some(rest) = self.0.get(offset..) else {
            return "";
        };
        if rest.len() <= max {
            return rest;
        }
        // One character is always sent, so that a tiny bound cannot stall a transfer.
        let first = rest.chars().next().map_or(0, char::len_utf8);
        let end = (0..=max).rev().find(|&n| rest.is_char_boundary(n));
        &rest[..end.unwrap_or(0).max(first)]
    }
}

impl Default for Data {
    fn default() -> Self {
        Self(Arc::from(""))
    }
}

impl fmt::Debug for Data {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Data({} bytes)", self.len())
    }
}

impl From<&str> for Data {
    fn from(text: &str) -> Self {
        Self(Arc::from(text))
    }
}

impl From<String> for Data {
    fn from(text: String) -> Self {
        Self(Arc::from(text))
    }
}

impl TryFrom<Vec<u8>> for Data {
    type Error = FromUtf8Error;

    fn try_from(bytes: Vec<u8>) -> Result<Self, Self::Error> {
        String::from_utf8(bytes).map(Self::from)
    }
}

impl Serialize for Data {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.serialize_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Data {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        String::deserialize(d).map(Self::from)
    }
}
