//! Fingerprints by which all routers recognise the same request.

use crate::secret::Hash;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Length of a fingerprint in bytes: long enough that collisions cannot be found on purpose.
const LENGTH: usize = 16;

/// Hash of a request's customer, method, host, path and body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint([u8; LENGTH]);

/// The parts of a request that its fingerprint covers.
#[derive(Clone, Copy, Debug)]
pub struct Subject<'a> {
    /// Name of the customer; empty for a caller without a key.
    pub customer: &'a str,
    /// Method.
    pub method: &'a str,
    /// Host of the request; empty for none.
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
        let texts = [customer, method, host, path].map(str::as_bytes);
        let [customer, method, host, path] = texts;
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
        let error = || format!("{} hexadecimal digits", 2 * LENGTH);
        if raw.len() != 2 * LENGTH || !raw.is_ascii() {
            return Err(error());
        }
        let mut bytes = [0; LENGTH];
        for (i, byte) in bytes.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&raw[2 * i..2 * i + 2], 16).map_err(|_| error())?;
        }
        Ok(Fingerprint(bytes))
    }
}
