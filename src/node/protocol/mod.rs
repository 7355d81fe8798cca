//! What the protocol's pages define: names of headers and the form of endpoint lists. Imports nothing of the
//! node.

pub mod endpoint_list;
pub mod headers;
pub mod named_field;
