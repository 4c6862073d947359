//! The adapter protocol, byte by byte: the protocol page's examples, every record at its offsets, and malformed input.
use proptest::prelude::*;
use stairfront_policy::interface::{
    Action, AttemptResult, CacheId, CacheStatus, Cell, ClassId, Endpoint, EndpointState, Key, Kind,
    LoadReport, LogRecord, Micros, Outcome, Request, RequestId, TenantId, Zone, MS,
};
use stairfront_simulator_adapter::error::FrameError;
use stairfront_simulator_adapter::event::{InstanceEvent, ListScope, WireEvent};
use stairfront_simulator_adapter::frame::{read_frame, Batch, BATCH_HEADER_SIZE, EVENT_SIZE};
use stairfront_simulator_adapter::host::Host;
use stairfront_simulator_adapter::reply::Reply;

fn hex(text: &str) -> Vec<u8> {
    let digits: Vec<u8> = text.bytes().filter(u8::is_ascii_hexdigit).collect();
    let nibble = |d: u8| (d as char).to_digit(16).unwrap() as u8;
    digits
        .chunks(2)
        .map(|pair| nibble(pair[0]) << 4 | nibble(pair[1]))
        .collect()
}

fn padded(text: &str, size: usize) -> Vec<u8> {
    let mut bytes = hex(text);
    bytes.resize(size, 0);
    bytes
}

fn frame(records: &[Vec<u8>], tail: &[u8]) -> Vec<u8> {
    let size = BATCH_HEADER_SIZE + records.len() * EVENT_SIZE + tail.len();
    let mut out = hex("00000000206ec040");
    out.extend((size as u32).to_le_bytes());
    out.extend((records.len() as u32).to_le_bytes());
    records.iter().for_each(|r| out.extend(r));
    out.extend(tail);
    out
}

fn event(text: &str) -> Vec<u8> {
    padded(text, EVENT_SIZE)
}

fn cache(text: &str) -> CacheId {
    let mut raw = hex(text);
    raw.resize(8, 0);
    CacheId(u64::from_le_bytes(raw.try_into().unwrap()))
}

