//! Converts the records of endpoint lists to what the balancer is notified of.

use std::collections::HashMap;

use mothspool::{EndpointInfo, EndpointState, Timestamp};

use crate::config::Config;
use crate::protocol::endpoint_list::{EndpointRecord, RecordState, endpoint_id};
use crate::upstream::ListedEndpoint;

/// Microseconds in a millisecond.
const MICROS_PER_MILLI: u64 = 1000;

/// Numbers names: those of the settings in their order, then others as they occur. Two names that the
/// settings leave out differ just as two that they list: where a retry may run can depend on a zone.
struct Interner {
    indices: HashMap<String, u8>,
}

impl Interner {
    fn new(names: &[String]) -> Interner {
        Interner { indices: names.iter().cloned().zip(0..u8::MAX).collect() }
    }

    /// The number of a name. When numbers run out, all further names share the last one.
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

/// Converts records, and remembers the numbers of the names in them.
pub(super) struct RecordConverter {
    zones: Interner,
    machine_types: Interner,
}

impl RecordConverter {
    /// A converter that numbers zones and machine types as the settings do.
    pub(super) fn new(config: &Config) -> RecordConverter {
        RecordConverter {
            zones: Interner::new(&config.zones),
            machine_types: Interner::new(&config.machine_types),
        }
    }

    /// What a record says of its endpoint.
    pub(super) fn convert(&mut self, record: &EndpointRecord) -> ListedEndpoint {
        let info = EndpointInfo {
            id: endpoint_id(&record.uid),
            state: match record.state {
                RecordState::Ready => EndpointState::Ready,
                RecordState::Draining => EndpointState::Draining,
                RecordState::Gone => EndpointState::Gone,
            },
            started_at: Timestamp::from_micros(record.started_at_ms.saturating_mul(MICROS_PER_MILLI)),
            zone: self.zones.intern(&record.zone),
            cell: record.cell,
            weight: record.weight.max(0.0),
            machine_type: self.machine_types.intern(&record.machine_type),
        };
        ListedEndpoint { info, address: record.address }
    }
}
