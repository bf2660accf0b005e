//! The common types, for `use coordination::prelude::*`.

pub use crate::ask::{Ask, Class, Grant, Held, Known, Refusal, Report, Verdict};
pub use crate::prompt::Prompt;
pub use smallvec::SmallVec;
pub use state::prelude::*;
