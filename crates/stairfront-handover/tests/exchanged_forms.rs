//! The packets that two processes of one balancer exchange during an upgrade, as they were pinned. The two may be of
//! different builds: names in the program may change, these bytes may not without a new version.
use stairfront_admin_api::{OperatorOrder, OrderOutcome, OrderSource};
use stairfront_handover::{
    split_state, Message, StateAssembler, MAX_PACKET_BYTES, MAX_PART_BYTES, MAX_STATE_BYTES,
};
use stairfront_test_support::golden::GoldenFiles;

fn golden() -> GoldenFiles {
    GoldenFiles::of_crate(env!("CARGO_MANIFEST_DIR"))
}

fn order(number: u32, order: OperatorOrder, source: OrderSource) -> Message {
    Message::Order {
        number,
        order,
        source,
    }
}

fn result(number: u32, outcome: OrderOutcome) -> Message {
    Message::OrderResult { number, outcome }
}

/// Every variant of `Message`, and in them every variant of an order, its source and its outcome.
fn messages() -> Vec<(&'static str, Message)> {
    [state_messages(), order_messages(), permit_messages()].concat()
}

fn state_messages() -> Vec<(&'static str, Message)> {
    vec![
        (
            "hello",
            Message::Hello {
                name: "b-7 \"east\"".to_string(),
                revision: 0,
            },
        ),
        (
            "welcome",
            Message::Welcome {
                revision: 0,
                clients: 301,
                servers: 42,
            },
        ),
        (
            "knowledge",
            Message::StatePart {
                part: b"{\"at\":\xff\x00".to_vec(),
                last: false,
            },
        ),
        (
            "knowledge-last",
            Message::StatePart {
                part: b"17}".to_vec(),
                last: true,
            },
        ),
        (
            "knowledge-last-empty",
            Message::StatePart {
                part: Vec::new(),
                last: true,
            },
        ),
        (
            "connection-new",
            Message::Connection {
                used: false,
                unread: b"*1\r\n$4\r\nPI".to_vec(),
            },
        ),
        (
            "connection-used",
            Message::Connection {
                used: true,
                unread: b"\x01\xfe\r\n".to_vec(),
            },
        ),
    ]
}

/// What was added with revision 1. The forms of revision 0 stay, since a running process may be of such a build.
fn permit_messages() -> Vec<(&'static str, Message)> {
    vec![
        (
            "hello-revision-1",
            Message::Hello {
                name: "b-7".to_string(),
                revision: 1,
            },
        ),
        (
            "welcome-revision-1",
            Message::Welcome {
                revision: 1,
                clients: 301,
                servers: 42,
            },
        ),
        ("accepts-clients", Message::AcceptsClients),
        ("permits", Message::Permits { count: 17 }),
        ("permit-wanted", Message::PermitWanted),
        (
            "server-connections",
            Message::ServerConnections { count: 23 },
        ),
    ]
}

/// Every order and every outcome of one.
fn order_messages() -> Vec<(&'static str, Message)> {
    let host = |name: &str| name.to_string();
    vec![
        (
            "order-cordon",
            order(1, OperatorOrder::Cordon(host("s-1")), OrderSource::Operator),
        ),
        (
            "order-uncordon",
            order(2, OperatorOrder::Uncordon(host("s-2")), OrderSource::Peer),
        ),
        (
            "order-hold",
            order(
                3,
                OperatorOrder::GroupCordon(host("s-3")),
                OrderSource::Operator,
            ),
        ),
        (
            "order-release",
            order(
                4,
                OperatorOrder::GroupUncordon(host("s-4")),
                OrderSource::Peer,
            ),
        ),
        (
            "order-known",
            order(
                5,
                OperatorOrder::IsKnown(host("s-5")),
                OrderSource::Operator,
            ),
        ),
        (
            "order-use",
            order(
                u32::MAX,
                OperatorOrder::GetUsage(host("s-6")),
                OrderSource::Peer,
            ),
        ),
        ("done-yes", result(7, OrderOutcome::Done)),
        ("done-unknown", result(8, OrderOutcome::UnknownHost)),
        ("done-not-recorded", result(9, OrderOutcome::NotRecorded)),
        ("done-held", result(10, OrderOutcome::HeldByGroup)),
        (
            "done-use",
            result(
                11,
                OrderOutcome::Usage {
                    in_flight: 12,
                    sent: u64::MAX,
                },
            ),
        ),
    ]
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    (0..hex.len())
        .step_by(2)
        .map(|i| u8::from_str_radix(&hex[i..i + 2], 16).unwrap())
        .collect()
}

