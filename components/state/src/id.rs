//! Identifiers: validated names for people, small `Copy` keys for messages between VMs.

use crate::secret::Hash;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Longest name in bytes.
pub const NAME_MAX: usize = 63;

/// A validated name: 1 to 63 of `a-z`, `0-9`, `-`, starting with a letter.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Name(String);

impl Name {
    /// The name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Placeholder for a missing name.
    pub fn unnamed() -> Self {
        Name("unnamed".to_owned())
    }
}

impl TryFrom<String> for Name {
    type Error = String;

    fn try_from(raw: String) -> Result<Self, Self::Error> {
        let starts_with_letter = raw.bytes().next().is_some_and(|b| b.is_ascii_lowercase());
        let has_valid_bytes = raw
            .bytes()
            .all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-');
        if !starts_with_letter || !has_valid_bytes || raw.len() > NAME_MAX {
            return Err(
                "a name has 1 to 63 of a-z, 0-9 and '-', and starts with a letter".to_owned(),
            );
        }
        Ok(Name(raw))
    }
}

impl TryFrom<&str> for Name {
    type Error = String;

    fn try_from(raw: &str) -> Result<Self, Self::Error> {
        Name::try_from(raw.to_owned())
    }
}

impl From<Name> for String {
    fn from(name: Name) -> Self {
        name.0
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}

/// Declares a small `Copy` key type.
macro_rules! key {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }
    };
}

key!(
    /// Number of a customer, assigned when it is first accepted and never reused.
    CustomerId(u32)
);
key!(
    /// Number of a service, assigned when it is first accepted and never reused.
    ServiceId(u32)
);
key!(
    /// Number of an endpoint: assigned by the configuration, or a hash for a listed endpoint.
    EndpointId(u32)
);
key!(
    /// Number of a scheduler's assignment; a later assignment has a larger one.
    Epoch(u64)
);
key!(
    /// Version of the view, one more for each committed change.
    Version(u64)
);

/// Identifier of a part of a prompt, which requests of several customers may share.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct PartId(pub u64);

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

/// Identifier of a request, unique in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestId {
    /// Incarnation of the router that received the request.
    pub router: u64,
    /// Number of the request within that incarnation.
    pub count: u64,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{:x}", self.router, self.count)
    }
}

/// Length of [`Software`], in bytes.
const SOFTWARE_BYTES: usize = 16;
/// Part of a long version that [`Software`] keeps as text, in bytes.
const SOFTWARE_PREFIX_BYTES: usize = 7;

/// Version of an endpoint's software: its text, padded with zeros. A longer text is its first
/// bytes, `~`, and a hash in hexadecimal. Versions have no order.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Software([u8; SOFTWARE_BYTES]);

impl Software {
    /// The version of endpoints that state none.
    pub const UNSTATED: Software = Software([0; SOFTWARE_BYTES]);

    /// The version with this text; [`Software::UNSTATED`] if it is empty.
    pub fn of(text: &str) -> Self {
        let mut bytes = [0; SOFTWARE_BYTES];
        let text = text.as_bytes();
        if let Some(place) = bytes.get_mut(..text.len()) {
            place.copy_from_slice(text);
            return Software(bytes);
        }
        let Hash(hash) = Hash::of(&[text]);
        let digits = hash.iter().flat_map(|b| [b >> 4, b & 0xf]);
        let digits = digits.map(|d| b"0123456789abcdef"[usize::from(d)]);
        let prefix = text.iter().take(SOFTWARE_PREFIX_BYTES).copied();
        let all = prefix.chain([b'~']).chain(digits);
        bytes.iter_mut().zip(all).for_each(|(place, b)| *place = b);
        Software(bytes)
    }

    /// Whether the endpoint states its version.
    pub fn is_stated(self) -> bool {
        self != Software::UNSTATED
    }
}

impl fmt::Display for Software {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let end = self.0.iter().rposition(|b| *b != 0).map_or(0, |at| at + 1);
        f.write_str(&String::from_utf8_lossy(&self.0[..end]))
    }
}

impl EndpointId {
    /// Number of a listed endpoint whose start time is unknown: a hash, equal on all VMs.
    pub fn of(name: &Name) -> Self {
        EndpointId::hashed(&[name.as_str().as_bytes()])
    }

    /// Number of one start of a listed endpoint, by the Unix time of the start in milliseconds.
    pub fn of_start(name: &Name, started_ms: u64) -> Self {
        EndpointId::hashed(&[name.as_str().as_bytes(), &started_ms.to_be_bytes()])
    }

    fn hashed(parts: &[&[u8]]) -> Self {
        let Hash(bytes) = Hash::of(parts);
        EndpointId(u32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]))
    }
}
