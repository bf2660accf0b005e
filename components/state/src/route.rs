//! An index of the rules, so that one of hundreds is found without a scan.

use crate::config::{Rule, When};
use smallvec::SmallVec;
use std::collections::HashMap;

/// Positions of rules in their list.
pub type Positions = SmallVec<[u16; 8]>;

/// Rules by host and path; those that ask for neither stand aside.
#[derive(Clone, Debug, Default)]
pub struct Routes {
    hosts: HashMap<String, HashMap<String, SmallVec<[u16; 1]>>>,
    /// Rules that must be tried one by one.
    others: Vec<u16>,
}

impl Routes {
    /// Positions of the rules that could match a host and path, in order.
    ///
    /// Every rule that matches is among them, so that the first of them whose
    /// condition holds is the first of all rules whose condition holds.
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
        for (place, rule) in rules.iter().enumerate() {
            // Rules beyond the largest place are refused by the draft's check.
            let Ok(place) = u16::try_from(place) else {
                break;
            };
            match key(&rule.when) {
                Some((host, path)) => {
                    let paths = routes.hosts.entry(host.to_owned()).or_default();
                    paths.entry(path.to_owned()).or_default().push(place);
                }
                None => routes.others.push(place),
            }
        }
        routes
    }
}

/// Host and path of a rule that can be looked up by them.
fn key(when: &When) -> Option<(&str, &str)> {
    let path = when.path.as_deref().filter(|path| path.ends_with('/'))?;
    Some((when.host.as_deref()?, path))
}
