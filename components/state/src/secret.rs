//! Hashes of secrets: the fleet never stores the key of a caller or operator in plain text.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// SHA-256 of a secret or of an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Hash(pub [u8; 32]);

impl Hash {
    /// Hashes the parts. If there are several, each is preceded by its length, so that different
    /// lists of parts have different inputs.
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut sha = Sha256::new();
        for part in parts {
            if parts.len() > 1 {
                // CAST: `usize` is at most 64 bits on every supported target.
                sha.update((part.len() as u64).to_be_bytes());
            }
            sha.update(part);
        }
        Hash(sha.finalize().into())
    }

    /// Lower-case hexadecimal digits.
    pub fn hex(&self) -> String {
        self.0.iter().map(|b| format!("{b:02x}")).collect()
    }
}

impl TryFrom<&str> for Hash {
    type Error = String;

    fn try_from(raw: &str) -> Result<Self, Self::Error> {
        let error = || "64 hexadecimal digits: the SHA-256 of the key".to_owned();
        if raw.len() != 64 || !raw.is_ascii() {
            return Err(error());
        }
        let mut bytes = [0; 32];
        for (i, byte) in bytes.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&raw[2 * i..2 * i + 2], 16).map_err(|_| error())?;
        }
        Ok(Hash(bytes))
    }
}
