//! The handle through which other parts of the node send events to the engine.

use std::cell::Cell;
use std::rc::Rc;

use mothspool::{EndpointId, Event, RequestId, Timestamp};
use tokio::sync::mpsc;

use super::event::EngineEvent;
use crate::upstream::{ListedEndpoint, UpstreamPool};

/// Request ids start with this many leading zero bits, so that they never reach the numbers of
/// `TimerToken::Dispatch` and `TimerToken::Discovery`.
const RESERVED_ID_BITS: u32 = 2;

/// Sends events to the engine. A change that must affect running attempts at once is applied to the
/// connection pool before the balancer is notified of it.
#[derive(Clone)]
pub struct EngineHandle {
    events: mpsc::UnboundedSender<EngineEvent>,
    next_request_id: Rc<Cell<RequestId>>,
    upstream: Rc<UpstreamPool>,
}

impl EngineHandle {
    /// Creates a handle, and the receiver of its events for the engine. The channel is unbounded, because it
    /// holds only the few events that each open connection causes.
    pub fn new(
        seed: u64,
        upstream: Rc<UpstreamPool>,
    ) -> (EngineHandle, mpsc::UnboundedReceiver<EngineEvent>) {
        let (events, receiver) = mpsc::unbounded_channel();
        // The balancer hashes request ids with endpoints, so nodes must not all count from the same number.
        let next_request_id = Rc::new(Cell::new(seed >> RESERVED_ID_BITS));
        (EngineHandle { events, next_request_id, upstream }, receiver)
    }

    /// Sends an event to the engine. The event is dropped if there is no engine any more, because the process
    /// is ending.
    pub fn send(&self, event: EngineEvent) {
        let _ = self.events.send(event);
    }

    /// Returns a new request id. It is unique in this process, unlike a `Req-Id`, which a client may use
    /// twice.
    pub fn next_request_id(&self) -> RequestId {
        self.next_request_id.replace(self.next_request_id.get() + 1)
    }

    /// Applies an endpoint list.
    pub fn update_endpoints(&self, kind: ListKind, list: Vec<ListedEndpoint>) {
        match kind {
            ListKind::Cached | ListKind::Snapshot => self.upstream.apply_snapshot(list.iter().copied()),
            ListKind::Delta => self.upstream.apply_delta(list.iter().copied()),
        }
        let list = list.into_iter().map(|endpoint| endpoint.info).collect();
        self.send(EngineEvent::Balancer(match kind {
            ListKind::Cached => Event::CachedSnapshot(list),
            ListKind::Snapshot => Event::EndpointSnapshot(list),
            ListKind::Delta => Event::EndpointDelta(list),
        }));
    }

    /// Returns whether an endpoint list has ever named this endpoint.
    pub fn is_known(&self, endpoint: EndpointId) -> bool {
        self.upstream.is_known(endpoint)
    }

    /// Stops sending new requests to this endpoint, whatever endpoint lists say.
    pub fn enter_maintenance(&self, endpoint: EndpointId) {
        self.upstream.enter_maintenance(endpoint);
        self.send(EngineEvent::Balancer(Event::EnterMaintenance(endpoint)));
    }

    /// Allows requests to this endpoint again. It counts as started at `started_at`.
    pub fn exit_maintenance(&self, endpoint: EndpointId, started_at: Timestamp) {
        self.upstream.exit_maintenance(endpoint);
        self.send(EngineEvent::Balancer(Event::ExitMaintenance(endpoint, started_at)));
    }
}

/// Kind of an endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ListKind {
    /// All endpoints as they were known before the start; may be out of date.
    Cached,
    /// All endpoints; an endpoint that is missing is gone.
    Snapshot,
    /// The endpoints that have changed.
    Delta,
}
