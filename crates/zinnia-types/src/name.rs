//! Short names that are stored inline, so that ids made from them are `Copy`.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de;

/// A name of 1 to 31 bytes: ASCII letters, digits, `-`, `_` and `.`.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Name {
    bytes: [u8; Self::MAX],
    len: u8,
}

/// Error for a text that is not a valid [`Name`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NameError {
    /// The text is empty or longer than [`Name::MAX`] bytes; contains its length in bytes.
    InvalidLength(usize),
    /// The text contains a byte that is not allowed; contains its position.
    InvalidByte(usize),
}

impl fmt::Display for NameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::InvalidLength(length) => {
                write!(
                    f,
                    "a name must have 1 to {} bytes, but this one has {length}",
                    Name::MAX
                )
            }
            Self::InvalidByte(at) => write!(
                f,
                "a name may contain only ASCII letters, digits, '-', '_' and '.'; the byte at position {at} is not allowed"
            ),
        }
    }
}

impl std::error::Error for NameError {}

impl Name {
    /// Maximum length of a name in bytes.
    pub const MAX: usize = 31;

    /// Creates a name from `text`.
    ///
    /// # Errors
    ///
    /// Returns a [`NameError`] if the length or a byte is not allowed.
    pub fn new(text: &str) -> Result<Self, NameError> {
        let source = text.as_bytes();
        if source.is_empty() || source.len() > Self::MAX {
            return Err(NameError::InvalidLength(source.len()));
        }
        let invalid = source
            .iter()
            .position(|b| !b.is_ascii_alphanumeric() && !matches!(b, b'-' | b'_' | b'.'));
        if let Some(at) = invalid {
            return Err(NameError::InvalidByte(at));
        }
        let mut bytes = [0; Self::MAX];
        bytes[..source.len()].copy_from_slice(source);
        Ok(Self {
            bytes,
            len: source.len() as u8,
        })
    }

    /// Returns the name as a string slice.
    pub fn as_str(&self) -> &str {
        std::str::from_utf8(&self.bytes[..usize::from(self.len)]).unwrap_or_default()
    }
}

impl FromStr for Name {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, NameError> {
        Self::new(text)
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

impl fmt::Debug for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl Serialize for Name {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.serialize_str(self.as_str())
    }
}

struct NameVisitor;

impl de::Visitor<'_> for NameVisitor {
    type Value = Name;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a name of 1 to {} bytes", Name::MAX)
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<Name, E> {
        Name::new(text).map_err(E::custom)
    }
}

impl<'de> Deserialize<'de> for Name {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        d.deserialize_str(NameVisitor)
    }
}

impl schemars::JsonSchema for Name {
    fn schema_name() -> std::borrow::Cow<'static, str> {
        "Name".into()
    }

    fn json_schema(_: &mut schemars::SchemaGenerator) -> schemars::Schema {
        schemars::json_schema!({
            "type": "string",
            // Browsers compile the `pattern` attribute of form inputs with the `v` flag, which
            // requires an escaped hyphen in a character class.
            "pattern": "^[A-Za-z0-9._\\-]{1,31}$",
        })
    }
}

macro_rules! name_id {
    ($(#[$doc:meta])* $id:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash,
            Serialize, Deserialize, schemars::JsonSchema,
        )]
        #[serde(transparent)]
        pub struct $id(pub Name);

        impl $id {
            /// Creates an id from `text`.
            ///
            /// # Errors
            ///
            /// Returns a [`NameError`] if the text is not a valid name.
            pub fn new(text: &str) -> Result<Self, NameError> {
                Name::new(text).map(Self)
            }

            /// Returns the id as a string slice.
            pub fn as_str(&self) -> &str {
                self.0.as_str()
            }
        }

        impl FromStr for $id {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                Self::new(text)
            }
        }

        impl fmt::Display for $id {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl fmt::Debug for $id {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(self.as_str())
            }
        }
    };
}

name_id! {
    /// Name of a team that submits work.
    TeamId
}
name_id! {
    /// Name of a worker, a target that runs tasks.
    WorkerId
}
name_id! {
    /// Name of a failure domain.
    DomainId
}
name_id! {
    /// Name of a rack in a failure domain.
    RackId
}
name_id! {
    /// Name under which callers address a service; it is the name of the service's job.
    ServiceId
}
