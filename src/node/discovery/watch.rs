//! A watch: a request to discovery whose response lasts as long as its connection and contains endpoint
//! lists.

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
use crate::net::Stream;
use crate::protocol::endpoint_list::EndpointList;

/// Time limit for opening a connection. After the address of discovery has changed, a watch has to be open
/// within 4 s, even if a second try is needed.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which a call without a response counts as late, so that another one is made beside it. It is
/// short for the same reason as [`CONNECT_TIMEOUT`].
pub(super) const LATE_CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time limit for the head of the response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time without a complete list or empty line after which a watch counts as broken; discovery sends a line
/// every 2 s.
///
/// According to the protocol, a change counts as known to the node 6 s after its watch fell silent, whether
/// or not the node has received it. The next watch may be silent too, so the third one has to be open within
/// these 6 s, which include the delays between the watches.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2400);

/// Reason why a watch ended.
#[derive(Debug, Error)]
pub(super) enum WatchError {
    /// Opening the connection failed.
    #[error("connecting to {address} failed")]
    Connect {
        /// Address of discovery.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The connection was not open within [`CONNECT_TIMEOUT`].
    #[error("connecting to {address} timed out after {CONNECT_TIMEOUT:?}")]
    ConnectTimedOut {
        /// Address of discovery.
        address: SocketAddr,
    },
    /// The request can't be built.
    #[error("the watch request is invalid")]
    InvalidRequest(#[from] hyper::http::Error),
    /// The connection failed before the head of the response was received.
    #[error("no response from {address}")]
    Request {
        /// Address of discovery.
        address: SocketAddr,
        /// Error of the connection.
        source: hyper::Error,
    },
    /// The head of the response was not received within this time.
    #[error("no response from {address} within {timeout:?}")]
    ResponseTimedOut {
        /// Address of discovery.
        address: SocketAddr,
        /// Time limit.
        timeout: Duration,
    },
    /// The status of the response is not 200.
    #[error("{address} responded with status {status}")]
    Status {
        /// Address of discovery.
        address: SocketAddr,
        /// Status of the response.
        status: StatusCode,
    },
    /// No list or empty line was completed within [`SILENCE_TIMEOUT`].
    #[error("no complete list or empty line received for {SILENCE_TIMEOUT:?}")]
    Silent,
    /// Discovery ended the response.
    #[error("discovery closed the watch")]
    Ended,
    /// Receiving the response failed.
    #[error("receiving the response failed")]
    Receive(#[source] hyper::Error),
    /// The received data is not an endpoint list.
    #[error(transparent)]
    Parse(#[from] ParseError),
    /// The received list is older than the one that the node has, and is not applied. On a new watch,
    /// discovery sends what has changed since the node's revision.
    #[error("endpoint list has revision {received}, which is older than the current revision {current}")]
    StaleRevision {
        /// Revision of the received list.
        received: u64,
        /// Revision that the node has.
        current: u64,
    },
}

/// An open watch. Dropping it closes its connection.
pub(super) struct Watch {
    body: Incoming,
    /// Received bytes that are not parsed yet.
    unparsed: Bytes,
    parser: ListParser,
    /// When the last empty line was completed, which says that nothing has changed.
    last_empty_line_at: Option<Instant>,
    /// Time at which the watch counts as broken, unless a list or an empty line is completed before.
    expires_at: Instant,
    _connection: AbortOnDropHandle<hyper::Result<()>>,
    /// Keeps the connection open: it accepts requests only while a sender exists.
    _sender: SendRequest<Empty<Bytes>>,
}

impl Watch {
    /// Opens a watch on which discovery sends the changes since `revision`.
    pub(super) async fn open(address: SocketAddr, revision: u64) -> Result<Watch, WatchError> {
        let stream = connect(address).await?;
        let request_error = |source| WatchError::Request { address, source };
        let (mut sender, connection) =
            http1::handshake(TokioIo::new(Stream(stream))).await.map_err(request_error)?;
        let connection = AbortOnDropHandle::new(spawn_local(connection));
        let request = Request::get(format!("/catalog/members?watch=1&from={revision}"))
            .header(header::HOST, address.to_string())
            .body(Empty::new())?;
        let response = timeout(RESPONSE_TIMEOUT, sender.send_request(request))
            .await
            .map_err(|_| WatchError::ResponseTimedOut { address, timeout: RESPONSE_TIMEOUT })?
            .map_err(request_error)?;
        if response.status() != StatusCode::OK {
            return Err(WatchError::Status { address, status: response.status() });
        }
        Ok(Watch {
            body: response.into_body(),
            unparsed: Bytes::new(),
            parser: ListParser::new(),
            last_empty_line_at: None,
            expires_at: Instant::now() + SILENCE_TIMEOUT,
            _connection: connection,
            _sender: sender,
        })
    }

    /// Returns when discovery last said that nothing had changed, if it did so on this watch.
    pub(super) fn last_empty_line_at(&self) -> Option<Instant> {
        self.last_empty_line_at
    }

    /// Waits for the next endpoint list and returns it.
    pub(super) async fn next_list(&mut self) -> Result<EndpointList, WatchError> {
        loop {
            if let Some(list) = self.parse()? {
                return Ok(list);
            }
            self.receive().await?;
        }
    }

    /// Parses the received bytes up to the end of the next list.
    fn parse(&mut self) -> Result<Option<EndpointList>, ParseError> {
        while self.unparsed.has_remaining() {
            let list = self.parser.push(self.unparsed.get_u8())?;
            // A list that never ends times out, even if bytes of it keep arriving.
            if self.parser.is_between_lists() {
                let now = Instant::now();
                self.expires_at = now + SILENCE_TIMEOUT;
                if list.is_none() {
                    self.last_empty_line_at = Some(now);
                }
            }
            if list.is_some() {
                return Ok(list);
            }
        }
        Ok(None)
    }

    /// Waits for the next frame of the response.
    async fn receive(&mut self) -> Result<(), WatchError> {
        let frame = timeout_at(self.expires_at, self.body.frame()).await.map_err(|_| WatchError::Silent)?;
        let frame = frame.ok_or(WatchError::Ended)?.map_err(WatchError::Receive)?;
        // Trailers are ignored.
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
