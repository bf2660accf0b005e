//! Fingerprints by which all routers recognise the same request, or the same part of prompts.

use crate::id::{CustomerId, PartId};
use crate::secret::Hash;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Length of a fingerprint in bytes: long enough that collisions cannot be found on purpose.
const LENGTH: usize = 16;

/// First bytes of the fingerprint of a part of prompts, whoever sends it.
const PART: [u8; 4] = [0, 0, 0, 1];
/// First bytes of the fingerprint of a part of the prompts of one customer.
const CUSTOMER_PART: [u8; 4] = [0, 0, 0, 2];

/// Hash of a request's customer, method, host, path and body; or a part of prompts, of one customer
/// or of all.
///
/// A part is written out, not hashed, so that operators can read it.
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

    /// The fingerprint of a part of the prompts of one customer, or of all.
    pub fn of_part(part: PartId, customer: Option<CustomerId>) -> Self {
        let (kind, CustomerId(customer)) = match customer {
            Some(customer) => (CUSTOMER_PART, customer),
            None => (PART, CustomerId::default()),
        };
        let mut bytes = [0; LENGTH];
        bytes[..4].copy_from_slice(&kind);
        bytes[4..8].copy_from_slice(&customer.to_be_bytes());
        bytes[8..].copy_from_slice(&part.0.to_be_bytes());
        Fingerprint(bytes)
    }

    /// Whether this is the fingerprint of a part, of the prompts of one customer or of all.
    pub fn is_of_part(&self, part: PartId) -> bool {
        self.part().is_some_and(|(id, _)| id == part)
    }

    /// The part of prompts that this is the fingerprint of, if it is one, and its customer, if it
    /// is of one alone.
    pub fn part(&self) -> Option<(PartId, Option<CustomerId>)> {
        let (head, id) = self.0.split_at(8);
        let (kind, customer) = head.split_at(4);
        let id = PartId(u64::from_be_bytes(id.try_into().ok()?));
        let customer = CustomerId(u32::from_be_bytes(customer.try_into().ok()?));
        if kind == CUSTOMER_PART {
            return Some((id, Some(customer)));
        }
        (kind == PART && customer == CustomerId::default()).then_some((id, None))
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
