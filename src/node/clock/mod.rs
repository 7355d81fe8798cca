//! The clocks of the node: the balancer's, which runs on in real time whatever happens to the machine's wall
//! clock, and the conversion of wall-clock times that other machines and processes have stamped.

mod monotonic;
mod wall;

pub use monotonic::Clock;
pub use wall::WallClock;
