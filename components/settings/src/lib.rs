//! Parses and validates INI files: the settings of a process, and the
//! configuration of a fleet.
//!
//! Each section is read into a raw struct of optional texts and then validated;
//! an error names the file, section, key, value and the allowed values.

mod configuration;
mod process;
mod section;

pub use configuration::{parse as parse_configuration, print as print_configuration};
pub use process::{
    Callers, Control, Fault, KeyFiles, Link, Listing, Log, Operators, Peers, Platform, Readiness,
    Releases, Retries, Router, Scheduling, Settings, Vm,
};
pub use section::Adjustment;
