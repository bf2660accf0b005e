//! A region's routers, schedulers and engines in one clock: how much is served under uneven
//! and too much load, and who gets how much of it.

#[path = "../engines/mod.rs"]
mod engines;
#[path = "../views/mod.rs"]
mod views;

mod fair_share;
mod setup;
mod sharded;
mod share;
mod simulation;
