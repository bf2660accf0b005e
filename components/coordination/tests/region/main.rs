//! Simulated regions under uneven load and overload: their throughput, and the share of it that
//! each customer gets.

#[path = "../engines/mod.rs"]
mod engines;
#[path = "../views/mod.rs"]
mod views;

mod fair_share;
mod setup;
mod sharded;
mod share;
mod simulation;
