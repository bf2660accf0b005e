//! The common types, for `use coordination::prelude::*`.

pub use crate::ask::{Ask, Class, Grant, Held, Report, Verdict};
pub use smallvec::SmallVec;
pub use state::prelude::*;
