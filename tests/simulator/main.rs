//! Tests of the adapter to the simulator and of the program `mothspool-simulator`.

mod decoding;
mod encoding;
mod program;
mod settings;

use mothspool::EndpointId;

/// The endpoint at 10.18.74.7, port 5003.
const ENDPOINT: EndpointId = 0x0a12_4a07_138b;

/// Converts hexadecimal text to bytes. White space is ignored.
fn hex(text: &str) -> Vec<u8> {
    let digits: Vec<u8> = text.bytes().filter(|b| !b.is_ascii_whitespace()).collect();
    let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap();
    digits.chunks(2).map(byte).collect()
}
