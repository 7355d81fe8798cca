//! Tests of the balancer through its public interface: scenarios of one node, and random legal sequences of
//! events.

mod admission;
mod concurrency;
mod hedging;
mod lifecycle;
mod maintenance;
mod outliers;
mod pools;
mod random_scenario;
mod retries;
mod rule_checks;
mod rules;
mod selection;
mod slow_start;
mod streaming;
mod subsets;
mod support;
