//! Discovery: receives endpoint lists on a watch and passes them to the engine.

mod backoff;
mod calls;
mod entries;
mod parser;
mod watch;

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;

use mothspool::DiscoveryMode;
use tokio::sync::{Notify, watch as watch_channel};
use tokio::time::{Instant, sleep};

use self::backoff::Backoff;
use self::calls::Calls;
use self::entries::EntryConverter;
use self::watch::WatchError;
use crate::clock::WallClock;
use crate::config::Config;
use crate::engine::{EngineHandle, ListKind};
use crate::log::ErrorChain;
use crate::protocol::endpoint_list::EndpointList;

/// Publishes the endpoint list of the configuration and then watches discovery forever. When `address`
/// changes, the open watch is closed, and the next one is opened at the new address from the current
/// revision. If discovery is polled, the first watch is opened only after `subscribe` was notified.
pub async fn follow(
    config: Rc<Config>,
    mut address: watch_channel::Receiver<SocketAddr>,
    engine: EngineHandle,
    subscribe: Rc<Notify>,
    wall_clock: Rc<WallClock>,
) {
    let mut client = DiscoveryClient::new(&config, engine, wall_clock);
    client.publish(&config.cached_list, ListKind::Cached);
    if config.settings.discovery != DiscoveryMode::Push {
        subscribe.notified().await;
    }
    loop {
        let (current, started) = (*address.borrow_and_update(), Instant::now());
        let error = tokio::select! {
            biased;
            // The old address accepts no new watch and ends the open one, so the change takes precedence.
            () = address_changed(&mut address) => {
                client.calls = Calls::default();
                client.backoff.reset();
                continue;
            }
            Err(error) = client.watch(current) => error,
        };
        client.record_failure(&error);
        // A change of the address ends the delay, which is due to a failure at the old address. So does an
        // answer to the late call, which the next watch uses.
        let delay = client.backoff.next_delay(started.elapsed());
        tokio::select! {
            () = address_changed(&mut address) => {}
            () = client.calls.late_answer() => {}
            () = sleep(delay) => {}
        }
    }
}

/// Waits until the address of discovery changes. Never returns if the sender of addresses is dropped.
async fn address_changed(address: &mut watch_channel::Receiver<SocketAddr>) {
    if address.changed().await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// State that is kept from one watch to the next.
struct DiscoveryClient {
    engine: EngineHandle,
    converter: EntryConverter,
    /// Revision of the endpoint list that the engine has.
    revision: u64,
    /// When discovery last sent a list, or said that nothing had changed.
    last_news_at: Option<Instant>,
    backoff: Backoff,
    calls: Calls,
}

impl DiscoveryClient {
    fn new(config: &Config, engine: EngineHandle, wall_clock: Rc<WallClock>) -> DiscoveryClient {
        DiscoveryClient {
            engine,
            converter: EntryConverter::new(config, wall_clock),
            revision: config.cached_list.revision,
            last_news_at: None,
            backoff: Backoff::new(config.seed),
            calls: Calls::default(),
        }
    }

    /// Opens a watch and applies its endpoint lists until it fails.
    async fn watch(&mut self, address: SocketAddr) -> Result<Infallible, WatchError> {
        let mut watch = self.calls.open(address, self.revision).await?;
        // An open watch counts as a success even without a list: it may send none until something changes.
        self.backoff.reset();
        loop {
            let list = watch.next_list().await;
            self.last_news_at = self.last_news_at.max(watch.last_empty_line_at());
            self.apply(&list?)?;
            self.last_news_at = Some(Instant::now());
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

    /// Passes an endpoint list to the engine.
    fn publish(&mut self, list: &EndpointList, kind: ListKind) {
        tracing::debug!(
            revision = list.revision,
            entries = list.entries.len(),
            ?kind,
            "endpoint list applied"
        );
        let convert = |entry| self.converter.convert(entry, self.last_news_at);
        let endpoints = list.entries.iter().map(convert).collect();
        self.engine.update_endpoints(kind, endpoints);
    }

    /// Counts a failure. Only the first one is logged, until a watch has opened or the address of discovery
    /// has changed: further lines during a long outage would add no information.
    fn record_failure(&mut self, error: &WatchError) {
        if self.backoff.record_failure() {
            tracing::warn!(
                "discovery watch failed: {}; retrying from revision {}",
                ErrorChain(error),
                self.revision
            );
        }
    }
}
