//! The engine: the decision module, its clock and timers, and the table of open requests. What happens on
//! sockets comes in as a [`EngineEvent`]; the module's actions are carried out here, and nowhere else.

use std::cell::Cell;
use std::collections::{HashMap, VecDeque};
use std::future::poll_fn;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use hyper::Response;
use mothspool::{
    Action, AttemptNumber, AttemptResult, Balancer, EndpointId, EndpointInfo, Event, Outcome, Request,
    RequestId, TimerToken, Timestamp,
};
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::task::AbortHandle;
use tokio::time::Instant;
use tokio_util::time::DelayQueue;
use tokio_util::time::delay_queue::Key;

use crate::body::ResponseBody;
use crate::upstream::{AttemptOutcome, StreamingResponse, UpstreamPool, UpstreamRequest};

/// The longest sleep that timers take.
const WAKE_MOST: Duration = Duration::from_secs(3600);

/// The one final answer to a request.
pub enum FinalAnswer {
    /// The first 200 of a server, whole or begun.
    Served(Response<ResponseBody>),
    /// Turned away; nothing ran, or a repeat is harmless. How long the client should stay away, if told.
    Rejected(Option<Duration>),
    /// No promise; whether it was time that ran out.
    Failed {
        /// An attempt was still out or had timed out.
        timed_out: bool,
    },
}

/// What the other parts tell the engine.
pub enum EngineEvent {
    /// A list, or what befell the watch: the module's concern alone.
    Balancer(Event),
    /// A request was taken.
    RequestArrived(Request, Rc<UpstreamRequest>, oneshot::Sender<FinalAnswer>),
    /// The client has closed its connection.
    ClientDisconnected(RequestId),
    /// An attempt is over.
    AttemptEnded(RequestId, AttemptNumber, Outcome, Option<Response<ResponseBody>>),
    /// The answer to an attempt has begun, and passes through to the client.
    ResponseStarted(RequestId, AttemptNumber, Response<StreamingResponse>),
}

/// The way to the engine, and to what it knows of endpoints. What must hold at once for attempts under way is applied
/// to the connection pool before the balancer hears of it.
#[derive(Clone)]
pub struct EngineHandle {
    sender: mpsc::UnboundedSender<EngineEvent>,
    next: Rc<Cell<RequestId>>,
    upstream: Rc<UpstreamPool>,
}

impl EngineHandle {
    /// A handle, and the events that the engine reads. The queue holds no more than the open connections cause.
    pub fn new(
        seed: u64,
        upstream: Rc<UpstreamPool>,
    ) -> (EngineHandle, mpsc::UnboundedReceiver<EngineEvent>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        // The balancer hashes request ids with endpoints: nodes must not all count from the same number. The highest
        // bits stay clear of the balancer's own timer tokens.
        let next = Rc::new(Cell::new(seed >> 2));
        (EngineHandle { sender, next, upstream }, receiver)
    }

    /// Notifies the engine. At the very end of the process there may be none.
    pub fn send(&self, event: EngineEvent) {
        let _ = self.sender.send(event);
    }

    /// A new request id. A client's `Req-Id` might come twice, this does not.
    pub fn next_request_id(&self) -> RequestId {
        self.next.replace(self.next.get() + 1)
    }

    /// Takes in an endpoint list.
    pub fn update_endpoints(&self, kind: ListKind, list: Vec<(EndpointInfo, SocketAddr)>) {
        match kind {
            ListKind::Cached | ListKind::Snapshot => self.upstream.apply_snapshot(list.iter().copied()),
            ListKind::Delta => self.upstream.apply_delta(list.iter().copied()),
        }
        let list = list.into_iter().map(|(endpoint, _)| endpoint).collect();
        self.send(EngineEvent::Balancer(match kind {
            ListKind::Cached => Event::CachedSnapshot(list),
            ListKind::Snapshot => Event::EndpointSnapshot(list),
            ListKind::Delta => Event::EndpointDelta(list),
        }));
    }

