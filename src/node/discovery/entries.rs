//! Conversion of the entries of endpoint lists to the form that the balancer uses.

use std::collections::HashMap;
use std::rc::Rc;

use mothspool::{EndpointId, EndpointInfo, EndpointState, Timestamp};
use tokio::time::Instant;

use crate::clock::WallClock;
use crate::config::Config;
use crate::protocol::endpoint_list::{EndpointEntry, EntryState, endpoint_id};
use crate::upstream::ListedEndpoint;

const MICROS_PER_MILLI: u64 = 1000;

/// Maps names to indices: first the names in the settings in their order, then other names in the order in
/// which they occur. Names that are missing from the settings get different indices too, because the zone can
/// determine where a retry may run.
struct Interner {
    indices: HashMap<String, u8>,
}

impl Interner {
    fn new(names: &[String]) -> Interner {
        Interner { indices: names.iter().cloned().zip(0..u8::MAX).collect() }
    }

    /// Returns the index of a name, and assigns the next free one to a new name. When no index is free, all
    /// further names share `u8::MAX`.
    fn intern(&mut self, name: &str) -> u8 {
        if let Some(index) = self.indices.get(name) {
            return *index;
        }
        let next = u8::try_from(self.indices.len()).unwrap_or(u8::MAX);
        if next < u8::MAX {
            self.indices.insert(name.into(), next);
        }
        next
    }
}

/// A start of an endpoint, as its entry states it and on the balancer's clock.
struct KnownStart {
    stated_ms: u64,
    started_at: Timestamp,
}

/// The last start of each endpoint that a list has named.
struct StartTimes {
    wall_clock: Rc<WallClock>,
    starts: HashMap<EndpointId, KnownStart>,
}

impl StartTimes {
    /// Returns when an endpoint started, on the balancer's clock. The Unix time that its entry states is
    /// compared with the wall clock only once, because that may be stepped later. A start that was not known
    /// at `last_news_at` counts as no older than that.
    fn started_at(&mut self, id: EndpointId, stated_ms: u64, last_news_at: Option<Instant>) -> Timestamp {
        if stated_ms == 0 {
            return Timestamp::default();
        }
        if let Some(known) = self.starts.get(&id)
            && known.stated_ms == stated_ms
        {
            return known.started_at;
        }
        let stated = Timestamp::from_micros(stated_ms.saturating_mul(MICROS_PER_MILLI));
        let started_at = self.wall_clock.local_time_since(stated, last_news_at);
        self.starts.insert(id, KnownStart { stated_ms, started_at });
        started_at
    }
}

/// Converts entries, and keeps the indices of the zones and machine types in them, and the start times.
pub(super) struct EntryConverter {
    starts: StartTimes,
    zones: Interner,
    machine_types: Interner,
}

impl EntryConverter {
    /// Creates a converter that uses the indices of zones and machine types in the settings.
    pub(super) fn new(config: &Config, wall_clock: Rc<WallClock>) -> EntryConverter {
        EntryConverter {
            starts: StartTimes { wall_clock, starts: HashMap::new() },
            zones: Interner::new(&config.zones),
            machine_types: Interner::new(&config.machine_types),
        }
    }

    /// Returns the endpoint that an entry describes. `last_news_at` is the last time at which the node knew
    /// all changes that discovery had to tell, if it ever did.
    pub(super) fn convert(&mut self, entry: &EndpointEntry, last_news_at: Option<Instant>) -> ListedEndpoint {
        let id = endpoint_id(&entry.uid);
        let info = EndpointInfo {
            id,
            state: match entry.state {
                EntryState::Ready => EndpointState::Ready,
                EntryState::Draining => EndpointState::Draining,
                EntryState::Gone => EndpointState::Gone,
            },
            started_at: self.starts.started_at(id, entry.started_at_ms, last_news_at),
            zone: self.zones.intern(&entry.zone),
            cell: entry.cell,
            weight: entry.weight.max(0.0),
            machine_type: self.machine_types.intern(&entry.machine_type),
        };
        ListedEndpoint { info, address: entry.address }
    }
}
