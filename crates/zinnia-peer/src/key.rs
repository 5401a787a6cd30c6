//! Key that all daemons of a cell share.

use std::fmt;

use http::HeaderValue;
use subtle::ConstantTimeEq;

/// Secret shared by the daemons of a cell.
///
/// `Debug` prints a placeholder, and the type implements neither `Display` nor `Serialize`. This
/// keeps the key out of logs, errors and dumps.
#[derive(Clone)]
pub struct ClusterKey(HeaderValue);

/// Error of [`ClusterKey::new`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClusterKeyError {
    /// The text is shorter than [`ClusterKey::MIN_BYTES`] or longer than [`ClusterKey::MAX_BYTES`].
    InvalidLength,
    /// The text contains a character other than visible ASCII.
    InvalidCharacter,
}

impl fmt::Display for ClusterKeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::InvalidLength => write!(
                f,
                "the cluster key must have {} to {} bytes",
                ClusterKey::MIN_BYTES,
                ClusterKey::MAX_BYTES
            ),
            Self::InvalidCharacter => {
                f.write_str("the cluster key may contain only visible ASCII characters")
            }
        }
    }
}

impl std::error::Error for ClusterKeyError {}

impl ClusterKey {
    /// Minimum length in bytes. 16 random bytes cannot be guessed.
    pub const MIN_BYTES: usize = 16;
    /// Maximum length in bytes.
    pub const MAX_BYTES: usize = 256;

    /// Creates a key from `text`. Removes surrounding white space, such as the newline at the end
    /// of a key file.
    ///
    /// # Errors
    ///
    /// Returns a [`ClusterKeyError`] if the text is not a valid key. The error does not contain the
    /// text.
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

    /// Returns the key as the value of a request header, marked as sensitive.
    pub(crate) fn header_value(&self) -> HeaderValue {
        self.0.clone()
    }

    /// Returns whether `received` is this key. The comparison takes constant time.
    pub(crate) fn matches(&self, received: &HeaderValue) -> bool {
        self.0.as_bytes().ct_eq(received.as_bytes()).into()
    }
}

impl fmt::Debug for ClusterKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ClusterKey(..)")
    }
}
