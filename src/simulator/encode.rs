//! Encoding of replies. A reply is one frame with the actions for a batch.

use std::time::Duration;

use crate::balancer::{Action, AttemptNumber, EndpointId, RequestId};
use crate::simulator::codes::{NO_TIMEOUT, OBSERVE_ACTIVE, action as code};

/// A reply to which actions are added.
#[derive(Default)]
pub struct Reply {
    record_count: u32,
    /// The encoded records, without the header of the frame.
    records: Vec<u8>,
    /// Number of the node to which the last action belongs.
    current_node: Option<u16>,
}

impl Reply {
    /// Removes all actions, so that the reply can be used for the next batch.
    pub fn clear(&mut self) {
        self.record_count = 0;
        self.records.clear();
        self.current_node = None;
    }

    /// Adds an action of the node of this number.
    pub fn push(&mut self, node: u16, action: Action) {
        if self.current_node != Some(node) {
            self.current_node = Some(node);
            self.begin_record(code::FROM).u16(node);
        }
        match action {
            // `begin_by` is not encoded: the simulator counts an attempt as sent at once, however late its
            // connection is established.
            Action::Send { request, endpoint, begin_by: _ } => self.route(request, endpoint),
            Action::Reject { request, retry_after } => self.deny(request, retry_after),
            Action::Fail(request) => {
                self.begin_record(code::ERROR).u64(request);
            }
            Action::Cancel(request, attempt) => self.revoke(request, attempt),
            Action::SetTimer { after, token } => self.schedule(after, token.into()),
            Action::Subscribe => {
                self.begin_record(code::OBSERVE).u8(OBSERVE_ACTIVE);
            }
        }
    }

    fn route(&mut self, request: RequestId, endpoint: EndpointId) {
        self.begin_record(code::ROUTE).u64(request).endpoint(endpoint).u32(NO_TIMEOUT);
    }

    fn deny(&mut self, request: RequestId, retry_after: Duration) {
        self.begin_record(code::DENY).u64(request).duration(retry_after);
    }

    fn revoke(&mut self, request: RequestId, attempt: AttemptNumber) {
        self.begin_record(code::REVOKE).u64(request).u16(attempt);
    }

    fn schedule(&mut self, after: Duration, token: u64) {
        self.begin_record(code::SCHEDULE).duration(after).u64(token);
    }

    /// Begins a record with its code. The caller appends the fields.
    fn begin_record(&mut self, code: u16) -> FieldWriter<'_> {
        self.record_count += 1;
        let mut fields = FieldWriter(&mut self.records);
        fields.u16(code);
        fields
    }

    /// Returns the frame of the reply to the batch of this number. Its header contains the number of records,
    /// the number of bytes after this length, and the number of the batch, each with 32 bits.
    pub fn to_frame(&self, batch: u32) -> Vec<u8> {
        const BATCH_BYTES: u32 = 4;
        const HEADER_BYTES: usize = 12;
        let mut frame = Vec::with_capacity(HEADER_BYTES + self.records.len());
        frame.extend(self.record_count.to_le_bytes());
        frame.extend((self.records.len() as u32 + BATCH_BYTES).to_le_bytes());
        frame.extend(batch.to_le_bytes());
        frame.extend(&self.records);
        frame
    }
}

/// Appends fields to the records. They are little-endian unless stated otherwise.
struct FieldWriter<'a>(&'a mut Vec<u8>);

impl FieldWriter<'_> {
    fn u8(&mut self, value: u8) -> &mut Self {
        self.0.push(value);
        self
    }

    fn u16(&mut self, value: u16) -> &mut Self {
        self.0.extend(value.to_le_bytes());
        self
    }

    fn u32(&mut self, value: u32) -> &mut Self {
        self.0.extend(value.to_le_bytes());
        self
    }

    fn u64(&mut self, value: u64) -> &mut Self {
        self.0.extend(value.to_le_bytes());
        self
    }

    /// Appends a duration in microseconds, with 32 bits. A duration above the maximum of the field, which is
    /// about 71.6 minutes, becomes that maximum.
    fn duration(&mut self, value: Duration) -> &mut Self {
        self.u32(u32::try_from(value.as_micros()).unwrap_or(u32::MAX))
    }

    /// Appends an IPv4 address, which is big-endian, and a port.
    fn endpoint(&mut self, id: EndpointId) -> &mut Self {
        let (address, port) = ((id >> 16) as u32, id as u16);
        self.0.extend(address.to_be_bytes());
        self.u16(port)
    }
}
