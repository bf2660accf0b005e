//! Whose a connection is, before it is admitted.

use super::listen::Frontend;
use crate::interface::{Interface, Key};
use rustix::net::RecvFlags;
use state::id::CustomerId;
use state::secret::Hash;
use tokio::net::TcpStream;

/// Most bytes of a head that are examined.
const PEEK_BYTES: usize = 2048;
/// Most headers of a head that is understood.
const HEADERS_MAX: usize = 64;

impl Frontend {
    /// The customer of the first request on a connection, whose bytes stay unread; `None` if its key
    /// has not arrived. Requests without a known key are of [`ANONYMOUS_CUSTOMER`].
    ///
    /// [`ANONYMOUS_CUSTOMER`]: super::plan::ANONYMOUS_CUSTOMER
    pub(super) fn peek_customer(&self, stream: &TcpStream) -> Option<CustomerId> {
        let mut buffer = [0; PEEK_BYTES];
        let flags = RecvFlags::PEEK | RecvFlags::DONTWAIT;
        let (count, _) = rustix::net::recv(stream, &mut buffer, flags).ok()?;
        let key = find_key(&buffer[..count], &self.context.interface)?;
        let published = self.context.published.borrow();
        let id = key.and_then(|key| published.index.customer(&key));
        Some(id.unwrap_or(super::plan::ANONYMOUS_CUSTOMER))
    }
}

/// Hash of the key in a head of which `bytes` have arrived: `None` if it may still arrive,
/// `Some(None)` if there is none.
fn find_key(bytes: &[u8], interface: &Interface) -> Option<Option<Hash>> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut request = httparse::Request::new(&mut headers);
    let is_complete = request.parse(bytes).ok()?.is_complete();
    let Key { header, prefix } = interface.key;
    let mut headers = request.headers.iter();
    let found = headers.find(|found| found.name.eq_ignore_ascii_case(header));
    let key = found.and_then(|found| found.value.strip_prefix(prefix.as_bytes()));
    let hash = key.map(|key| Hash::of(&[key.trim_ascii()]));
    (is_complete || hash.is_some()).then_some(hash)
}

#[cfg(test)]
mod tests;
