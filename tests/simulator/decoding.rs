//! Decoding of batches, whose bytes are written by hand from the tables of the wire's specification.

use std::time::Duration;

use mothspool::simulator::decode::{Batch, Decoder, Record};
use mothspool::simulator::error::WireError;
use mothspool::*;

use crate::{ENDPOINT, hex};

/// Decodes records that follow a header with clock 7 and batch number 9.
fn decode_records(decoder: &mut Decoder, text: &str) -> Vec<Record> {
    let frame = [hex("0700000000000000 09000000"), hex(text)].concat();
    decoder.decode_batch(&frame).unwrap().records
}

#[test]
fn decodes_an_empty_batch() {
    let batch = Decoder::default().decode_batch(&hex("5a5c800000000000 01000000")).unwrap();
    assert_eq!(batch, Batch { now: Timestamp::from_micros(0x80_5c5a), number: 1, records: vec![] });
}

#[test]
fn decodes_a_request() {
    let text = "0c00 0300  0300 c4913a5de1dd0700 00 80a90300 e02e0000 640ad2557c3bf091 01 02000000";
    let request = Request {
        id: 0x0007_dde1_5d3a_91c4,
        class: 0,
        remaining: Duration::from_micros(240_000),
        expected_work: Some(Duration::from_micros(12_000)),
        affinity_key: Some(0x91f0_3b7c_55d2_0a64),
        tenant: Some(2),
    };
    let expected = [Record::Node(3), Record::Event(Event::RequestArrived(request))];
    assert_eq!(decode_records(&mut Decoder::default(), text), expected);
}

#[test]
fn decodes_absent_values_of_a_request() {
    let text = "0300 0100000000000000 02 01000000 e02e0000 0000000000000000 02 00000000";
    let got = decode_records(&mut Decoder::default(), text);
    let [Record::Event(Event::RequestArrived(request))] = got[..] else { panic!("{got:?}") };
    assert_eq!((request.expected_work, request.affinity_key, request.class), (None, None, 2));
}

#[test]
fn decodes_every_other_event() {
    let ended = "0500 0100000000000000 0200 01 68 44480000 0a124a07 8b13 02 0000803f 00000040";
    let ended_event = AttemptResult {
        request: 1,
        attempt: 2,
        outcome: Outcome::Reset,
        elapsed: Duration::from_micros(18_500),
        request_finished: true,
    };
    let cases = [
        ("0400 0100000000000000 0a124a07 8b13 0200 44480000", vec![Event::ResponseStarted(1, 2)]),
        (ended, vec![Event::AttemptEnded(ended_event)]),
        ("0600 192b6f0eec3e0600", vec![Event::ClientDisconnected(0x0006_3eec_0e6f_2b19)]),
        ("0700 4d00000000000000", vec![Event::TimerFired(TimerToken::Request(0x4d))]),
        ("0800 44480000 0a124a07 8b13 00 01 0000803f", vec![]),
        ("0900 01000000 0200 6869", vec![]),
        ("0200 03 0000000000000000 ff", vec![Event::DiscoveryFailed]),
    ];
    for (text, events) in cases {
        let expected: Vec<Record> = events.into_iter().map(Record::Event).collect();
        assert_eq!(decode_records(&mut Decoder::default(), text), expected, "{text}");
    }
    assert_eq!(decode_records(&mut Decoder::default(), "0a00"), [Record::Crash]);
}

#[test]
fn decodes_every_outcome() {
    let cases = [
        ("00", Outcome::Served),
        ("05", Outcome::Error),
        ("0b", Outcome::Rejected),
        ("68", Outcome::Reset),
        ("6e", Outcome::TimedOut),
        ("6f", Outcome::ConnectFailed),
        ("72", Outcome::NotSent),
        ("7d", Outcome::Cancelled),
    ];
    for (code, outcome) in cases {
        let text = format!("0500 0100000000000000 0000 00 {code} 44480000 0a124a07 8b13 00");
        let got = decode_records(&mut Decoder::default(), &text);
        let [Record::Event(Event::AttemptEnded(ended))] = &got[..] else { panic!("{got:?}") };
        assert_eq!((ended.outcome, ended.request_finished), (outcome, false));
    }
}

#[test]
fn a_list_number_refers_to_the_latest_list_of_that_number() {
    let mut decoder = Decoder::default();
    let ready_list = "0b00 00 01000000 02 0000000000000000 00 0a124a07 8b13 0000 0000803f 00";
    let draining_list = "0b00 00 01000000 01 20145d0000000000 01 0a124a07 8b13 0500 0000c03f 03";
    let delta_event = "0200 00 2900000000000000 00";
    let got = decode_records(
        &mut decoder,
        &format!("{ready_list} 0200 02 2900000000000000 00 {draining_list} {delta_event}"),
    );
    let ready = EndpointInfo {
        id: ENDPOINT,
        state: EndpointState::Ready,
        started_at: Timestamp::from_micros(0),
        zone: 0,
        cell: Some(0),
        weight: 1.0,
        machine_type: 0,
    };
    let draining = EndpointInfo {
        state: EndpointState::Draining,
        started_at: Timestamp::from_micros(0x5d_1420),
        zone: 1,
        cell: Some(5),
        weight: 1.5,
        machine_type: 3,
        ..ready
    };
    let expected = [
        Record::Event(Event::CachedSnapshot(vec![ready])),
        Record::Event(Event::EndpointDelta(vec![draining])),
    ];
    assert_eq!(got, expected);
    let later = decode_records(&mut decoder, "0200 01 2900000000000000 00");
    assert_eq!(later, [Record::Event(Event::EndpointSnapshot(vec![draining]))]);
}

#[test]
fn a_negative_or_non_finite_weight_counts_as_unknown() {
    for weight in ["0000c07f", "0000807f", "000080bf"] {
        let list = format!("0b00 00 01000000 02 0000000000000000 00 0a124a07 8b13 0000 {weight} 00");
        let got = decode_records(&mut Decoder::default(), &format!("{list} 0200 02 2900000000000000 00"));
        let [Record::Event(Event::CachedSnapshot(entries))] = &got[..] else { panic!("{got:?}") };
        assert_eq!(entries[0].weight, 0.0, "{weight}");
    }
}

/// Returns the error in records that follow a valid header.
fn decode_error(text: &str) -> WireError {
    let frame = [hex("0700000000000000 09000000"), hex(text)].concat();
    Decoder::default().decode_batch(&frame).unwrap_err()
}

#[test]
fn errors_name_the_field_and_its_value() {
    let truncated = WireError::TruncatedField { field: "Vanished.ref", needed: 8, remaining: 3 };
    let cases = [
        ("0600 010203", truncated),
        ("6300", WireError::UnknownCode { field: "record code", code: 99 }),
        ("0200 07 0000000000000000 00", WireError::UnknownCode { field: "Discovery.how", code: 7 }),
        ("0200 00 0000000000000000 10", WireError::ListNumberOutOfRange { number: 16, bound: 16 }),
        ("0b00 10 00000000", WireError::ListNumberOutOfRange { number: 16, bound: 16 }),
    ];
    for (text, expected) in cases {
        assert_eq!(decode_error(text), expected, "{text}");
    }
    let outcome = decode_error("0500 0100000000000000 0000 00 63 44480000 0a124a07 8b13 00");
    assert_eq!(outcome.to_string(), "malformed input: unknown Completed.status 99");
    let state = decode_error("0b00 00 01000000 03 0000000000000000 00 0a124a07 8b13 0000 0000803f 00");
    assert_eq!(state.to_string(), "malformed input: unknown stage_state 3");
}
