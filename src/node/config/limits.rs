//! How the descriptors and the memory of the node are divided.

use std::ops::RangeInclusive;

/// The most calls of the admin API at once; descriptors are set aside for them.
pub const MAX_ADMIN_CONNECTIONS: usize = 12;
/// Descriptors for all but connections with clients and endpoints: standard streams, epoll, wake-ups,
/// signals, the listeners, discovery, the state store's files, and the admin API.
const RESERVED_DESCRIPTORS: usize = 16 + MAX_ADMIN_CONNECTIONS;
/// The fewest connections that a process makes do with, however few descriptors it has.
const MIN_CONNECTIONS: usize = 8;

/// Bodies that are buffered completely may take one part in this many of the memory.
const BUFFERED_BODIES_DIVISOR: usize = 8;
/// The buffers of connections would take one part in this many of the memory if each descriptor were a
/// connection.
const CONNECTION_BUFFERS_DIVISOR: usize = 4;
/// What a connection may buffer in each direction, in bytes: the least that hyper takes, and the most that is
/// of use.
const CONNECTION_BUFFER_BYTES: RangeInclusive<usize> = 8 << 10..=32 << 10;
/// What a connection takes beside its buffers, in bytes: hyper's buffers for heads and for requests on their
/// way to it, and the tasks that serve it. Measured with 923 connections of uploads: 30 KB each where they
/// buffer 8 KiB.
const CONNECTION_OVERHEAD_BYTES: usize = 20 << 10;
/// What the program takes for itself, in bytes, endpoint lists of some hundred entries included.
const PROGRAM_MEMORY_BYTES: usize = 5 << 20;

/// The descriptors that a node may use, where the configuration does not say.
const DEFAULT_DESCRIPTORS: usize = 1024;
/// The memory that a node may use in MiB, where the configuration does not say.
const DEFAULT_MEMORY_MIB: usize = 32;

/// How many of `memory` bytes may go into bodies that are buffered completely.
pub fn max_buffered_bytes(memory: usize) -> usize {
    memory / BUFFERED_BODIES_DIVISOR
}

/// How the node's descriptors and memory are divided.
pub struct ResourceLimits {
    /// The most connections with clients and endpoints together.
    pub max_connections: usize,
    /// The same while two processes of the node run in a hot restart, for each of them: both have reserved
    /// descriptors and the program's own memory.
    pub max_connections_shared: usize,
    /// The memory that the node may use, in bytes.
    pub memory: usize,
    /// How many bytes a connection may buffer in each direction; it bounds the head of a message too.
    pub connection_buffer: usize,
}

impl ResourceLimits {
    /// Divides `descriptors` and `memory_mib` MiB of memory.
    pub(super) fn new(descriptors: Option<usize>, memory_mib: Option<usize>) -> ResourceLimits {
        let descriptors = descriptors.unwrap_or(DEFAULT_DESCRIPTORS);
        let memory = memory_mib.unwrap_or(DEFAULT_MEMORY_MIB).max(1) << 20;
        let connection_buffer = (memory / CONNECTION_BUFFERS_DIVISOR / descriptors.max(1))
            .clamp(*CONNECTION_BUFFER_BYTES.start(), *CONNECTION_BUFFER_BYTES.end());
        let limit_for = |processes| max_connections(descriptors, memory, connection_buffer, processes);
        ResourceLimits {
            max_connections: limit_for(1),
            max_connections_shared: limit_for(2),
            memory,
            connection_buffer,
        }
    }
}

/// For how many connections each of `processes` has descriptors and memory.
fn max_connections(descriptors: usize, memory: usize, connection_buffer: usize, processes: usize) -> usize {
    // A streaming body is in three buffers, but has two connections.
    let connection_memory = CONNECTION_OVERHEAD_BYTES + connection_buffer * 3 / 2;
    let available_memory =
        (memory / processes).saturating_sub(max_buffered_bytes(memory) + PROGRAM_MEMORY_BYTES);
    let by_memory = available_memory / connection_memory;
    let by_descriptors = (descriptors / processes).saturating_sub(RESERVED_DESCRIPTORS);
    by_descriptors.min(by_memory).max(MIN_CONNECTIONS)
}
