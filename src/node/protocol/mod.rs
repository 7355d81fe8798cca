//! Definitions of the protocol: header names and the format of endpoint lists. Imports no other module of the
//! node.

pub mod compact_headers;
pub mod endpoint_list;
pub mod headers;
pub mod named_field;
