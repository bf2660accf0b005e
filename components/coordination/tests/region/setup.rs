//! Configuration of a simulated region: its size, the kinds of requests, and the routers that
//! callers connect to.

use crate::engines::TOKENS_PER_MS;
use crate::views;
use coordination::assignment::shards;
use state::view::View;

/// KV cache capacity of an engine.
pub(crate) const ENGINE_MEMORY_TOKENS: u64 = 500_000;

/// A kind of request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Kind {
    /// Relative frequency.
    pub(crate) weight: f64,
    /// Tokens of the prompt prefix that a request shares with others.
    pub(crate) shared_tokens: u32,
    /// Mean tokens of the rest of the prompt, unique to the request.
    pub(crate) own_tokens: u32,
    /// Time after arrival within which the first event is on time.
    pub(crate) target_latency_ms: u64,
}

/// Requests of one kind.
pub(crate) const UNIFORM: &[Kind] = &[Kind {
    weight: 1.0,
    shared_tokens: 13_000,
    own_tokens: 3500,
    target_latency_ms: 800,
}];

/// Requests with long, medium and short prompts.
pub(crate) const MIXED: &[Kind] = &[
    Kind {
        weight: 0.42,
        shared_tokens: 13_300,
        own_tokens: 3700,
        target_latency_ms: 800,
    },
    Kind {
        weight: 0.31,
        shared_tokens: 6300,
        own_tokens: 2900,
        target_latency_ms: 600,
    },
    Kind {
        weight: 0.27,
        shared_tokens: 350,
        own_tokens: 1100,
        target_latency_ms: 500,
    },
];

/// Queue discipline of a router with a limited processor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Discipline {
    /// Batches of accepted connections alternate with the waiting tasks; callers reuse
    /// connections.
    RoundRobin,
    /// Tasks run in the order of their arrival; each attempt opens a new connection.
    SingleQueue {
        /// Whether the router limits the connections that it admits, or reads all requests.
        has_admission_control: bool,
    },
}

/// Size and load model of a region.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Setup {
    pub(crate) data_centres: usize,
    /// Engines in each data centre.
    pub(crate) engines_per_centre: usize,
    /// Routers in each data centre.
    pub(crate) routers_per_centre: usize,
    /// Whether each data centre is a shard with its own scheduler.
    pub(crate) is_sharded: bool,
    /// Messages that a scheduler can handle.
    pub(crate) messages_per_100_ms: u64,
    /// Processor time of a router; `None` for unlimited time.
    pub(crate) processor_us_per_ms: Option<u64>,
    /// Order in which that processor runs its tasks.
    pub(crate) discipline: Discipline,
    /// Whether schedulers give appointments to refused callers.
    pub(crate) has_appointments: bool,
    /// Kinds of requests that customers send.
    pub(crate) kinds: &'static [Kind],
}

impl Setup {
    /// Requests per second that the engines can prefill when all shared prefixes are cached.
    pub(crate) fn capacity(&self) -> f64 {
        let weights: f64 = self.kinds.iter().map(|k| k.weight).sum();
        let own_tokens = self
            .kinds
            .iter()
            .map(|k| k.weight * f64::from(k.own_tokens));
        let prefill_tokens_per_s =
            (TOKENS_PER_MS * 1000 * (self.engines_per_centre * self.data_centres) as u64) as f64;
        prefill_tokens_per_s * weights / own_tokens.sum::<f64>()
    }

    /// Positions of the routers of a data centre.
    pub(crate) fn routers_of(self, centre: usize) -> impl Iterator<Item = usize> {
        (0..self.routers_per_centre).map(move |n| n * self.data_centres + centre)
    }

    /// View with the engines in several shards, or all of them in one.
    pub(crate) fn view(&self) -> View {
        let engine = state::config::Engine {
            memory_tokens: ENGINE_MEMORY_TOKENS,
            event_tokens: 1,
            copy_tokens_per_s: None,
        };
        let mut view = views::view(Some(engine));
        for (n, id) in (0..self.data_centres * self.engines_per_centre).zip(0..) {
            let centre = if self.is_sharded {
                n % self.data_centres
            } else {
                0
            };
            views::add(&mut view, id, &data_centre_name(centre), 64);
        }
        let all = shards(&view);
        views::assign(&mut view, all, 1);
        view
    }
}

/// Name of the data centre with a number.
pub(crate) fn data_centre_name(n: usize) -> String {
    format!("dc-{n}")
}

/// Routers that a customer's callers connect to, with weights.
#[derive(Clone, Debug)]
pub(crate) struct Callers {
    /// Routers of the first attempt.
    pub(crate) first: Vec<(usize, f64)>,
    /// Routers of the retry.
    pub(crate) retry: Vec<(usize, f64)>,
    /// Whether all attempts go to the first router in rotation, instead of a random one.
    pub(crate) uses_first_available: bool,
}

impl Callers {
    /// Callers that connect to the given routers with equal weights in both attempts.
    pub(crate) fn at<I>(routers: I) -> Self
    where
        I: IntoIterator<Item = usize>,
    {
        let all: Vec<(usize, f64)> = routers.into_iter().map(|n| (n, 1.0)).collect();
        Callers {
            first: all.clone(),
            retry: all,
            uses_first_available: false,
        }
    }

    /// Callers behind one address, all of which connect to the first router in rotation.
    pub(crate) fn behind_one_address<I>(routers: I) -> Self
    where
        I: IntoIterator<Item = usize>,
    {
        Callers {
            uses_first_available: true,
            ..Callers::at(routers)
        }
    }
}