fn instance_event(instance: u16, event: InstanceEvent<'_>) -> WireEvent<'_> {
    WireEvent::Instance { instance, event }
}

const CLOCK: Micros = 8_412_250;

#[test]
fn the_empty_batch_of_the_protocol_page_and_its_reply() {
    let bytes = hex("00000000206ec040 10000000 00000000");
    let batch = Batch::parse(&bytes).unwrap();
    assert_eq!((batch.now, batch.events().count()), (CLOCK, 0));
    let mut reply = Reply::default();
    Host::default().handle(&bytes, &mut reply).unwrap();
    assert_eq!(reply.finish(), hex("00000000 08000000"));
}

#[test]
fn the_batch_of_three_events_of_the_protocol_page() {
    let bytes = frame(
        &[
            event(
                "02 0300 c4913a5d 00 00000000 640ad2557c3bf091 0000000020e6c040 0000000000002840 00000000 01",
            ),
            event("04 0300 4d00000000000000"),
            event("05 0500 192b6f0e"),
        ],
        &[],
    );
    assert_eq!(&bytes[8..16], &hex("a0000000 03000000")[..]);
    let batch = Batch::parse(&bytes).unwrap();
    let events: Vec<_> = batch.events().map(Result::unwrap).collect();
    let request = Request {
        id: RequestId(0x5d3a91c4),
        class: ClassId(0),
        tenant: TenantId(0),
        key: Some(Key(0x91f0_3b7c_55d2_0a64)),
        expires_at: 8_652_250,
        waited: 0,
        write: false,
        retry: false,
    };
    assert_eq!(
        events[0],
        instance_event(3, InstanceEvent::Request(request))
    );
    assert_eq!(
        events[1],
        instance_event(3, InstanceEvent::Timer { token: 77 })
    );
    assert_eq!(
        events[2],
        instance_event(
            5,
            InstanceEvent::ClientDisconnected {
                id: RequestId(0x0e6f2b19)
            }
        )
    );
}

#[test]
fn the_reply_of_three_actions_of_the_protocol_page() {
    let mut reply = Reply::default();
    let id = RequestId(0x5d3a91c4);
    reply.push(
        3,
        &Action::Send {
            id,
            cache: cache("0a124a072b23"),
            timeout: 80 * MS,
            send_within: None,
        },
    );
    reply.push(
        5,
        &Action::Timer {
            delay: 500 * MS,
            token: 77,
        },
    );
    // The page's example has a log text that no log record of today has.
    reply.push(
        9,
        &Action::Log(LogRecord::OverShareShedding { active: true }),
    );
    let mut expected = hex("03000000 72000000");
    expected.extend(padded(
        "01 0300 c4913a5d 0a124a07 2b23 0000000000005440",
        24,
    ));
    expected.extend(padded("05 0500 0000000000407f40 4d00000000000000", 24));
    expected.extend(padded("09 0900 00000000 22000000", 24));
    expected.extend(b"shedding over-share traffic starts");
    assert_eq!(reply.finish(), expected);
}

#[test]
fn every_action_is_encoded_at_its_offsets() {
    let id = RequestId(0x0e6f2b19);
    let host = cache("0a9011f2 5423");
    let cases = [
        (
            Action::Reject {
                id,
                retry_after: 250 * MS,
            },
            "02 0300 192b6f0e 0000000000406f40",
        ),
        (Action::Fail { id }, "03 0300 192b6f0e"),
        (
            Action::Cancel {
                id: RequestId(0x5d3a91c4),
                attempt: 2,
            },
            "04 0300 c4913a5d 02",
        ),
        (Action::HealthCheck { cache: host }, "06 0300 0a9011f2 5423"),
        (Action::Disconnect { cache: host }, "07 0300 0a9011f2 5423"),
        (
            Action::SendToPeer {
                peer: None,
                body: b"hi 7".to_vec(),
            },
            "08 0300 ffff 00000000 04000000",
        ),
        (
            Action::SendToPeer {
                peer: Some(2),
                body: b"hi 7".to_vec(),
            },
            "08 0300 0200 00000000 04000000",
        ),
        (Action::WatchList(true), "0b 0300 01"),
        (Action::WatchList(false), "0b 0300 00"),
        (Action::PollList, "0c 0300"),
    ];
    for (action, expected) in cases {
        let mut reply = Reply::default();
        reply.push(3, &action);
        let bytes = reply.finish();
        assert_eq!(bytes[8..32], padded(expected, 24)[..], "{action:?}");
        assert!(bytes[32..].is_empty() || bytes[32..] == *b"hi 7");
    }
    let mut reply = Reply::default();
    reply.push_panic(3, "index out of range");
    assert_eq!(
        reply.finish()[8..32],
        padded("0a 0300 00000000 12000000", 24)[..]
    );
}

/// The load report in the records of events below.
const LOAD: LoadReport = LoadReport {
    len: 3,
    values: [140.0, 0.62, 1.25, 0.0],
};

#[test]
fn every_event_is_decoded_at_its_offsets() {
    let id = RequestId(0x5d3a91c4);
    let host = cache("0a124a072b23");
    let cases = [
        (
            "03 0300 c4913a5d 0000000000803240 01 00 00 00 0a124a07 2b23 03 00000c43 52b81e3f 0000a03f",
            InstanceEvent::AttemptFinished(AttemptResult {
                id,
                attempt: 0,
                cache: host,
                outcome: Outcome::Served,
                request_finished: true,
                elapsed: 18_500,
                cache_status: CacheStatus::None,
                load: LOAD,
            }),
        ),
        (
            "08 0300 c4913a5d 01 0a124a07 2b23 0000000000802240",
            InstanceEvent::ResponseStarted {
                id,
                attempt: 1,
                cache: host,
                elapsed: 9_250,
            },
        ),
        (
            "09 0300 0a9011f2 5423 fc 666666666666f63f 03 00000c43 52b81e3f 0000a03f",
            InstanceEvent::HealthChecked {
                cache: cache("0a9011f25423"),
                outcome: Outcome::ConnectFailed,
                elapsed: 1_400,
                load: LOAD,
            },
        ),
        ("0a 0300", InstanceEvent::Kill),
        (
            "0b 0300 02000000 00000000 04000000",
            InstanceEvent::PeerMessage {
                from: 2,
                body: b"hi 7",
            },
        ),
        (
            "06 0300 0400 29000000 03",
            InstanceEvent::EndpointList {
                sheet: 4,
                version: 41,
                scope: ListScope::Failed,
            },
        ),
    ];
    let records = cases.each_ref().map(|(record, _)| event(record));
    let bytes = frame(&records, b"hi 7");
    let decoded: Vec<_> = Batch::parse(&bytes)
        .unwrap()
        .events()
        .map(Result::unwrap)
        .collect();
    let expected = cases.map(|(_, event)| instance_event(3, event));
    assert_eq!(decoded, expected);
}

#[test]
fn list_entries_are_decoded_at_their_offsets() {
    let entries = hex(
        "0000803f 0a124a07 2b23 0000000000000000 00 01 0000 0000 0000c03f 0a9011f2 5423 0000000000d4b740 01 02 0300 0200",
    );
    let bytes = frame(&[event("01 0900 00000000 02000000")], &entries);
    let batch = Batch::parse(&bytes).unwrap();
    let WireEvent::Sheet(sheet) = batch.events().next().unwrap().unwrap() else {
        panic!("not a sheet");
    };
    assert_eq!(sheet.number, 9);
    let mut endpoints = vec![];
    sheet.decode_into(&mut endpoints).unwrap();
    let first = Endpoint {
        id: cache("0a124a072b23"),
        state: EndpointState::Ready,
        incarnation: 0,
        zone: Zone(0),
        cell: Cell(0),
        kind: Kind(0),
        size: 1.0,
    };
    let second = Endpoint {
        id: cache("0a9011f25423"),
        state: EndpointState::Draining,
        incarnation: 6_100_000,
        zone: Zone(1),
        cell: Cell(3),
        kind: Kind(2),
        size: 1.5,
    };
    assert_eq!(endpoints, [first, second]);
}

const SETTINGS: &str = r#"{"replicas_of_me": 2, "tick": 5.0, "unknown": [1], "registry_mode": "push",
 "profiles": [{"aim": 300.0, "deadline": 1000.0, "semantics": "free", "new_key": 1}],
 "caps": {"most_tries": 3}, "rules": {"answer_slack": 20.0}}"#;

