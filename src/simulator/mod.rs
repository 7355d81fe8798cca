//! The adapter to the simulator, used by the program `mothspool-simulator`: it decodes the simulator's input,
//! passes the events to a balancer for each node, and encodes the actions.
//!
//! The wire is specified in `../given/docs/WIRE-mothspool.md`. All decisions are made in [`crate::balancer`].

mod codes;
pub mod decode;
pub mod encode;
pub mod error;
pub mod frames;
pub mod host;
