//! Common types, imported with `use coordination::prelude::*`.

pub use crate::messages::{Ask, Class, Grant, Held, Refusal, Report, Usage, Verdict};
pub use crate::prompt::Prompt;
pub use smallvec::SmallVec;
pub use state::prelude::*;
