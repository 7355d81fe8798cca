//! A seeded soak: a real node under injected faults, with endpoints, discovery and clients that keep to the
//! protocol, and a judge that knows only what these saw.
//!
//! By hand, for example, after `cargo build --examples`:
//! `SOAK_SEEDS=1..51 SOAK_SECONDS=20 cargo test --test soak -- --nocapture`

#[path = "../support/mod.rs"]
#[allow(dead_code, reason = "the tests of the node use more of it")]
mod support;

mod client;
mod judge;
mod plan;
mod upstream;
mod world;

use std::ops::Range;
use std::time::Duration;

use crate::world::World;

/// Environment variable with the seeds, as `first..end`.
const SEEDS_VARIABLE: &str = "SOAK_SEEDS";
/// Environment variable with the duration of each run in seconds.
const SECONDS_VARIABLE: &str = "SOAK_SECONDS";
/// Seeds that are played by default.
const DEFAULT_SEEDS: Range<u64> = 1..5;
/// Duration of a run by default.
const DEFAULT_SECONDS: u64 = 12;

fn seeds() -> Range<u64> {
    let parse = |text: String| {
        let (first, end) = text.split_once("..")?;
        Some(first.parse().ok()?..end.parse().ok()?)
    };
    std::env::var(SEEDS_VARIABLE).ok().and_then(parse).unwrap_or(DEFAULT_SEEDS)
}

fn duration() -> Duration {
    let seconds = std::env::var(SECONDS_VARIABLE).ok().and_then(|text| text.parse().ok());
    Duration::from_secs(seconds.unwrap_or(DEFAULT_SECONDS))
}

/// Guards against requests that are lost, run twice, or sent to an endpoint that drains, whatever system
/// calls, clocks, endpoints and clients do within the terms.
#[test]
#[allow(clippy::print_stdout, reason = "the table is the report of the run")]
fn no_rule_is_broken_under_injected_faults() {
    let mut broken = Vec::new();
    println!("seed  requests  served  refused  failed  left  broken rules");
    for seed in seeds() {
        let report = World::play(seed, duration());
        println!("{seed:4}  {report}");
        broken.extend(report.violations.iter().map(|violation| format!("seed {seed}: {violation}")));
    }
    let command = format!("{SEEDS_VARIABLE}=SEED..SEED+1 cargo test --test soak -- --nocapture");
    assert!(broken.is_empty(), "{command}\n{}", broken.join("\n"));
}