/// Compiles no more once there is a variant that is not pinned above.
fn is_pinned(message: &Message) {
    match message {
        Message::Hello {
            name: _,
            revision: _,
        }
        | Message::Welcome {
            revision: _,
            clients: _,
            servers: _,
        }
        | Message::AcceptsClients
        | Message::Permits { count: _ }
        | Message::PermitWanted
        | Message::ServerConnections { count: _ }
        | Message::StatePart { part: _, last: _ }
        | Message::Connection { used: _, unread: _ } => {}
        Message::Order {
            number: _,
            order,
            source,
        } => {
            match order {
                OperatorOrder::Cordon(_)
                | OperatorOrder::Uncordon(_)
                | OperatorOrder::GroupCordon(_) => {}
                OperatorOrder::GroupUncordon(_)
                | OperatorOrder::IsKnown(_)
                | OperatorOrder::GetUsage(_) => {}
            }
            match source {
                OrderSource::Operator | OrderSource::Peer => {}
            }
        }
        Message::OrderResult { number: _, outcome } => match outcome {
            OrderOutcome::Done
            | OrderOutcome::UnknownHost
            | OrderOutcome::NotRecorded
            | OrderOutcome::HeldByGroup
            | OrderOutcome::Usage {
                in_flight: _,
                sent: _,
            } => {}
        },
    }
}

/// One message a line: a name for people, and the packet.
#[test]
fn packets_are_written_and_read_as_pinned() {
    let messages = messages();
    messages.iter().for_each(|(_, message)| is_pinned(message));
    let now: String = messages
        .iter()
        .map(|(name, message)| format!("{name} {}\n", hex(&message.encode())))
        .collect();
    let pinned = String::from_utf8(golden().assert_bytes("messages.hex", now.as_bytes())).unwrap();
    let read: Vec<(&str, Message)> = pinned
        .lines()
        .map(|line| {
            let (name, packet) = line.split_once(' ').unwrap();
            (
                name,
                Message::decode(&bytes(packet)).unwrap_or_else(|error| panic!("{name}: {error}")),
            )
        })
        .collect();
    assert_eq!(read, messages);
}

/// How a state is cut into packets: the length of each, its first bytes and its last ones; and the bounds.
#[test]
fn a_state_is_split_into_packets_as_pinned() {
    let bounds =
        format!("part {MAX_PART_BYTES} packet {MAX_PACKET_BYTES} knowledge {MAX_STATE_BYTES}\n");
    let lengths = [
        0,
        5,
        MAX_PART_BYTES,
        MAX_PART_BYTES + 3,
        2 * MAX_PART_BYTES + 1,
        MAX_STATE_BYTES + 1,
    ];
    let state = |length: usize| -> Vec<u8> { (0..length).map(|i| (i % 251) as u8).collect() };
    let line = |length: &usize| {
        let whole = state(*length);
        let packets = split_state(&whole).map(|message| {
            let packet = message.encode();
            let (first, last) = (
                &packet[..packet.len().min(4)],
                &packet[packet.len().saturating_sub(4)..],
            );
            format!(" {}:{}..{}", packet.len(), hex(first), hex(last))
        });
        format!("{length}{}\n", packets.collect::<String>())
    };
    let now: String = std::iter::once(bounds)
        .chain(lengths.iter().map(line))
        .collect();
    golden().assert_bytes("parts.hex", now.as_bytes());
    // Packets cut so are put together again.
    for length in &lengths[..lengths.len() - 1] {
        let (mut assembler, mut whole) = (StateAssembler::default(), None);
        for packet in split_state(&state(*length)).map(|message| message.encode()) {
            let Ok(Message::StatePart { part, last }) = Message::decode(&packet) else {
                panic!("{length}")
            };
            whole = assembler.add(&part, last).unwrap();
        }
        assert_eq!(whole, Some(state(*length)));
    }
}
