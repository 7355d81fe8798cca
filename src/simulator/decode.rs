//! Decoding of batches, with the numbered endpoint lists to which their records refer.

use std::time::Duration;

use crate::balancer::{
    AttemptResult, EndpointId, EndpointInfo, EndpointState, Event, Outcome, Request, Settings, Timestamp,
};
use crate::settings_format::parse_settings;
use crate::simulator::codes::{
    CATALOG_COUNT, COST_HINT_VALID, ENTRY_BYTES, discovery, event as code, stage_state, status,
};
use crate::simulator::error::WireError;

/// A record of a batch. Numbers of endpoint lists are replaced by the lists.
#[derive(Debug, PartialEq)]
pub enum Record {
    /// The following records are for the node of this number.
    Node(u16),
    /// The node starts with this seed and these settings, and without any earlier state.
    Launch(u64, Box<Settings>),
    /// The node is killed.
    Crash,
    /// An event for the balancer of the node.
    Event(Event),
}

/// A decoded batch.
#[derive(Debug, PartialEq)]
pub struct Batch {
    /// Time of the batch.
    pub now: Timestamp,
    /// Number of the batch.
    pub number: u32,
    /// Records of the batch, in order.
    pub records: Vec<Record>,
}

/// Decoder of batches. It keeps the numbered endpoint lists from one batch to the next.
#[derive(Default)]
pub struct Decoder {
    lists: [Vec<EndpointInfo>; CATALOG_COUNT],
}

impl Decoder {
    /// Decodes a batch from a frame without its length.
    pub fn decode_batch(&mut self, frame: &[u8]) -> Result<Batch, WireError> {
        let mut fields = FieldReader(frame);
        let now = fields.timestamp("clock")?;
        let number = fields.u32("batch number")?;
        let mut records = Vec::new();
        while !fields.is_empty() {
            records.extend(self.decode_record(&mut fields)?);
        }
        Ok(Batch { now, number, records })
    }

    /// Decodes one record. Returns `None` if nothing in the record has to be passed to a node.
    fn decode_record(&mut self, fields: &mut FieldReader<'_>) -> Result<Option<Record>, WireError> {
        let event = match fields.u16("record code")? {
            code::LAUNCH => return decode_launch(fields).map(Some),
            code::INSTANCE => return Ok(Some(Record::Node(fields.u16("Instance.node")?))),
            code::CRASH_NOW => return Ok(Some(Record::Crash)),
            code::CATALOG => return self.store_list(fields).map(|()| None),
            code::PING_RESULT => return skip_ping_result(fields).map(|()| None),
            code::PEER => return skip_peer(fields).map(|()| None),
            code::DISCOVERY => self.decode_discovery(fields)?,
            code::INCOMING => decode_incoming(fields)?,
            code::STARTED => decode_started(fields)?,
            code::COMPLETED => decode_completed(fields)?,
            code::VANISHED => Event::ClientDisconnected(fields.u64("Vanished.ref")?),
            code::WAKEUP => Event::TimerFired(fields.u64("Wakeup.nonce")?.into()),
            code => return Err(WireError::UnknownCode { field: "record code", code }),
        };
        Ok(Some(Record::Event(event)))
    }

    /// Decodes an endpoint list and stores it under its number.
    fn store_list(&mut self, fields: &mut FieldReader<'_>) -> Result<(), WireError> {
        let number = usize::from(fields.u8("Catalog.set_id")?);
        let list = decode_endpoint_list(fields)?;
        let bound = self.lists.len();
        *self.lists.get_mut(number).ok_or(WireError::ListNumberOutOfRange { number, bound })? = list;
        Ok(())
    }

    fn decode_discovery(&self, fields: &mut FieldReader<'_>) -> Result<Event, WireError> {
        let kind = fields.u8("Discovery.how")?;
        let _version = fields.u64("Discovery.stamp")?;
        let number = usize::from(fields.u8("Discovery.set_id")?);
        if kind == discovery::FAILED {
            return Ok(Event::DiscoveryFailed);
        }
        let bound = self.lists.len();
        let list =
            self.lists.get(number).cloned().ok_or(WireError::ListNumberOutOfRange { number, bound })?;
        match kind {
            discovery::DELTA => Ok(Event::EndpointDelta(list)),
            discovery::FULL => Ok(Event::EndpointSnapshot(list)),
            discovery::CACHED => Ok(Event::CachedSnapshot(list)),
            other => Err(WireError::UnknownCode { field: "Discovery.how", code: other.into() }),
        }
    }
}

