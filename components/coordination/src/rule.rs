//! Which rule decides a request.

use crate::prelude::*;
use state::config::{Rule, Service, When};
use state::route::Routes;

/// What a rule may ask about a request.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Customer, if its key is known.
    pub customer: Option<&'a Name>,
    /// Service that the caller named.
    pub service: Option<&'a str>,
    /// Method in upper case.
    pub method: &'a str,
    /// Host that the caller names, in lower case, without a port.
    pub host: Option<&'a str>,
    /// Path without its query.
    pub path: &'a str,
    /// Headers, by lower-case name.
    pub headers: &'a [(&'a str, &'a [u8])],
    /// Data centre of the router.
    pub data_centre: &'a Name,
    /// Size hint, or the length of the body.
    pub size: u64,
}

/// The first rule that matches, with its place in the list.
///
/// `routes` must have been made from the same rules. A rule whose services can
/// be reached without a customer's key matches without one, too.
pub fn first_match<'a>(
    rules: &'a [Rule],
    routes: &Routes,
    request: &Request<'_>,
) -> Option<(u16, &'a Rule)> {
    let places = routes.candidates(request.host, request.path);
    let found = |place: &u16| rules.get(usize::from(*place)).map(|rule| (*place, rule));
    let mut rules = places.iter().filter_map(found);
    rules.find(|(_, rule)| matches(&rule.when, request))
}

fn matches(when: &When, request: &Request<'_>) -> bool {
    let any = |empty: bool, found: bool| empty || found;
    any(
        when.customers.is_empty(),
        when.customers.iter().any(|c| Some(c) == request.customer),
    ) && (when.service.as_ref()).is_none_or(|s| request.service == Some(s.as_str()))
        && any(
            when.methods.is_empty(),
            when.methods.iter().any(|m| m == request.method),
        )
        && (when.host.as_ref()).is_none_or(|h| request.host == Some(h.as_str()))
        && (when.path.as_ref()).is_none_or(|p| request.path.starts_with(p.as_str()))
        && (when.header.as_ref()).is_none_or(|(n, v)| header(request, n, v.as_deref()))
        && (when.data_centre.as_ref()).is_none_or(|d| d == request.data_centre)
        && when.size_min.is_none_or(|min| request.size >= min)
        && when.size_max.is_none_or(|max| request.size <= max)
}

fn header(request: &Request<'_>, name: &str, value: Option<&str>) -> bool {
    (request.headers.iter())
        .any(|(n, v)| *n == name && value.is_none_or(|wanted| wanted.as_bytes() == *v))
}

/// Pairs of rules where the first takes all that the second could match, by
/// place in the list.
pub fn shadowed(rules: &[Rule]) -> Vec<(usize, usize)> {
    let mut found = Vec::new();
    for later in 1..rules.len() {
        let cover = (0..later).find(|earlier| covers(&rules[*earlier].when, &rules[later].when));
        if let Some(earlier) = cover {
            found.push((earlier, later));
        }
    }
    found
}

/// Whether `wide` matches everything that `narrow` matches.
fn covers(wide: &When, narrow: &When) -> bool {
    fn list<T>(wide: &[T], narrow: &[T]) -> bool
    where
        T: PartialEq,
    {
        wide.is_empty() || (!narrow.is_empty() && narrow.iter().all(|n| wide.contains(n)))
    }
    fn one<T>(wide: &Option<T>, narrow: &Option<T>) -> bool
    where
        T: PartialEq,
    {
        wide.is_none() || wide == narrow
    }
    let path = match (&wide.path, &narrow.path) {
        (None, _) => true,
        (Some(w), Some(n)) => n.starts_with(w.as_str()),
        (Some(_), None) => false,
    };
    let head = match (&wide.header, &narrow.header) {
        (None, _) => true,
        (Some((w, None)), Some((n, _))) => w == n,
        (w, n) => w == n,
    };
    let low = wide.size_min.unwrap_or(0) <= narrow.size_min.unwrap_or(0);
    let high = wide.size_max.unwrap_or(u64::MAX) >= narrow.size_max.unwrap_or(u64::MAX);
    list(&wide.customers, &narrow.customers)
        && list(&wide.methods, &narrow.methods)
        && one(&wide.service, &narrow.service)
        && one(&wide.data_centre, &narrow.data_centre)
        && one(&wide.host, &narrow.host)
        && path
        && head
        && low
        && high
}

/// Whether a request that a rule sends may safely run twice.
///
/// The rule goes first, then the service, then what HTTP says of the method.
pub fn is_idempotent(rule: Option<bool>, service: &Service, method: &str) -> bool {
    const METHODS: [&str; 6] = ["GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"];
    rule.unwrap_or(service.idempotent || METHODS.contains(&method))
}