fn start(instance: u16) -> Vec<u8> {
    let mut record = vec![7];
    record.extend(instance.to_le_bytes());
    record.extend(9u64.to_le_bytes());
    record.extend(0u32.to_le_bytes());
    record.extend((SETTINGS.len() as u32).to_le_bytes());
    record.resize(EVENT_SIZE, 0);
    record
}

fn sheet(offset: usize) -> Vec<u8> {
    let mut record = vec![1, 0, 0];
    record.extend((offset as u32).to_le_bytes());
    record.extend(1u32.to_le_bytes());
    record.resize(EVENT_SIZE, 0);
    record
}

fn request_event(id: u8) -> Vec<u8> {
    event(&format!(
        "02 0300 {id:02x}000000 00 00000000 640ad2557c3bf091 0000000020e6c040 0000000000002840 00000000 01"
    ))
}

/// The servers that attempts of a reply are sent to.
fn sent_to(reply: &mut Reply) -> Vec<CacheId> {
    let bytes = reply.finish();
    let count = u32::from_le_bytes(bytes[..4].try_into().unwrap()) as usize;
    let records = bytes[8..8 + 24 * count].chunks(24);
    let to = |r: &[u8]| {
        (r[0] == 1).then(|| {
            cache(
                &r[7..13]
                    .iter()
                    .map(|b| format!("{b:02x}"))
                    .collect::<String>(),
            )
        })
    };
    records.filter_map(to).collect()
}

