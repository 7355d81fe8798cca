//! Division of the node's descriptors and memory among connections, buffered bodies and the rest.

use std::ops::RangeInclusive;

/// Maximum number of open connections to the admin API. Descriptors are reserved for them.
pub const MAX_ADMIN_CONNECTIONS: usize = 12;
/// Descriptors reserved for everything but connections with clients and endpoints: standard streams, epoll,
/// wake-ups, signals, the listeners, discovery, the files of the state store, and the admin API.
const RESERVED_DESCRIPTORS: usize = 16 + MAX_ADMIN_CONNECTIONS;
/// Minimum of the connection limit. It applies even if the descriptors or the memory allow fewer connections.
const MIN_CONNECTIONS: usize = 8;

/// Bodies that are buffered completely may use at most the memory divided by this number.
const BUFFERED_BODIES_DIVISOR: usize = 8;
/// The size of a connection's buffer is chosen so that one buffer for each descriptor would use the memory
/// divided by this number. [`CONNECTION_BUFFER_BYTES`] bounds the size.
const CONNECTION_BUFFERS_DIVISOR: usize = 4;
/// Smallest and largest size of a connection's buffer for one direction. hyper accepts no smaller buffer, and
/// a larger one has no benefit.
const CONNECTION_BUFFER_BYTES: RangeInclusive<usize> = 8 << 10..=32 << 10;
/// Memory of a connection in addition to its buffers: hyper's buffers for heads and for requests that are not
/// sent yet, and the tasks that serve the connection.
const CONNECTION_OVERHEAD_BYTES: usize = 20 << 10;
/// Memory of the program itself, including endpoint lists of several hundred entries.
const PROGRAM_MEMORY_BYTES: usize = 5 << 20;

/// Number of descriptors that a node may use if the configuration has no `limits.sockets`.
const DEFAULT_DESCRIPTORS: usize = 1024;
/// Memory that a node may use if the configuration has no `limits.memory_mb`.
const DEFAULT_MEMORY_MIB: usize = 32;

/// Returns the number of bytes, out of `memory` bytes, for bodies that are buffered completely.
pub fn max_buffered_bytes(memory: usize) -> usize {
    memory / BUFFERED_BODIES_DIVISOR
}

/// Limits that follow from the descriptors and the memory of the node.
pub struct ResourceLimits {
    /// Maximum number of connections with clients and endpoints together.
    pub max_connections: usize,
    /// Maximum number of connections for each of the two processes during a hot restart. Each process needs
    /// the reserved descriptors and the memory of the program itself.
    pub max_connections_during_hot_restart: usize,
    /// Memory that the node may use, in bytes.
    pub memory: usize,
    /// Maximum number of bytes that a connection buffers in each direction, which also limits the head of a
    /// message.
    pub connection_buffer: usize,
}

impl ResourceLimits {
    /// Calculates the limits for this number of descriptors and this memory, each of which has a default.
    pub(super) fn new(descriptors: Option<usize>, memory_mib: Option<usize>) -> ResourceLimits {
        let descriptors = descriptors.unwrap_or(DEFAULT_DESCRIPTORS);
        let memory = memory_mib.unwrap_or(DEFAULT_MEMORY_MIB).max(1) << 20;
        let connection_buffer = (memory / CONNECTION_BUFFERS_DIVISOR / descriptors.max(1))
            .clamp(*CONNECTION_BUFFER_BYTES.start(), *CONNECTION_BUFFER_BYTES.end());
        let limit_for = |processes| max_connections(descriptors, memory, connection_buffer, processes);
        ResourceLimits {
            max_connections: limit_for(1),
            max_connections_during_hot_restart: limit_for(2),
            memory,
            connection_buffer,
        }
    }
}

/// Returns the maximum number of connections for each of `processes` processes that share the descriptors and
/// the memory.
fn max_connections(descriptors: usize, memory: usize, connection_buffer: usize, processes: usize) -> usize {
    // A streaming body occupies three buffers on two connections.
    let connection_memory = CONNECTION_OVERHEAD_BYTES + connection_buffer * 3 / 2;
    let available_memory =
        (memory / processes).saturating_sub(max_buffered_bytes(memory) + PROGRAM_MEMORY_BYTES);
    let by_memory = available_memory / connection_memory;
    let by_descriptors = (descriptors / processes).saturating_sub(RESERVED_DESCRIPTORS);
    by_descriptors.min(by_memory).max(MIN_CONNECTIONS)
}
