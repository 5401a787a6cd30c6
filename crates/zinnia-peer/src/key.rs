//! The key that all daemons of a cell share.

use std::fmt;

use http::HeaderValue;
use subtle::ConstantTimeEq;

/// Secret shared by the daemons of a cell.
///
/// `Debug` prints a placeholder, there is no `Display`, and the type cannot be serialised, so that
/// the key reaches no log, error or dump.
#[derive(Clone)]
pub struct ClusterKey(HeaderValue);

/// Why a text is not a valid [`ClusterKey`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClusterKeyError {
    /// The text is shorter than [`ClusterKey::MIN_BYTES`] or longer than [`ClusterKey::MAX_BYTES`] bytes.
    InvalidLength,
    /// The text holds a character other than visible ASCII.
    InvalidCharacter,
}

impl fmt::Display for ClusterKeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::InvalidLength => write!(
                f,
                "a cluster key has {} to {} bytes",
                ClusterKey::MIN_BYTES,
                ClusterKey::MAX_BYTES
            ),
            Self::InvalidCharacter => {
                f.write_str("a cluster key holds visible ASCII characters only")
            }
        }
    }
}

impl std::error::Error for ClusterKeyError {}

impl ClusterKey {
    /// Fewest bytes; 16 random bytes resist guessing.
    pub const MIN_BYTES: usize = 16;
    /// Most bytes.
    pub const MAX_BYTES: usize = 256;

    /// Checks `text`, cutting white space around it as a key file has at its end.
    ///
    /// # Errors
    ///
    /// Returns a [`ClusterKeyError`] that does not quote the text.
    pub fn new(text: &str) -> Result<Self, ClusterKeyError> {
        let text = text.trim();
        if text.len() < Self::MIN_BYTES || text.len() > Self::MAX_BYTES {
            return Err(ClusterKeyError::InvalidLength);
        }
        if !text.bytes().all(|b| b.is_ascii_graphic()) {
            return Err(ClusterKeyError::InvalidCharacter);
        }
        let mut value =
            HeaderValue::from_str(text).map_err(|_| ClusterKeyError::InvalidCharacter)?;
        value.set_sensitive(true);
        Ok(Self(value))
    }

    /// The key as the value of a request header, marked as sensitive.
    pub(crate) fn header(&self) -> HeaderValue {
        self.0.clone()
    }

    /// Compares in a time that does not depend on where the bytes differ.
    pub(crate) fn matches(&self, given: &HeaderValue) -> bool {
        self.0.as_bytes().ct_eq(given.as_bytes()).into()
    }
}

impl fmt::Debug for ClusterKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ClusterKey(..)")
    }
}
