//! Matches requests against the rules of the configuration.

use crate::prelude::*;
use state::config::{Rule, Service, When};
use state::route::Routes;

/// The properties of a request that rules can match.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Customer, if the request carries a known key.
    pub customer: Option<&'a Name>,
    /// Service requested by the caller.
    pub service: Option<&'a str>,
    /// Method in upper case.
    pub method: &'a str,
    /// Requested host in lower case, without a port.
    pub host: Option<&'a str>,
    /// Path without the query.
    pub path: &'a str,
    /// Headers, by lower-case name.
    pub headers: &'a [(&'a str, &'a [u8])],
    /// Data centre of the router.
    pub data_centre: &'a Name,
    /// Size hint, or the length of the body.
    pub size: u64,
}

/// Returns the first rule that matches, with its index in the list.
///
/// `routes` must have been built from the same rules. A rule without a list of customers also
/// matches a request without a customer; whether the rule allows anonymous requests is not
/// checked here.
pub fn first_match<'a>(
    rules: &'a [Rule],
    routes: &Routes,
    request: &Request<'_>,
) -> Option<(u16, &'a Rule)> {
    let indices = routes.candidates(request.host, request.path);
    let rule_at = |index: &u16| rules.get(usize::from(*index)).map(|rule| (*index, rule));
    let mut rules = indices.iter().filter_map(rule_at);
    rules.find(|(_, rule)| matches(&rule.when, request))
}

fn matches(when: &When, request: &Request<'_>) -> bool {
    let any = |is_empty: bool, is_listed: bool| is_empty || is_listed;
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
        && (when.header.as_ref()).is_none_or(|(n, v)| has_header(request, n, v.as_deref()))
        && (when.data_centre.as_ref()).is_none_or(|d| d == request.data_centre)
        && when.size_min.is_none_or(|min| request.size >= min)
        && when.size_max.is_none_or(|max| request.size <= max)
}

fn has_header(request: &Request<'_>, name: &str, value: Option<&str>) -> bool {
    (request.headers.iter())
        .any(|(n, v)| *n == name && value.is_none_or(|wanted| wanted.as_bytes() == *v))
}

/// Finds rules that can never match because an earlier rule covers them. Returns pairs of
/// indices: the earlier rule and the rule that it shadows.
pub fn shadowed(rules: &[Rule]) -> Vec<(usize, usize)> {
    let mut pairs = Vec::new();
    for later in 1..rules.len() {
        let covering = (0..later).find(|earlier| covers(&rules[*earlier].when, &rules[later].when));
        if let Some(earlier) = covering {
            pairs.push((earlier, later));
        }
    }
    pairs
}

/// Whether `wide` matches every request that `narrow` matches.
fn covers(wide: &When, narrow: &When) -> bool {
    fn list_covers<T>(wide: &[T], narrow: &[T]) -> bool
    where
        T: PartialEq,
    {
        wide.is_empty() || (!narrow.is_empty() && narrow.iter().all(|n| wide.contains(n)))
    }
    fn option_covers<T>(wide: &Option<T>, narrow: &Option<T>) -> bool
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
    let header = match (&wide.header, &narrow.header) {
        (None, _) => true,
        (Some((w, None)), Some((n, _))) => w == n,
        (w, n) => w == n,
    };
    let size_min = wide.size_min.unwrap_or(0) <= narrow.size_min.unwrap_or(0);
    let size_max = wide.size_max.unwrap_or(u64::MAX) >= narrow.size_max.unwrap_or(u64::MAX);
    list_covers(&wide.customers, &narrow.customers)
        && list_covers(&wide.methods, &narrow.methods)
        && option_covers(&wide.service, &narrow.service)
        && option_covers(&wide.data_centre, &narrow.data_centre)
        && option_covers(&wide.host, &narrow.host)
        && path
        && header
        && size_min
        && size_max
}

/// Whether a request may safely run twice.
///
/// The rule's setting takes precedence. Otherwise the request is idempotent if the service
/// is, or if HTTP defines the method as idempotent.
pub fn is_idempotent(rule: Option<bool>, service: &Service, method: &str) -> bool {
    const METHODS: [&str; 6] = ["GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"];
    rule.unwrap_or(service.idempotent || METHODS.contains(&method))
}
