//! The wire, byte by byte: the protocol page's examples, every record at its offsets, and broken input.
use proptest::prelude::*;
use stairfront_policy::interface::*;
use stairfront_simulator_adapter::host::Host;
use stairfront_simulator_adapter::wire::{self, Batch, FrameError, Reply, Scope, WireEvent};

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
    let size = wire::BATCH_HEADER + records.len() * wire::EVENT_SIZE + tail.len();
    let mut out = hex("00000000206ec040");
    out.extend((size as u32).to_le_bytes());
    out.extend((records.len() as u32).to_le_bytes());
    records.iter().for_each(|r| out.extend(r));
    out.extend(tail);
    out
}

fn event(text: &str) -> Vec<u8> {
    padded(text, wire::EVENT_SIZE)
}

fn cache(text: &str) -> CacheId {
    let mut raw = hex(text);
    raw.resize(8, 0);
    CacheId(u64::from_le_bytes(raw.try_into().unwrap()))
}

const CLOCK: Micros = 8_412_250;

#[test]
fn the_pages_empty_batch_and_its_reply() {
    let bytes = hex("00000000206ec040 10000000 00000000");
    let batch = Batch::parse(&bytes).unwrap();
    assert_eq!((batch.now, batch.events().count()), (CLOCK, 0));
    let mut reply = Reply::default();
    Host::default().handle(&bytes, &mut reply).unwrap();
    assert_eq!(reply.finish(), hex("00000000 08000000"));
}

#[test]
fn the_pages_batch_of_three_events() {
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
        write: false,
        retry: false,
    };
    assert_eq!(
        events[0],
        WireEvent::WorkItem {
            instance: 3,
            request
        }
    );
    assert_eq!(
        events[1],
        WireEvent::Fired {
            instance: 3,
            nonce: 77
        }
    );
    assert_eq!(
        events[2],
        WireEvent::Withdrawn {
            instance: 5,
            id: RequestId(0x0e6f2b19)
        }
    );
}

#[test]
fn the_pages_reply_of_three_actions() {
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
    reply.push(
        9,
        &Action::Log(LogRecord::OverShareShedding { active: true }),
    );
    let mut want = hex("03000000 72000000");
    want.extend(padded(
        "01 0300 c4913a5d 0a124a07 2b23 0000000000005440",
        24,
    ));
    want.extend(padded("05 0500 0000000000407f40 4d00000000000000", 24));
    want.extend(padded("09 0900 00000000 22000000", 24));
    want.extend(b"shedding over-share traffic starts");
    assert_eq!(reply.finish(), want);
}

#[test]
fn every_action_stands_at_its_offsets() {
    let (id, host) = (RequestId(0x0e6f2b19), cache("0a9011f2 5423"));
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
    for (action, want) in cases {
        let mut reply = Reply::default();
        reply.push(3, &action);
        let bytes = reply.finish();
        assert_eq!(bytes[8..32], padded(want, 24)[..], "{action:?}");
        assert!(bytes[32..].is_empty() || bytes[32..] == *b"hi 7");
    }
    let mut reply = Reply::default();
    reply.push_panic(3, "index out of range");
    assert_eq!(
        reply.finish()[8..32],
        padded("0a 0300 00000000 12000000", 24)[..]
    );
}

#[test]
fn every_event_stands_at_its_offsets() {
    let bytes = frame(
        &[
            event(
                "03 0300 c4913a5d 0000000000803240 01 00 00 00 0a124a07 2b23 03 00000c43 52b81e3f 0000a03f",
            ),
            event("08 0300 c4913a5d 01 0a124a07 2b23 0000000000802240"),
            event("09 0300 0a9011f2 5423 fc 666666666666f63f 03 00000c43 52b81e3f 0000a03f"),
            event("0a 0300"),
            event("0b 0300 02000000 00000000 04000000"),
            event("06 0300 0400 29000000 03"),
        ],
        b"hi 7",
    );
    let batch = Batch::parse(&bytes).unwrap();
    let events: Vec<_> = batch.events().map(Result::unwrap).collect();
    let load = LoadReport {
        len: 3,
        values: [140.0, 0.62, 1.25, 0.0],
    };
    let (id, host) = (RequestId(0x5d3a91c4), cache("0a124a072b23"));
    let settled = AttemptResult {
        id,
        attempt: 0,
        cache: host,
        outcome: Outcome::Served,
        request_finished: true,
        elapsed: 18_500,
        cache_status: CacheStatus::None,
        load,
    };
    let probed = cache("0a9011f25423");
    let outcome = Outcome::ConnectFailed;
    assert_eq!(
        events[0],
        WireEvent::Settled {
            instance: 3,
            settled
        }
    );
    assert_eq!(
        events[1],
        WireEvent::HeadReceived {
            instance: 3,
            id,
            attempt: 1,
            cache: host,
            elapsed: 9_250
        }
    );
    assert_eq!(
        events[2],
        WireEvent::HealthResult {
            instance: 3,
            cache: probed,
            outcome,
            elapsed: 1_400,
            load
        }
    );
    assert_eq!(events[3], WireEvent::Killed { instance: 3 });
    assert_eq!(
        events[4],
        WireEvent::NeighbourSays {
            instance: 3,
            author: 2,
            content: b"hi 7"
        }
    );
    let failed = WireEvent::RosterChange {
        instance: 3,
        sheet: 4,
        version: 41,
        scope: Scope::Failed,
    };
    assert_eq!(events[5], failed);
}