    /// Whether an endpoint list has ever named this endpoint.
    pub fn is_known(&self, endpoint: EndpointId) -> bool {
        self.upstream.is_known(endpoint)
    }

    /// Sends an endpoint nothing new from now on, whatever lists say.
    pub fn enter_maintenance(&self, endpoint: EndpointId) {
        self.upstream.enter_maintenance(endpoint);
        self.send(EngineEvent::Balancer(Event::EnterMaintenance(endpoint)));
    }

    /// Sends an endpoint requests again, as one that started at this time (Unix microseconds).
    pub fn exit_maintenance(&self, endpoint: EndpointId, started_at: Timestamp) {
        self.upstream.exit_maintenance(endpoint);
        self.send(EngineEvent::Balancer(Event::ExitMaintenance(endpoint, started_at)));
    }
}

/// What an endpoint list is.
#[derive(Clone, Copy, PartialEq)]
pub enum ListKind {
    /// All endpoints as held before the start; it may be old.
    Cached,
    /// All endpoints; one that is missing is gone.
    Snapshot,
    /// Those that have changed.
    Delta,
}

/// An open request, or one that is answered with attempts still out.
struct ActiveRequest {
    outgoing: Rc<UpstreamRequest>,
    /// Taken once the final answer is given or the client has left.
    answer: Option<oneshot::Sender<FinalAnswer>>,
    attempts: Vec<Attempt>,
    timed_out: bool,
    /// The one time at which the module wants to look at it.
    timer: Option<(Key, Timestamp)>,
}

struct Attempt {
    sent_at: Timestamp,
    /// Set once some of it may be on a socket.
    written: Rc<Cell<bool>>,
    /// When its answer began to pass through: it is the client's from then on.
    began_at: Option<Timestamp>,
    /// Gone once the module was told how it ended.
    task: Option<AbortHandle>,
}

/// Owns the decision module.
pub struct Engine {
    balancer: Balancer,
    servers: Rc<UpstreamPool>,
    mailbox: EngineHandle,
    subscribe: Rc<Notify>,
    started: Instant,
    started_at: Timestamp,
    timers: DelayQueue<TimerToken>,
    open: HashMap<RequestId, ActiveRequest>,
    queue: VecDeque<Event>,
}

impl Engine {
    /// An engine around the module.
    pub fn new(
        balancer: Balancer,
        servers: Rc<UpstreamPool>,
        mailbox: EngineHandle,
        subscribe: Rc<Notify>,
    ) -> Engine {
        // One clock: Unix time, so that the servers' start times compare, moved on by the monotonic one.
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Engine {
            balancer,
            servers,
            mailbox,
            subscribe,
            started: Instant::now(),
            started_at: Timestamp::from_micros(unix.as_micros() as u64),
            timers: DelayQueue::new(),
            open: HashMap::new(),
            queue: VecDeque::new(),
        }
    }

    fn now(&self) -> Timestamp {
        self.started_at + self.started.elapsed()
    }

    /// Works for as long as anyone holds a mailbox.
    pub async fn run(mut self, mut inbox: mpsc::UnboundedReceiver<EngineEvent>) {
        loop {
            tokio::select! {
                happening = inbox.recv() => match happening {
                    Some(happening) => self.take(happening),
                    None => return,
                },
                Some(due) = poll_fn(|cx| self.timers.poll_expired(cx)), if !self.timers.is_empty() => {
                    self.woken(due.into_inner());
                }
            }
            self.work();
        }
    }

    fn take(&mut self, happening: EngineEvent) {
        match happening {
            EngineEvent::Balancer(event) => self.queue.push_back(event),
            EngineEvent::RequestArrived(request, outgoing, answer) => {
                let open = ActiveRequest {
                    outgoing,
                    answer: Some(answer),
                    attempts: Vec::new(),
                    timed_out: false,
                    timer: None,
                };
                self.open.insert(request.id, open);
                self.queue.push_back(Event::RequestArrived(request));
            }
            EngineEvent::ClientDisconnected(id) => {
                if self.open.get_mut(&id).and_then(|open| open.answer.take()).is_some() {
                    self.queue.push_back(Event::ClientDisconnected(id));
                }
            }
            EngineEvent::ResponseStarted(id, attempt, response) => self.began(id, attempt, response),
            EngineEvent::AttemptEnded(id, attempt, outcome, response) => {
                if let (Outcome::Served, Some(response)) = (outcome, response) {
                    self.answer(id, FinalAnswer::Served(response));
                }
                self.attempt_ended(id, attempt, outcome);
            }
        }
    }

