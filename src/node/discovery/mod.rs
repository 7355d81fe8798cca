//! Discovery: the endpoint list, and the watch that keeps it current.

mod backoff;
mod parser;
mod records;
mod watch;

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;

use mothspool::DiscoveryMode;
use tokio::sync::{Notify, watch as watch_channel};
use tokio::time::{Instant, timeout};

use self::backoff::Backoff;
use self::records::RecordConverter;
use self::watch::{Watch, WatchError};
use crate::config::Config;
use crate::engine::{EngineHandle, ListKind};
use crate::log::ErrorChain;
use crate::protocol::endpoint_list::EndpointList;

/// Starts from the endpoint list in the configuration and follows discovery from there on, for ever. When
/// `address` changes, it goes on at the new one from the revision that it has. Where discovery is polled, the
/// first watch begins with `subscribe`.
pub async fn follow(
    config: Rc<Config>,
    mut address: watch_channel::Receiver<SocketAddr>,
    engine: EngineHandle,
    subscribe: Rc<Notify>,
) {
    let mut client = DiscoveryClient::new(&config, engine);
    client.publish(&config.cached_list, ListKind::Cached);
    if config.settings.discovery != DiscoveryMode::Push {
        subscribe.notified().await;
    }
    loop {
        let (current, started) = (*address.borrow_and_update(), Instant::now());
        let error = tokio::select! {
            biased;
            // The old address takes no new watch, and ends the one that it has.
            () = address_changed(&mut address) => {
                client.backoff.reset();
                continue;
            }
            Err(error) = client.watch(current) => error,
        };
        client.record_failure(&error);
        // A move must not wait for what happened at the old address.
        let delay = client.backoff.next_delay(started.elapsed());
        let _ = timeout(delay, address_changed(&mut address)).await;
    }
}

/// Waits until discovery has moved; for ever, if nothing can move it any more.
async fn address_changed(address: &mut watch_channel::Receiver<SocketAddr>) {
    if address.changed().await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// What is kept from one watch to the next.
struct DiscoveryClient {
    engine: EngineHandle,
    converter: RecordConverter,
    /// The revision of the endpoint list that the engine has.
    revision: u64,
    backoff: Backoff,
}

impl DiscoveryClient {
    fn new(config: &Config, engine: EngineHandle) -> DiscoveryClient {
        DiscoveryClient {
            engine,
            converter: RecordConverter::new(config),
            revision: config.cached_list.revision,
            backoff: Backoff::new(config.seed),
        }
    }

    /// Follows one watch until it fails.
    async fn watch(&mut self, address: SocketAddr) -> Result<Infallible, WatchError> {
        let mut watch = Watch::open(address, self.revision).await?;
        // A watch that is open may send nothing until something changes.
        self.backoff.reset();
        loop {
            let list = watch.next_list().await?;
            self.apply(&list)?;
        }
    }

    fn apply(&mut self, list: &EndpointList) -> Result<(), WatchError> {
        if list.revision < self.revision {
            return Err(WatchError::StaleRevision { received: list.revision, current: self.revision });
        }
        self.revision = list.revision;
        self.publish(list, if list.is_snapshot { ListKind::Snapshot } else { ListKind::Delta });
        Ok(())
    }

    /// Passes a list on to the engine.
    fn publish(&mut self, list: &EndpointList, kind: ListKind) {
        let endpoints = list.records.iter().map(|record| self.converter.convert(record)).collect();
        self.engine.update_endpoints(kind, endpoints);
    }

    /// Counts a failure, and logs the first one of a row: a line for each try of a long outage would say
    /// nothing new.
    fn record_failure(&mut self, error: &WatchError) {
        if self.backoff.record_failure() {
            log!("discovery: {}; the next watch starts from revision {}", ErrorChain(error), self.revision);
        }
    }
}