#[test]
fn list_lines_stand_at_their_offsets() {
    let lines = hex(
        "0000803f 0a124a07 2b23 0000000000000000 00 01 0000 0000 0000c03f 0a9011f2 5423 0000000000d4b740 01 02 0300 0200",
    );
    let mut out = vec![];
    wire::members(&lines, 0, &mut out).unwrap();
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
    assert_eq!(out, [first, second]);
}

const SETTINGS: &str = r#"{"replicas_of_me": 2, "tick": 5.0, "unknown": [1], "registry_mode": "push",
 "profiles": [{"aim": 300.0, "deadline": 1000.0, "semantics": "free", "new_key": 1}],
 "caps": {"most_tries": 3}, "rules": {"answer_slack": 20.0}}"#;

fn boot(instance: u16) -> Vec<u8> {
    let mut record = vec![7];
    record.extend(instance.to_le_bytes());
    record.extend(9u64.to_le_bytes());
    record.extend(0u32.to_le_bytes());
    record.extend((SETTINGS.len() as u32).to_le_bytes());
    record.resize(wire::EVENT_SIZE, 0);
    record
}

fn sheet(offset: usize) -> Vec<u8> {
    let mut record = vec![1, 0, 0];
    record.extend((offset as u32).to_le_bytes());
    record.extend(1u32.to_le_bytes());
    record.resize(wire::EVENT_SIZE, 0);
    record
}

fn work(id: u8) -> Vec<u8> {
    event(&format!(
        "02 0300 {id:02x}000000 00 00000000 640ad2557c3bf091 0000000020e6c040 0000000000002840 00000000 01"
    ))
}

/// The hosts that a batch's reply sends to.
fn relayed(reply: &mut Reply) -> Vec<CacheId> {
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
    let lines = [
        hex("0000803f 01010101 2b23 0000000000000000 00 01 0000 0000"),
        hex("0000803f 02020202 2b23 0000000000000000 00 01 0000 0000"),
    ];
    let mut tail = SETTINGS.as_bytes().to_vec();
    lines.iter().for_each(|l| tail.extend(l));
    let at = SETTINGS.len();
    let news = event("06 0300 0000 01000000 01");
    let records = [
        boot(3),
        sheet(at),
        news.clone(),
        work(1),
        sheet(at + 24),
        news,
        work(2),
        event("0a 0300"),
        boot(3),
    ];
    let mut reply = Reply::default();
    let mut host = Host::default();
    host.handle(&frame(&records, &tail), &mut reply).unwrap();
    assert_eq!(
        relayed(&mut reply),
        [cache("01010101 2b23"), cache("02020202 2b23")]
    );
    // Killed and started anew in the same batch: it knows no host.
    reply.clear();
    host.handle(&frame(&[work(3)], &[]), &mut reply).unwrap();
    assert_eq!(relayed(&mut reply), []);
    assert!(
        reply.finish()[8..].chunks(24).any(|record| record[0] == 2),
        "refused"
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
fn broken_input_is_named_by_record_and_field() {
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
fn a_frame_cut_short_is_an_error_and_an_end_between_frames_is_not() {
    let whole = frame(&[event("0a 0300")], &[]);
    let mut buffer = vec![];
    assert!(!wire::read_frame(&mut &[][..], &mut buffer).unwrap());
    for cut in 1..whole.len() {
        let got = wire::read_frame(&mut &whole[..cut], &mut buffer);
        assert!(
            matches!(got, Err(FrameError::Truncated { .. })),
            "cut at {cut}"
        );
    }
    let mut two = whole.clone();
    two.extend(&whole);
    let mut input = &two[..];
    assert!(wire::read_frame(&mut input, &mut buffer).unwrap() && buffer == whole);
    assert!(wire::read_frame(&mut input, &mut buffer).unwrap() && buffer == whole);
    assert!(!wire::read_frame(&mut input, &mut buffer).unwrap());
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
        let _ = Host::default().handle(&frame(&[boot(3), record], &text), &mut Reply::default());
    }
}
