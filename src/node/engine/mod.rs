//! The engine, which owns the balancer, its clock and timers, and the table of active requests.
//!
//! Other parts of the node send it [`EngineEvent`]s through [`EngineHandle`]s. The balancer's actions are
//! executed only here.

mod actions;
mod attempts;
mod event;
mod handle;
mod requests;
mod timers;

use std::collections::VecDeque;
use std::rc::Rc;

use mothspool::{Balancer, Event, Request, RequestId, TimerToken};
use tokio::sync::{Notify, mpsc, oneshot};

pub use self::event::{EngineEvent, FinalAnswer};
pub use self::handle::{EngineHandle, ListKind};
use self::requests::{ActiveRequest, RequestTable};
use self::timers::Timers;
use crate::clock::Clock;
use crate::upstream::{UpstreamPool, UpstreamRequest};

/// Owns the balancer and executes its actions.
pub struct Engine {
    balancer: Balancer,
    upstream: Rc<UpstreamPool>,
    /// Handle for the tasks of attempts.
    handle: EngineHandle,
    /// Notified when the balancer subscribes to discovery, so that the watch is opened.
    subscribe: Rc<Notify>,
    clock: Clock,
    timers: Timers,
    requests: RequestTable,
    /// Events that the balancer has not handled yet.
    pending_events: VecDeque<Event>,
}

impl Engine {
    /// Creates an engine that runs `balancer` by `clock` and sends requests through `upstream`.
    pub fn new(
        balancer: Balancer,
        clock: Clock,
        upstream: Rc<UpstreamPool>,
        handle: EngineHandle,
        subscribe: Rc<Notify>,
    ) -> Engine {
        Engine {
            balancer,
            upstream,
            handle,
            subscribe,
            clock,
            timers: Timers::default(),
            requests: RequestTable::new(),
            pending_events: VecDeque::new(),
        }
    }

    /// Handles events and timers until the future is dropped. The channel of events stays open, because the
    /// engine itself holds an [`EngineHandle`].
    pub async fn run(mut self, mut events: mpsc::UnboundedReceiver<EngineEvent>) {
        loop {
            tokio::select! {
                event = events.recv() => match event {
                    Some(event) => self.on_event(event),
                    None => return,
                },
                Some(token) = self.timers.next(), if !self.timers.is_empty() => self.on_timer(token),
            }
            self.run_balancer();
        }
    }

    fn on_event(&mut self, event: EngineEvent) {
        match event {
            EngineEvent::Balancer(event) => self.pending_events.push_back(event),
            EngineEvent::RequestArrived { request, upstream_request, answer_sender } => {
                self.on_request(request, upstream_request, answer_sender);
            }
            EngineEvent::ClientDisconnected(request) => self.on_client_disconnected(request),
            EngineEvent::ResponseStarted { attempt, response } => self.start_response(attempt, response),
            EngineEvent::AttemptServed { attempt, response } => self.serve(attempt, response),
            EngineEvent::AttemptEnded { attempt, outcome } => self.end_attempt(attempt, outcome),
        }
    }

    fn on_request(
        &mut self,
        request: Request,
        upstream_request: Rc<UpstreamRequest>,
        answer_sender: oneshot::Sender<FinalAnswer>,
    ) {
        self.requests.insert(request.id, ActiveRequest::new(upstream_request, answer_sender));
        self.pending_events.push_back(Event::RequestArrived(request));
    }

    fn on_client_disconnected(&mut self, id: RequestId) {
        // For the balancer, a request that has its final answer is already finished.
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.take_answer_sender().is_some() {
            tracing::debug!(
                request = %request.upstream_request.client_request_id,
                "request withdrawn: the client has left, or the shutdown deadline has passed"
            );
            self.pending_events.push_back(Event::ClientDisconnected(id));
        }
    }

    fn on_timer(&mut self, token: TimerToken) {
        let now = self.clock.now();
        if let TimerToken::Request(id) = token
            && let Some(request) = self.requests.get_mut(&id)
        {
            request.timer.take_if(|timer| timer.is_due(now));
        }
        self.pending_events.push_back(Event::TimerFired(token));
    }

    /// Lets the balancer handle all pending events and executes its actions, which may add further events.
    fn run_balancer(&mut self) {
        let mut actions = Vec::new();
        while let Some(event) = self.pending_events.pop_front() {
            let request = request_that_may_end(&event);
            self.balancer.handle(self.clock.now(), event, &mut actions);
            for action in actions.drain(..) {
                self.perform(action);
            }
            if let Some(id) = request {
                self.end_unwritten_attempts(id);
                self.remove_if_finished(id);
            }
        }
    }
}

/// Returns the request that this event may have answered, or whose last attempt it may have ended.
fn request_that_may_end(event: &Event) -> Option<RequestId> {
    match event {
        Event::ClientDisconnected(id)
        | Event::TimerFired(TimerToken::Request(id))
        | Event::ResponseStarted(id, _) => Some(*id),
        Event::AttemptEnded(result) => Some(result.request),
        _ => None,
    }
}