fn decode_launch(fields: &mut FieldReader<'_>) -> Result<Record, WireError> {
    let seed = fields.u64("Launch.init_seed")?;
    let length = fields.u32("Launch.options length")? as usize;
    let settings = parse_settings(fields.bytes("Launch.options", length)?)?;
    Ok(Record::Launch(seed, Box::new(settings)))
}

fn decode_incoming(fields: &mut FieldReader<'_>) -> Result<Event, WireError> {
    let id = fields.u64("Incoming.ref")?;
    let class = usize::from(fields.u8("Incoming.lane")?);
    let remaining = fields.duration("Incoming.remaining_us")?;
    let work = fields.duration("Incoming.size_hint_us")?;
    let key = fields.u64("Incoming.key")?;
    let state_bits = fields.u8("Incoming.state_bits")?;
    let tenant = fields.u32("Incoming.client_group")?;
    Ok(Event::RequestArrived(Request {
        id,
        class,
        remaining,
        expected_work: (state_bits & COST_HINT_VALID != 0).then_some(work),
        affinity_key: (key != 0).then_some(key),
        tenant: Some(tenant),
    }))
}

fn decode_started(fields: &mut FieldReader<'_>) -> Result<Event, WireError> {
    let request = fields.u64("Started.ref")?;
    let _endpoint = fields.endpoint("Started.server")?;
    let attempt = fields.u16("Started.leg")?;
    let _elapsed = fields.duration("Started.wait_time_us")?;
    Ok(Event::ResponseStarted(request, attempt))
}

fn decode_completed(fields: &mut FieldReader<'_>) -> Result<Event, WireError> {
    let request = fields.u64("Completed.ref")?;
    let attempt = fields.u16("Completed.leg")?;
    let request_finished = fields.u8("Completed.ended")? != 0;
    let outcome = decode_outcome(fields.u8("Completed.status")?)?;
    let elapsed = fields.duration("Completed.wait_time_us")?;
    let _endpoint = fields.endpoint("Completed.server")?;
    fields.skip_load_report("Completed.feedback")?;
    Ok(Event::AttemptEnded(AttemptResult { request, attempt, outcome, elapsed, request_finished }))
}

/// Skips the result of a ping. Balancers send no pings.
fn skip_ping_result(fields: &mut FieldReader<'_>) -> Result<(), WireError> {
    fields.duration("PingResult.wait_time_us")?;
    fields.endpoint("PingResult.server")?;
    fields.u8("PingResult.status")?;
    fields.skip_load_report("PingResult.feedback")
}

/// Skips a message from another node. Balancers send each other no messages.
fn skip_peer(fields: &mut FieldReader<'_>) -> Result<(), WireError> {
    fields.u32("Peer.sender")?;
    let length = usize::from(fields.u16("Peer.blob length")?);
    fields.bytes("Peer.blob", length).map(drop)
}

fn decode_endpoint_list(fields: &mut FieldReader<'_>) -> Result<Vec<EndpointInfo>, WireError> {
    let count = fields.u32("Catalog.records count")? as usize;
    let length = count.checked_mul(ENTRY_BYTES).ok_or(WireError::ListTooLong { count })?;
    let mut entries = FieldReader(fields.bytes("Catalog.records", length)?);
    let mut list = Vec::with_capacity(count);
    while !entries.is_empty() {
        list.push(decode_list_entry(&mut entries)?);
    }
    Ok(list)
}

fn decode_list_entry(fields: &mut FieldReader<'_>) -> Result<EndpointInfo, WireError> {
    let state = decode_endpoint_state(fields.u8("stage_state")?)?;
    let started_at = fields.timestamp("ready_at_us")?;
    let zone = fields.u8("hall")?;
    let id = fields.endpoint("server")?;
    let cell = Some(fields.u16("cell")?);
    let weight = decode_endpoint_weight(fields.f32("nominal")?);
    let machine_type = fields.u8("shape")?;
    Ok(EndpointInfo { id, state, started_at, zone, cell, weight, machine_type })
}

