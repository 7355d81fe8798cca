//! Codes of the simulator's wire, named after its page (`../given/docs/WIRE-mothspool.md`).

/// Codes of the records that come in ("In"). Actions have their own codes.
pub mod event {
    /// `Launch`: an instance starts.
    pub const LAUNCH: u16 = 1;
    /// `Discovery`: what discovery says of the endpoint list.
    pub const DISCOVERY: u16 = 2;
    /// `Incoming`: a request has arrived.
    pub const INCOMING: u16 = 3;
    /// `Started`: a streamed response has begun.
    pub const STARTED: u16 = 4;
    /// `Completed`: an attempt has ended.
    pub const COMPLETED: u16 = 5;
    /// `Vanished`: a client has disconnected.
    pub const VANISHED: u16 = 6;
    /// `Wakeup`: a timer is due.
    pub const WAKEUP: u16 = 7;
    /// `PingResult`: a probe has ended.
    pub const PING_RESULT: u16 = 8;
    /// `Peer`: another instance has sent a message.
    pub const PEER: u16 = 9;
    /// `CrashNow`: the instance is killed.
    pub const CRASH_NOW: u16 = 10;
    /// `Catalog`: a numbered endpoint list.
    pub const CATALOG: u16 = 11;
    /// `Instance`: which instance the events that follow belong to.
    pub const INSTANCE: u16 = 12;
}

/// Codes of the records that go out ("Out").
pub mod action {
    /// `Route`: begin an attempt.
    pub const ROUTE: u16 = 1;
    /// `Deny`: reject a request.
    pub const DENY: u16 = 2;
    /// `Error`: fail a request.
    pub const ERROR: u16 = 3;
    /// `Revoke`: cancel an attempt.
    pub const REVOKE: u16 = 4;
    /// `Schedule`: set a timer.
    pub const SCHEDULE: u16 = 5;
    /// `Observe`: subscribe to discovery, or end the subscription.
    pub const OBSERVE: u16 = 11;
    /// `From`: which instance the actions that follow belong to.
    pub const FROM: u16 = 13;
}

/// Values of `Discovery.how`.
pub mod discovery {
    /// Changed entries only.
    pub const DELTA: u8 = 0;
    /// The complete list.
    pub const FULL: u8 = 1;
    /// The complete list as the instance last had it.
    pub const CACHED: u8 = 2;
    /// A call has failed or the subscription has broken; there are no entries.
    pub const FAILED: u8 = 3;
}

/// Values of `stage_state` in the entries of a list ("Lists").
pub mod stage_state {
    /// Withdrawn; only among changes.
    pub const GONE: u8 = 0;
    /// Completes its work and should get no more.
    pub const DRAINING: u8 = 1;
    /// Takes requests.
    pub const READY: u8 = 2;
}

/// Values of `Completed.status` ("Endings").
pub mod status {
    /// Served.
    pub const OK: u8 = 0;
    /// The endpoint responded with an error.
    pub const ERROR: u8 = 5;
    /// The endpoint rejected the attempt unseen.
    pub const FULL: u8 = 11;
    /// The connection closed during the attempt.
    pub const RESET: u8 = 104;
    /// No response in time.
    pub const TIMEOUT: u8 = 110;
    /// No connection in time.
    pub const CONNECT_FAILED: u8 = 111;
    /// Never sent.
    pub const MOOT: u8 = 114;
    /// Cancelled.
    pub const CANCELLED: u8 = 125;
}

/// The bit of `Incoming.state_bits` that says that `size_hint_us` is valid.
pub const COST_HINT_VALID: u8 = 1;
/// The value of `Observe.active` that begins a subscription.
pub const OBSERVE_ACTIVE: u8 = 1;
/// The value of `Route.timeout_us` of an attempt that may last until the client gives up.
pub const NO_TIMEOUT: u32 = 0;
/// How many numbered lists there are (`Catalog`): their numbers go from 0 to 15.
pub const CATALOG_COUNT: usize = 16;
/// The bytes of a list's entry ("Lists").
pub const ENTRY_BYTES: usize = 23;
