//! Codes of the simulator's wire. Their names are those of its specification,
//! `../given/docs/WIRE-mothspool.md`, and quoted words are titles of its sections.

/// Codes of the input records (section "In"). Actions have their own codes.
pub mod event {
    /// `Launch`: a node starts.
    pub const LAUNCH: u16 = 1;
    /// `Discovery`: an endpoint list, or a failure of discovery.
    pub const DISCOVERY: u16 = 2;
    /// `Incoming`: a request has arrived.
    pub const INCOMING: u16 = 3;
    /// `Started`: a streamed response has begun.
    pub const STARTED: u16 = 4;
    /// `Completed`: an attempt has ended.
    pub const COMPLETED: u16 = 5;
    /// `Vanished`: a client has disconnected.
    pub const VANISHED: u16 = 6;
    /// `Wakeup`: a timer has fired.
    pub const WAKEUP: u16 = 7;
    /// `PingResult`: a ping of an endpoint has ended.
    pub const PING_RESULT: u16 = 8;
    /// `Peer`: another node has sent a message.
    pub const PEER: u16 = 9;
    /// `CrashNow`: the node is killed.
    pub const CRASH_NOW: u16 = 10;
    /// `Catalog`: an endpoint list with a number, to which `Discovery` refers.
    pub const CATALOG: u16 = 11;
    /// `Instance`: the node to which the following records belong.
    pub const INSTANCE: u16 = 12;
}

/// Codes of the output records (section "Out").
pub mod action {
    /// `Route`: starts an attempt.
    pub const ROUTE: u16 = 1;
    /// `Deny`: rejects a request.
    pub const DENY: u16 = 2;
    /// `Error`: fails a request.
    pub const ERROR: u16 = 3;
    /// `Revoke`: cancels an attempt.
    pub const REVOKE: u16 = 4;
    /// `Schedule`: sets a timer.
    pub const SCHEDULE: u16 = 5;
    /// `Observe`: subscribes to discovery, or ends the subscription.
    pub const OBSERVE: u16 = 11;
    /// `From`: the node to which the following actions belong.
    pub const FROM: u16 = 13;
}

/// Values of `Discovery.how`.
pub mod discovery {
    /// A delta, with changed entries only.
    pub const DELTA: u8 = 0;
    /// A snapshot, which is the complete list.
    pub const FULL: u8 = 1;
    /// The last complete list that the node had, which may be out of date.
    pub const CACHED: u8 = 2;
    /// Failure of a poll or of the subscription, without a list.
    pub const FAILED: u8 = 3;
}

/// Values of `stage_state` in the entries of a list (section "Lists").
pub mod stage_state {
    /// The endpoint is removed. Only deltas have this state.
    pub const GONE: u8 = 0;
    /// The endpoint finishes its requests and should get no new ones.
    pub const DRAINING: u8 = 1;
    /// The endpoint accepts requests.
    pub const READY: u8 = 2;
}

/// Values of `Completed.status` (section "Endings").
pub mod status {
    /// The endpoint served the request.
    pub const OK: u8 = 0;
    /// The endpoint responded with an error.
    pub const ERROR: u8 = 5;
    /// The endpoint rejected the attempt without executing it.
    pub const FULL: u8 = 11;
    /// The connection closed during the attempt.
    pub const RESET: u8 = 104;
    /// No response arrived in time.
    pub const TIMEOUT: u8 = 110;
    /// No connection was established in time.
    pub const CONNECT_FAILED: u8 = 111;
    /// The attempt was never sent.
    pub const MOOT: u8 = 114;
    /// The attempt was cancelled.
    pub const CANCELLED: u8 = 125;
}

/// Bit of `Incoming.state_bits` that is set if `size_hint_us` is valid.
pub const COST_HINT_VALID: u8 = 1;
/// Value of `Observe.active` that starts a subscription.
pub const OBSERVE_ACTIVE: u8 = 1;
/// Value of `Route.timeout_us` for an attempt that may last until the client stops waiting.
pub const NO_TIMEOUT: u32 = 0;
/// Number of endpoint lists. `Catalog.set_id` is below it.
pub const CATALOG_COUNT: usize = 16;
/// Size of an entry of a list in bytes (section "Lists").
pub const ENTRY_BYTES: usize = 23;
