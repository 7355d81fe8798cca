//! Runs a balancer for each node of the simulator, which is connected to standard input and output.
#![forbid(unsafe_code)]

use std::io;
use std::process::ExitCode;

use mothspool::simulator::host::serve;

#[expect(clippy::print_stderr, reason = "the program has no log; errors go to standard error")]
fn main() -> ExitCode {
    match serve(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("mothspool-simulator: {error}");
            ExitCode::FAILURE
        }
    }
}
