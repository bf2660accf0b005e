//! What a region consists of, what is asked for, and where callers come to.

use crate::engines::TOKENS_PER_MS;
use crate::views;
use coordination::assignment::shards;
use state::view::View;

/// Tokens that fit into an engine.
pub(crate) const MEMORY: u64 = 500_000;

/// A kind of request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Kind {
    /// How often it is asked for, beside others.
    pub(crate) weight: f64,
    /// Tokens of the part of its prompt that it shares with others.
    pub(crate) shared: u32,
    /// Tokens of its own, in the mean.
    pub(crate) own: u32,
    /// Time within which a first event is on time, in milliseconds.
    pub(crate) aim_ms: u64,
}

/// One kind only.
pub(crate) const ALIKE: &[Kind] = &[Kind {
    weight: 1.0,
    shared: 13_000,
    own: 3500,
    aim_ms: 800,
}];

/// Long, middle and short ones.
pub(crate) const MIXED: &[Kind] = &[
    Kind {
        weight: 0.42,
        shared: 13_300,
        own: 3700,
        aim_ms: 800,
    },
    Kind {
        weight: 0.31,
        shared: 6300,
        own: 2900,
        aim_ms: 600,
    },
    Kind {
        weight: 0.27,
        shared: 350,
        own: 1100,
        aim_ms: 500,
    },
];

/// How a router with a bounded processor gets to what waits for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Tasks {
    /// Tasks take turns, one of them accepts connections, and callers keep theirs.
    Turns,
    /// All in the order in which it comes, each try on a connection of its own.
    OneQueue {
        /// Whether the router bounds what it lets in, or reads whatever comes.
        is_bounded: bool,
    },
}

/// What a region consists of.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Setup {
    pub(crate) centres: usize,
    /// Engines in each data centre.
    pub(crate) engines: usize,
    /// Routers in each data centre.
    pub(crate) routers: usize,
    /// Whether each data centre's engines have a scheduler of their own.
    pub(crate) is_divided: bool,
    /// Messages that a scheduler takes in within 100 ms.
    pub(crate) messages: u64,
    /// Microseconds of a processor that a router has in each millisecond; `None` for as
    /// many as it needs.
    pub(crate) processor_us: Option<u64>,
    /// How that processor gets to what waits for it.
    pub(crate) tasks: Tasks,
    /// What is asked for.
    pub(crate) kinds: &'static [Kind],
}

impl Setup {
    /// Requests in a second that engines can read, if they find all shared parts kept.
    pub(crate) fn capacity(&self) -> f64 {
        let weights: f64 = self.kinds.iter().map(|k| k.weight).sum();
        let own = self.kinds.iter().map(|k| k.weight * f64::from(k.own));
        let read = (TOKENS_PER_MS * 1000 * (self.engines * self.centres) as u64) as f64;
        read * weights / own.sum::<f64>()
    }

    /// Routers of a data centre.
    pub(crate) fn routers_of(self, centre: usize) -> impl Iterator<Item = usize> {
        (0..self.routers).map(move |turn| turn * self.centres + centre)
    }

    /// Engines in several data centres, or as many in one.
    pub(crate) fn view(&self) -> View {
        let engine = state::config::Engine {
            memory_tokens: MEMORY,
            event_tokens: 1,
            copy_tokens_per_s: None,
        };
        let mut view = views::view(Some(engine));
        for (n, id) in (0..self.centres * self.engines).zip(0..) {
            let centre = if self.is_divided { n % self.centres } else { 0 };
            views::add(&mut view, id, &centre_name(centre), 64);
        }
        let all = shards(&view);
        views::assign(&mut view, all, 1);
        view
    }
}

pub(crate) fn centre_name(n: usize) -> String {
    format!("dc-{n}")
}

/// Where a customer's callers come to, as routers with weights.
#[derive(Clone, Debug)]
pub(crate) struct Callers {
    pub(crate) first: Vec<(usize, f64)>,
    /// Where they come to once they were refused.
    pub(crate) again: Vec<(usize, f64)>,
    /// Whether all come to the first of the routers that takes them.
    pub(crate) is_one_by_one: bool,
}

impl Callers {
    /// Callers that always come to the same routers.
    pub(crate) fn at<I>(routers: I) -> Self
    where
        I: IntoIterator<Item = usize>,
    {
        let all: Vec<(usize, f64)> = routers.into_iter().map(|n| (n, 1.0)).collect();
        Callers {
            first: all.clone(),
            again: all,
            is_one_by_one: false,
        }
    }

    /// Callers behind one address, all of whom come to the first router that takes them.
    pub(crate) fn one_by_one<I>(routers: I) -> Self
    where
        I: IntoIterator<Item = usize>,
    {
        Callers {
            is_one_by_one: true,
            ..Callers::at(routers)
        }
    }
}
