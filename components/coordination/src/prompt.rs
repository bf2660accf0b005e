//! The prompt of a request, as far as it is known before the request is sent.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use state::id::PartId;

/// Most parts of a prompt; all tokens from the last part on count as one part.
///
/// Prompts have two or three shared parts and one of their own. The bound keeps asks small
/// and of a fixed size.
pub const MAX_PARTS: usize = 4;

/// Most shared parts of a prompt that are considered when endpoints crash.
pub const MAX_SHARED_PARTS: usize = 32;

/// The parts of a prompt that other requests may share, in their order.
pub type SharedParts = SmallVec<[PartId; MAX_PARTS]>;

/// Key of a part that no other request shares, so that caching it is of no use.
pub const UNSHARED_KEY: u32 = u32::MAX;

/// A part of a prompt, which endpoints may have cached from an earlier request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Hash of the part and all parts before it; 0 for none. An endpoint can use a cached part
    /// only with all parts before it.
    pub key: u32,
    /// Length in tokens.
    pub tokens: u32,
}

impl Part {
    /// The first part of a prompt, with the identity `id`.
    pub fn new(id: u64, tokens: u32) -> Self {
        Part {
            key: chain(0, id),
            tokens,
        }
    }
}

/// Parts of a prompt in their order, and the expected length of the output.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prompt {
    parts: [Part; MAX_PARTS],
    /// Tokens that are expected to be generated.
    pub output: u32,
}

impl Prompt {
    /// A prompt from the identities and lengths of its parts.
    pub fn new<I>(parts: I, output: u32) -> Self
    where
        I: IntoIterator<Item = (u64, u32)>,
    {
        let mut prompt = Prompt {
            output,
            ..Prompt::default()
        };
        for (n, (id, tokens)) in parts.into_iter().enumerate() {
            let part = &mut prompt.parts[n.min(MAX_PARTS - 1)];
            // Further parts are merged into the last one.
            part.key = chain(part.key, id);
            part.tokens = part.tokens.saturating_add(tokens);
        }
        prompt
    }

    /// A prompt that shares no part with other requests.
    pub fn unshared(tokens: u32, output: u32) -> Self {
        let mut prompt = Prompt {
            output,
            ..Prompt::default()
        };
        prompt.parts[0] = Part {
            key: UNSHARED_KEY,
            tokens,
        };
        prompt
    }

    /// A prompt of which only a hash of its start is known.
    pub fn from_prefix_key(key: u32) -> Self {
        let mut prompt = Prompt::default();
        prompt.parts[0].key = key;
        prompt
    }

    /// Parts of the prompt in their order.
    pub fn parts(&self) -> impl Iterator<Item = Part> + '_ {
        self.parts.iter().copied().take_while(|p| p.key != 0)
    }

    /// Key of the first part; 0 if nothing is known of the prompt.
    pub fn first_key(&self) -> u32 {
        self.parts[0].key
    }

    /// Key of the last part that other requests may share, 0 for none, and the tokens up to its
    /// end. The last part of a prompt belongs to the request or its conversation alone.
    pub fn shared_prefix(&self) -> (u32, u64) {
        let count = self.parts().count();
        let shared = || self.parts().take(count.saturating_sub(1));
        let tokens = shared().map(|p| u64::from(p.tokens)).sum();
        (shared().last().map_or(0, |p| p.key), tokens)
    }

    /// Length in tokens.
    pub fn tokens(&self) -> u64 {
        self.parts().map(|p| u64::from(p.tokens)).sum()
    }
}

/// Parses a list of parts: `ID:TOKENS` with a hexadecimal identifier, separated by commas. Malformed
/// parts are skipped, because the list only describes the prompt.
pub fn parse_parts(text: &str) -> impl Iterator<Item = (u64, u32)> + '_ {
    text.split(',').filter_map(|part| {
        let (id, tokens) = part.trim().split_once(':')?;
        Some((
            u64::from_str_radix(id, 16).ok()?,
            tokens.trim().parse().ok()?,
        ))
    })
}

/// The parts that other requests may share: all but the last one, which belongs to the request or
/// its conversation alone, and at most [`MAX_SHARED_PARTS`].
pub fn shared_parts(text: &str) -> SharedParts {
    let mut ids: SharedParts = parse_parts(text).map(|(id, _)| PartId(id)).collect();
    ids.pop();
    ids.truncate(MAX_SHARED_PARTS);
    ids
}

/// Key of the part `id` that follows the part with the key `before`, 0 for none.
fn chain(before: u32, id: u64) -> u32 {
    let mixed = mix(u64::from(before).rotate_left(32) ^ id);
    // CAST: the upper half of 64 bits fits into 32.
    ((mixed >> 32) as u32).max(1)
}

/// A pseudorandom number that is determined by the input.
pub(crate) fn mix(input: u64) -> u64 {
    // The finalizer of splitmix64 (Steele, Lea and Flood, 2014).
    let mut z = input.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