#[test]
fn sheets_are_resolved_in_event_order_and_reused_within_a_batch() {
    let entries = [
        hex("0000803f 01010101 2b23 0000000000000000 00 01 0000 0000"),
        hex("0000803f 02020202 2b23 0000000000000000 00 01 0000 0000"),
    ];
    let mut tail = SETTINGS.as_bytes().to_vec();
    entries.iter().for_each(|entry| tail.extend(entry));
    let at = SETTINGS.len();
    let list_update = event("06 0300 0000 01000000 01");
    let records = [
        start(3),
        sheet(at),
        list_update.clone(),
        request_event(1),
        sheet(at + 24),
        list_update,
        request_event(2),
        event("0a 0300"),
        start(3),
    ];
    let mut reply = Reply::default();
    let mut host = Host::default();
    host.handle(&frame(&records, &tail), &mut reply).unwrap();
    assert_eq!(
        sent_to(&mut reply),
        [cache("01010101 2b23"), cache("02020202 2b23")]
    );
    // Killed and started again in the same batch: it knows no server.
    reply.clear();
    host.handle(&frame(&[request_event(3)], &[]), &mut reply)
        .unwrap();
    assert_eq!(sent_to(&mut reply), []);
    assert!(
        reply.finish()[8..].chunks(24).any(|record| record[0] == 2),
        "rejected"
    );
}

fn error(records: &[Vec<u8>], tail: &[u8]) -> String {
    let mut reply = Reply::default();
    Host::default()
        .handle(&frame(records, tail), &mut reply)
        .unwrap_err()
        .to_string()
}

#[test]
fn malformed_input_is_reported_by_record_and_field() {
    assert_eq!(
        error(&[event("63 0300")], &[]),
        "record 0, code: unknown event 99"
    );
    assert!(error(&[event("04 0300")], &[]).contains("instance 3 was never started"));
    assert!(
        error(&[event("0a 0300"), event("06 0300 0900 01000000 01")], &[])
            .starts_with("record 1, ref")
    );
    let far = error(
        &[event("07 0300 0900000000000000 05000000 ff000000")],
        b"short",
    );
    assert!(
        far.starts_with("record 0, params: offset 5, length 255"),
        "{far}"
    );
    let utf8 = error(
        &[event("07 0300 0900000000000000 00000000 02000000")],
        b"\xff\xfe",
    );
    assert!(utf8.starts_with("record 0, params"), "{utf8}");
    let json = error(
        &[event("07 0300 0900000000000000 00000000 02000000")],
        b"{}",
    );
    assert!(json.contains("profiles"), "{json}");
    assert!(error(
        &[event("03 0300 c4913a5d 0000000000803240 00 00 00 63")],
        &[]
    )
    .contains("unknown outcome 99"));
}

#[test]
fn a_truncated_frame_is_an_error_and_an_end_between_frames_is_not() {
    let complete = frame(&[event("0a 0300")], &[]);
    let mut buffer = vec![];
    assert!(!read_frame(&mut &[][..], &mut buffer).unwrap());
    for cut in 1..complete.len() {
        let result = read_frame(&mut &complete[..cut], &mut buffer);
        assert!(
            matches!(result, Err(FrameError::Truncated { .. })),
            "cut at {cut}"
        );
    }
    let mut two = complete.clone();
    two.extend(&complete);
    let mut input = &two[..];
    assert!(read_frame(&mut input, &mut buffer).unwrap() && buffer == complete);
    assert!(read_frame(&mut input, &mut buffer).unwrap() && buffer == complete);
    assert!(!read_frame(&mut input, &mut buffer).unwrap());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_bytes_make_the_decoder_panic(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        if let Ok(batch) = Batch::parse(&bytes) {
            batch.events().for_each(drop);
        }
    }

    #[test]
    fn no_record_makes_the_host_panic(mut record in proptest::collection::vec(any::<u8>(), 48),
                                      code in 0u8..13, tail in proptest::collection::vec(any::<u8>(), 0..64)) {
        record[0] = code;
        record[1..3].copy_from_slice(&3u16.to_le_bytes());
        let mut text = SETTINGS.as_bytes().to_vec();
        text.extend(tail);
        let _ = Host::default().handle(&frame(&[start(3), record], &text), &mut Reply::default());
    }
}
