//! INI settings of a process and INI configuration files, checked.
//!
//! Each section is read into a raw struct and then turned into a checked one;
//! an error names file, section, key, value and what is allowed.

mod configuration;
mod process;
mod section;

pub use configuration::{parse as parse_configuration, print as print_configuration};
pub use process::{
    Callers, Control, Fault, KeyFiles, Link, Listing, Log, Operators, Peers, Platform, Readiness,
    Releases, Retries, Router, Settings, Vm,
};
pub use section::Adjusted;
