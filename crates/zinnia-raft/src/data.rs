//! Opaque payload of entries and snapshots.

use std::fmt;
use std::string::FromUtf8Error;
use std::sync::Arc;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;

/// Text that the log replicates without interpreting it. Clones share the allocation.
///
/// Serialized as a JSON string, which is much shorter than an array of bytes.
#[derive(Clone, PartialEq, Eq)]
pub struct Data(Arc<str>);

impl Data {
    /// Returns the text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Length in bytes.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether the text is empty.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns at most `max` bytes from `offset` on, ending at a character boundary. The result is
    /// empty if `offset` is out of range or within a character.
    pub(crate) fn chunk(&self, offset: usize, max: usize) -> &str {
        let Some(rest) = self.0.get(offset..) else {
            return "";
        };
        if rest.len() <= max {
            return rest;
        }
        // Always include one character, so that a transfer makes progress even if `max` is smaller.
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