    /// Passes an answer on that has begun; if another was first, this one is of no use.
    fn began(&mut self, id: RequestId, number: AttemptNumber, response: Response<StreamingResponse>) {
        let now = self.now();
        let mailbox = self.mailbox.clone();
        let ended = move |outcome| mailbox.send(EngineEvent::AttemptEnded(id, number, outcome, None));
        let Some(open) = self.open.get_mut(&id) else { return };
        let Some(attempt) = open.attempts.get_mut(usize::from(number)) else { return };
        if open.answer.is_none() || attempt.task.is_none() {
            return ended(Outcome::Cancelled);
        }
        attempt.began_at = Some(now);
        self.queue.push_back(Event::ResponseStarted(id, number));
        self.answer(id, FinalAnswer::Served(response.map(|part| part.into_body(ended))));
    }

    /// Tells the module of an attempt's end, once: what a cancelled task still reports is passed over.
    fn attempt_ended(&mut self, request: RequestId, attempt: AttemptNumber, outcome: Outcome) {
        let now = self.now();
        let Some(open) = self.open.get_mut(&request) else { return };
        let Some(ended) = open.attempts.get_mut(usize::from(attempt)) else { return };
        let Some(task) = ended.task.take() else { return };
        // One that is over by itself takes no notice.
        task.abort();
        open.timed_out |= outcome == Outcome::TimedOut;
        // The server's time: from the client's last byte, where that came later, to the answer's first.
        let came = open.outgoing.received_at().map_or(now, |at| now - at.elapsed());
        let elapsed = ended.began_at.unwrap_or(now).saturating_duration_since(ended.sent_at.max(came));
        let request_finished = open.answer.is_none();
        self.queue.push_back(Event::AttemptEnded(AttemptResult {
            request,
            attempt,
            outcome,
            elapsed,
            request_finished,
        }));
    }

    /// Hands the module all that has happened, and does what it says.
    fn work(&mut self) {
        let mut actions = Vec::new();
        while let Some(event) = self.queue.pop_front() {
            let about = match &event {
                Event::ClientDisconnected(id)
                | Event::TimerFired(TimerToken::Request(id))
                | Event::ResponseStarted(id, _) => Some(*id),
                Event::AttemptEnded(ended) => Some(ended.request),
                _ => None,
            };
            self.balancer.handle(self.now(), event, &mut actions);
            for action in actions.drain(..) {
                self.act(action);
            }
            if let Some(id) = about {
                self.drop_unwritten(id);
                self.let_go(id);
            }
        }
    }