fn decode_endpoint_state(code: u8) -> Result<EndpointState, WireError> {
    match code {
        stage_state::GONE => Ok(EndpointState::Gone),
        stage_state::DRAINING => Ok(EndpointState::Draining),
        stage_state::READY => Ok(EndpointState::Ready),
        other => Err(WireError::UnknownCode { field: "stage_state", code: other.into() }),
    }
}

/// Decodes a weight. One that is infinite, not a number or negative becomes 0, which stands for an unknown
/// weight; otherwise it would distort averages over endpoints.
fn decode_endpoint_weight(nominal: f32) -> f64 {
    match nominal.is_finite() {
        true => f64::from(nominal.max(0.0)),
        false => 0.0,
    }
}

fn decode_outcome(code: u8) -> Result<Outcome, WireError> {
    match code {
        status::OK => Ok(Outcome::Served),
        status::ERROR => Ok(Outcome::Error),
        status::FULL => Ok(Outcome::Rejected),
        status::RESET => Ok(Outcome::Reset),
        status::TIMEOUT => Ok(Outcome::TimedOut),
        status::CONNECT_FAILED => Ok(Outcome::ConnectFailed),
        status::MOOT => Ok(Outcome::NotSent),
        status::CANCELLED => Ok(Outcome::Cancelled),
        other => Err(WireError::UnknownCode { field: "Completed.status", code: other.into() }),
    }
}

/// Reads fields from the beginning of a slice. They are little-endian unless stated otherwise. Errors name
/// the field.
struct FieldReader<'a>(&'a [u8]);

impl<'a> FieldReader<'a> {
    fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    fn bytes(&mut self, field: &'static str, length: usize) -> Result<&'a [u8], WireError> {
        let Some((head, rest)) = self.0.split_at_checked(length) else {
            return Err(WireError::TruncatedField { field, needed: length, remaining: self.0.len() });
        };
        self.0 = rest;
        Ok(head)
    }

    fn array<const N: usize>(&mut self, field: &'static str) -> Result<[u8; N], WireError> {
        let mut array = [0; N];
        array.copy_from_slice(self.bytes(field, N)?);
        Ok(array)
    }

    fn u8(&mut self, field: &'static str) -> Result<u8, WireError> {
        self.array(field).map(u8::from_le_bytes)
    }

    fn u16(&mut self, field: &'static str) -> Result<u16, WireError> {
        self.array(field).map(u16::from_le_bytes)
    }

    fn u32(&mut self, field: &'static str) -> Result<u32, WireError> {
        self.array(field).map(u32::from_le_bytes)
    }

    fn u64(&mut self, field: &'static str) -> Result<u64, WireError> {
        self.array(field).map(u64::from_le_bytes)
    }

    fn f32(&mut self, field: &'static str) -> Result<f32, WireError> {
        self.array(field).map(f32::from_le_bytes)
    }

    /// Reads a duration in microseconds, with 32 bits.
    fn duration(&mut self, field: &'static str) -> Result<Duration, WireError> {
        self.u32(field).map(|micros| Duration::from_micros(micros.into()))
    }

    /// Reads a time of the simulator's clock in microseconds, with 64 bits.
    fn timestamp(&mut self, field: &'static str) -> Result<Timestamp, WireError> {
        self.u64(field).map(Timestamp::from_micros)
    }

    /// Reads an IPv4 address, which is big-endian, and a port.
    fn endpoint(&mut self, field: &'static str) -> Result<EndpointId, WireError> {
        let address = u32::from_be_bytes(self.array(field)?);
        let port = self.u16(field)?;
        Ok(u64::from(address) << 16 | u64::from(port))
    }

    /// Skips a load report: a count, followed by that number of `f32` values. Balancers use only what they
    /// observe themselves.
    fn skip_load_report(&mut self, field: &'static str) -> Result<(), WireError> {
        let values = usize::from(self.u8(field)?);
        self.bytes(field, values * size_of::<f32>()).map(drop)
    }
}
