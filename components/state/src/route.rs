//! Index of the rules by host and path, so that routing does not scan hundreds of rules.

use crate::config::{Rule, When};
use smallvec::SmallVec;
use std::collections::HashMap;

/// Positions of rules in their list.
pub type Positions = SmallVec<[u16; 8]>;

/// Positions of rules by host and path.
#[derive(Clone, Debug, Default)]
pub struct Routes {
    hosts: HashMap<String, HashMap<String, SmallVec<[u16; 1]>>>,
    /// Rules that cannot be looked up, and so are candidates for every request.
    others: Vec<u16>,
}

impl Routes {
    /// Positions of the rules that could match a host and path, in order.
    ///
    /// All matching rules are among them, so the first candidate whose condition holds is
    /// also the first of all rules whose condition holds.
    pub fn candidates(&self, host: Option<&str>, path: &str) -> Positions {
        let mut found: Positions = self.others.iter().copied().collect();
        let paths = host.and_then(|host| self.hosts.get(host));
        if let Some(paths) = paths {
            for (slash, _) in path.match_indices('/') {
                found.extend(paths.get(&path[..=slash]).into_iter().flatten().copied());
            }
        }
        found.sort_unstable();
        found
    }
}

impl From<&[Rule]> for Routes {
    fn from(rules: &[Rule]) -> Self {
        let mut routes = Routes::default();
        for (position, rule) in rules.iter().enumerate() {
            // `Draft::check` refuses configurations with more rules.
            let Ok(position) = u16::try_from(position) else {
                break;
            };
            match key(&rule.when) {
                Some((host, path)) => {
                    let paths = routes.hosts.entry(host.to_owned()).or_default();
                    paths.entry(path.to_owned()).or_default().push(position);
                }
                None => routes.others.push(position),
            }
        }
        routes
    }
}

/// Host and path by which a rule can be looked up: it needs a host, and a path that ends
/// with a slash.
fn key(when: &When) -> Option<(&str, &str)> {
    let path = when.path.as_deref().filter(|path| path.ends_with('/'))?;
    Some((when.host.as_deref()?, path))
}