    /// Ends what has not been written, or not whole, for a request that nobody waits for any more. To cancel what a
    /// server has may not be allowed; this is no more than not to send it.
    fn drop_unwritten(&mut self, id: RequestId) {
        let Some(open) = self.open.get(&id).filter(|open| open.answer.is_none()) else { return };
        let half = open.outgoing.received_at().is_none();
        let unwritten = |a: &Attempt| a.task.is_some() && (half || !a.written.get());
        let unwritten: Vec<AttemptNumber> =
            (0..).zip(&open.attempts).filter(|(_, a)| unwritten(a)).map(|(n, _)| n).collect();
        unwritten.into_iter().for_each(|n| self.attempt_ended(id, n, Outcome::NotSent));
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Send { request, endpoint, begin_by } => self.send(request, endpoint, begin_by),
            Action::Reject { request, retry_after } => {
                let stay_away = (!retry_after.is_zero()).then_some(retry_after);
                self.answer(request, FinalAnswer::Rejected(stay_away));
            }
            Action::Fail(request) => {
                let out =
                    |open: &ActiveRequest| open.timed_out || open.attempts.iter().any(|a| a.task.is_some());
                let timed_out = self.open.get(&request).is_some_and(out);
                self.answer(request, FinalAnswer::Failed { timed_out });
            }
            Action::Cancel(request, attempt) => {
                let began = |open: &ActiveRequest| {
                    open.attempts.get(usize::from(attempt)).is_some_and(|a| a.began_at.is_some())
                };
                // What has begun is the client's.
                if !self.open.get(&request).is_some_and(began) {
                    self.attempt_ended(request, attempt, Outcome::Cancelled);
                }
            }
            Action::SetTimer { after, token } => self.wake(after, token),
            Action::Subscribe => self.subscribe.notify_one(),
        }
    }

    /// Sets a timer. The module asks again only for an earlier look, so one for each request is enough.
    fn wake(&mut self, after: Duration, token: TimerToken) {
        let wait = after.min(WAKE_MOST);
        let now = self.now();
        let then = now + wait;
        let request = if let TimerToken::Request(id) = token { self.open.get_mut(&id) } else { None };
        match request {
            Some(ActiveRequest { timer: Some((key, due)), .. }) if *due > now => {
                self.timers.reset(key, wait);
                *due = then;
            }
            Some(open) => open.timer = Some((self.timers.insert(token, wait), then)),
            None => drop(self.timers.insert(token, wait)),
        }
    }

    fn woken(&mut self, token: TimerToken) {
        let now = self.now();
        if let TimerToken::Request(id) = token
            && let Some(open) = self.open.get_mut(&id)
        {
            open.timer.take_if(|(_, due)| *due <= now);
        }
        self.queue.push_back(Event::TimerFired(token));
    }

    fn send(&mut self, request: RequestId, endpoint: EndpointId, begin_by: Option<Timestamp>) {
        let sent_at = self.now();
        let Some(open) = self.open.get_mut(&request) else { return };
        let begin_by = begin_by.map(|by| self.started + by.saturating_duration_since(self.started_at));
        open.outgoing.begin_by.set(begin_by);
        let number = open.attempts.len() as AttemptNumber;
        let (servers, mailbox) = (self.servers.clone(), self.mailbox.clone());
        let (outgoing, answered) = (open.outgoing.clone(), open.answer.is_none());
        let written = Rc::new(Cell::new(false));
        let writes = written.clone();
        let task = tokio::task::spawn_local(async move {
            // Nothing is sent for a request after its answer.
            let attempted = match answered {
                true => AttemptOutcome::Failed(Outcome::NotSent),
                false => servers.attempt(&outgoing, endpoint, &writes).await,
            };
            mailbox.send(match attempted {
                AttemptOutcome::Failed(outcome) => EngineEvent::AttemptEnded(request, number, outcome, None),
                AttemptOutcome::Served(response) => {
                    EngineEvent::AttemptEnded(request, number, Outcome::Served, Some(response))
                }
                AttemptOutcome::Streaming(response) => {
                    EngineEvent::ResponseStarted(request, number, response)
                }
            });
        });
        open.attempts.push(Attempt { sent_at, written, began_at: None, task: Some(task.abort_handle()) });
    }

    fn answer(&mut self, id: RequestId, answer: FinalAnswer) {
        if let Some(waiting) = self.open.get_mut(&id).and_then(|open| open.answer.take()) {
            // A client that is just leaving hears no answer; its `Left` then finds the request finished.
            let _ = waiting.send(answer);
        }
        self.let_go(id);
    }

    /// Forgets a request that is answered and has no attempt out.
    fn let_go(&mut self, id: RequestId) {
        let over =
            |open: &ActiveRequest| open.answer.is_none() && open.attempts.iter().all(|a| a.task.is_none());
        if self.open.get(&id).is_some_and(over)
            && let Some((key, _)) = self.open.remove(&id).and_then(|open| open.timer)
        {
            self.timers.try_remove(&key);
        }
    }
}
