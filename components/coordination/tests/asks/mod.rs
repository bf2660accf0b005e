//! Asks for the tests of placement and refusal.

use coordination::messages::{Ask, Class, Seq};
use coordination::prompt::Prompt;
use state::id::CustomerId;

/// An ask of customer 1, without rate and concurrency limits.
pub(crate) fn ask(seq: u64, prompt: Prompt, aim_ms: u32, hint: u32) -> Ask {
    Ask {
        seq: Seq(seq),
        class: Class {
            customer: CustomerId(1),
            rule: 0,
        },
        weight: 1,
        rate: 0,
        concurrency: 0,
        priority: 0,
        aim_ms,
        hint,
        prompt,
        avoid: None,
        remote: false,
    }
}
