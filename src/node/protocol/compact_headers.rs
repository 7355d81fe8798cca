//! Header fields in the memory that their text takes.
//!
//! A [`HeaderMap`] takes some 100 bytes for each field beside its text, and keeps the whole buffer alive that
//! it was read into. That is too much for requests that wait, as a head may have very many short fields.

use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};

/// Ends a field's name, which can't contain it.
const NAME_END: u8 = b':';
/// Ends a field's value, which can't contain it.
const VALUE_END: u8 = b'\n';

/// The fields of a [`HeaderMap`] as text.
pub struct CompactHeaders {
    /// Names and values, each with its end.
    text: Bytes,
    field_count: usize,
}

impl From<&HeaderMap> for CompactHeaders {
    fn from(headers: &HeaderMap) -> CompactHeaders {
        let field_bytes = |(name, value): (&HeaderName, &HeaderValue)| name.as_str().len() + value.len() + 2;
        let mut text = Vec::with_capacity(headers.iter().map(field_bytes).sum());
        for (name, value) in headers {
            text.extend_from_slice(name.as_str().as_bytes());
            text.push(NAME_END);
            text.extend_from_slice(value.as_bytes());
            text.push(VALUE_END);
        }
        CompactHeaders { text: text.into(), field_count: headers.len() }
    }
}

impl CompactHeaders {
    /// Returns the fields as a map with space for `additional` further ones. The values share this memory.
    pub fn to_map(&self, additional: usize) -> HeaderMap {
        let mut headers = HeaderMap::with_capacity(self.field_count + additional);
        for field in self.text.split(|byte| *byte == VALUE_END) {
            if let Some((name, value)) = self.parse(field) {
                headers.append(name, value);
            }
        }
        headers
    }

    /// Parses one field. Returns `None` for the empty text behind the last one.
    fn parse(&self, field: &[u8]) -> Option<(HeaderName, HeaderValue)> {
        let name_length = field.iter().position(|byte| *byte == NAME_END)?;
        let (name, value) = field.split_at(name_length);
        let value = self.text.slice_ref(&value[1..]);
        Some((HeaderName::from_bytes(name).ok()?, HeaderValue::from_maybe_shared(value).ok()?))
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/compact_headers.rs"]
mod tests;
