//! What makes two requests the same, whichever router they come to.

use crate::secret::Hash;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Bytes of a fingerprint: nobody finds another request with the same one.
const LENGTH: usize = 16;

/// Hash of a request's caller, method, host, path and body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint([u8; LENGTH]);

/// What a fingerprint is taken of.
#[derive(Clone, Copy, Debug)]
pub struct Subject<'a> {
    /// Name of the customer, empty for one without a key.
    pub customer: &'a str,
    /// Method.
    pub method: &'a str,
    /// Host that the caller names, empty for none.
    pub host: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Body.
    pub body: &'a [u8],
}

impl Fingerprint {
    /// The fingerprint of a request.
    pub fn of(subject: &Subject<'_>) -> Self {
        let Subject {
            customer,
            method,
            host,
            path,
            body,
        } = *subject;
        let heads = [customer, method, host, path].map(str::as_bytes);
        let [customer, method, host, path] = heads;
        let Hash(whole) = Hash::of(&[customer, method, host, path, body]);
        let mut short = [0; LENGTH];
        short.copy_from_slice(&whole[..LENGTH]);
        Fingerprint(short)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl TryFrom<&str> for Fingerprint {
    type Error = String;

    fn try_from(raw: &str) -> Result<Self, Self::Error> {
        let wrong = || format!("{} hexadecimal digits", 2 * LENGTH);
        if raw.len() != 2 * LENGTH || !raw.is_ascii() {
            return Err(wrong());
        }
        let mut bytes = [0; LENGTH];
        for (i, byte) in bytes.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&raw[2 * i..2 * i + 2], 16).map_err(|_| wrong())?;
        }
        Ok(Fingerprint(bytes))
    }
}
