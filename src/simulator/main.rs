//! Hosts decision modules, one for each node of the simulator, on standard input and output.
#![forbid(unsafe_code)]

use std::io;
use std::process::ExitCode;

use mothspool::simulator::host::serve;

#[expect(clippy::print_stderr, reason = "the program has no log: standard error says why it ends")]
fn main() -> ExitCode {
    match serve(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("mothspool-simulator: {error}");
            ExitCode::FAILURE
        }
    }
}
