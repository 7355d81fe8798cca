//! The simulator's wire, and the host of many balancers behind it: the program `mothspool-simulator`.
//!
//! The wire is described in `../given/docs/WIRE-mothspool.md`. Nothing is decided here.

mod codes;
pub mod decode;
pub mod encode;
pub mod error;
pub mod frames;
pub mod host;
