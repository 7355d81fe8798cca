//! The protocol of the simulator, spoken by the program `mothspool-simulator`.

pub mod codec;
