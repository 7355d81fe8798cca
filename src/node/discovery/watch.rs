//! One watch: a request to discovery whose response goes on for as long as its connection, and carries
//! endpoint lists.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Buf, Bytes};
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, StatusCode, header};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout, timeout_at};
use tokio_util::task::AbortOnDropHandle;

use super::parser::{ListParser, ParseError};
use crate::protocol::endpoint_list::EndpointList;

/// How long a connection may take to come up. After a move to another address a watch has to be up within 4
/// s, a second try included.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long the head of the response may take, for the same reason.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// A watch without a complete line for this long is dead: a line is sent every 2 s. What it misses counts as
/// known to the node after 6 s, and the next watch may be silent too: the one after that has to be up by
/// then, the delays between them included.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2400);

/// Why a watch ended.
#[derive(Debug, Error)]
pub(super) enum WatchError {
    /// No connection came up.
    #[error("connecting to {address} failed")]
    Connect {
        /// Where discovery is.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// No connection came up in time.
    #[error("connecting to {address} took longer than {CONNECT_TIMEOUT:?}")]
    ConnectTimedOut {
        /// Where discovery is.
        address: SocketAddr,
    },
    /// The request can't be built.
    #[error("the request for a watch is invalid")]
    InvalidRequest(#[from] hyper::http::Error),
    /// The connection broke before the response began.
    #[error("{address} sent no response")]
    Request {
        /// Where discovery is.
        address: SocketAddr,
        /// What broke.
        source: hyper::Error,
    },
    /// The response did not begin in time.
    #[error("{address} sent no response within {RESPONSE_TIMEOUT:?}")]
    ResponseTimedOut {
        /// Where discovery is.
        address: SocketAddr,
    },
    /// The response is not a watch.
    #[error("{address} responded with status {status}")]
    Status {
        /// Where discovery is.
        address: SocketAddr,
        /// What it responded.
        status: StatusCode,
    },
    /// No complete line came for too long.
    #[error("the watch was silent for {SILENCE_TIMEOUT:?}")]
    Silent,
    /// The response ended.
    #[error("the watch ended")]
    Ended,
    /// The connection broke.
    #[error("the watch broke")]
    Receive(#[source] hyper::Error),
    /// What came is no endpoint list.
    #[error(transparent)]
    Parse(#[from] ParseError),
    /// A list is older than what the node has. What it has goes before what arrives late; a new watch sends
    /// what has changed since.
    #[error("an endpoint list has revision {received}, older than {current}")]
    StaleRevision {
        /// The revision of the list.
        received: u64,
        /// The revision that the node has.
        current: u64,
    },
}

/// An open watch; dropping it closes its connection.
pub(super) struct Watch {
    body: Incoming,
    /// What has been received and not parsed.
    unparsed: Bytes,
    parser: ListParser,
    /// When the watch counts as dead, unless a line is complete by then.
    expires_at: Instant,
    _connection: AbortOnDropHandle<hyper::Result<()>>,
    /// The connection is open for requests as long as there is a sender.
    _sender: SendRequest<Empty<Bytes>>,
}

impl Watch {
    /// Opens a watch for what has changed since `revision`.
    pub(super) async fn open(address: SocketAddr, revision: u64) -> Result<Watch, WatchError> {
        let stream = connect(address).await?;
        let request_error = |source| WatchError::Request { address, source };
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.map_err(request_error)?;
        let connection = AbortOnDropHandle::new(spawn_local(connection));
        let request = Request::get(format!("/catalog/members?watch=1&from={revision}"))
            .header(header::HOST, address.to_string())
            .body(Empty::new())?;
        let response = timeout(RESPONSE_TIMEOUT, sender.send_request(request))
            .await
            .map_err(|_| WatchError::ResponseTimedOut { address })?
            .map_err(request_error)?;
        if response.status() != StatusCode::OK {
            return Err(WatchError::Status { address, status: response.status() });
        }
        Ok(Watch {
            body: response.into_body(),
            unparsed: Bytes::new(),
            parser: ListParser::new(),
            expires_at: Instant::now() + SILENCE_TIMEOUT,
            _connection: connection,
            _sender: sender,
        })
    }

    /// Waits for the next endpoint list.
    pub(super) async fn next_list(&mut self) -> Result<EndpointList, WatchError> {
        loop {
            if let Some(list) = self.parse()? {
                return Ok(list);
            }
            self.receive().await?;
        }
    }

    /// Parses what has been received, up to the end of the next list.
    fn parse(&mut self) -> Result<Option<EndpointList>, ParseError> {
        while self.unparsed.has_remaining() {
            let list = self.parser.push(self.unparsed.get_u8())?;
            // A list that arrives byte by byte and never ends is silence too.
            if self.parser.is_between_lists() {
                self.expires_at = Instant::now() + SILENCE_TIMEOUT;
            }
            if list.is_some() {
                return Ok(list);
            }
        }
        Ok(None)
    }

    /// Waits for the next piece of the response.
    async fn receive(&mut self) -> Result<(), WatchError> {
        let frame = timeout_at(self.expires_at, self.body.frame()).await.map_err(|_| WatchError::Silent)?;
        let frame = frame.ok_or(WatchError::Ended)?.map_err(WatchError::Receive)?;
        // Trailers say nothing.
        self.unparsed = frame.into_data().unwrap_or_default();
        Ok(())
    }
}

async fn connect(address: SocketAddr) -> Result<TcpStream, WatchError> {
    let failed = |source| WatchError::Connect { address, source };
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| WatchError::ConnectTimedOut { address })?
        .map_err(failed)?;
    stream.set_nodelay(true).map_err(failed)?;
    Ok(stream)
}
