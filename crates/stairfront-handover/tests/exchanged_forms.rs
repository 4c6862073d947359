//! The packets that two processes of one balancer exchange during an upgrade, as they were pinned. The two may be of
//! different builds: names in the program may change, these bytes may not without a new version.
mod golden;

use stairfront_admin_api::{OperatorOrder, OrderOutcome, OrderSource};
use stairfront_handover::{
    Message, StateAssembler, MAX_PACKET_BYTES, MAX_PART_BYTES, MAX_STATE_BYTES,
};

fn order(number: u32, order: OperatorOrder, word: OrderSource) -> Message {
    Message::Order {
        number,
        order,
        word,
    }
}

fn done(number: u32, done: OrderOutcome) -> Message {
    Message::Done { number, done }
}

/// Every variant of `Message`, and in them every variant of `Order`, `Word` and `Done`.
fn messages() -> Vec<(&'static str, Message)> {
    let host = |name: &str| name.to_string();
    vec![
        (
            "hello",
            Message::Hello {
                name: "b-7 \"east\"".to_string(),
            },
        ),
        (
            "welcome",
            Message::Welcome {
                clients: 301,
                servers: 42,
            },
        ),
        (
            "knowledge",
            Message::Knowledge {
                part: b"{\"at\":\xff\x00".to_vec(),
                last: false,
            },
        ),
        (
            "knowledge-last",
            Message::Knowledge {
                part: b"17}".to_vec(),
                last: true,
            },
        ),
        (
            "knowledge-last-empty",
            Message::Knowledge {
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
        (
            "order-cordon",
            order(
                1,
                OperatorOrder::Cordon(host("s-1")),
                OrderSource::Operators,
            ),
        ),
        (
            "order-uncordon",
            order(
                2,
                OperatorOrder::Uncordon(host("s-2")),
                OrderSource::Vouched,
            ),
        ),
        (
            "order-hold",
            order(3, OperatorOrder::Hold(host("s-3")), OrderSource::Operators),
        ),
        (
            "order-release",
            order(4, OperatorOrder::Release(host("s-4")), OrderSource::Vouched),
        ),
        (
            "order-known",
            order(5, OperatorOrder::Known(host("s-5")), OrderSource::Operators),
        ),
        (
            "order-use",
            order(
                u32::MAX,
                OperatorOrder::Use(host("s-6")),
                OrderSource::Vouched,
            ),
        ),
        ("done-yes", done(7, OrderOutcome::Yes)),
        ("done-unknown", done(8, OrderOutcome::Unknown)),
        ("done-not-recorded", done(9, OrderOutcome::NotRecorded)),
        ("done-held", done(10, OrderOutcome::Held)),
        (
            "done-use",
            done(
                11,
                OrderOutcome::Use {
                    open: 12,
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
        Message::Hello { name: _ }
        | Message::Welcome {
            clients: _,
            servers: _,
        }
        | Message::Knowledge { part: _, last: _ }
        | Message::Connection { used: _, unread: _ } => {}
        Message::Order {
            number: _,
            order,
            word,
        } => {
            match order {
                OperatorOrder::Cordon(_) | OperatorOrder::Uncordon(_) | OperatorOrder::Hold(_) => {}
                OperatorOrder::Release(_) | OperatorOrder::Known(_) | OperatorOrder::Use(_) => {}
            }
            match word {
                OrderSource::Operators | OrderSource::Vouched => {}
            }
        }
        Message::Done { number: _, done } => match done {
            OrderOutcome::Yes
            | OrderOutcome::Unknown
            | OrderOutcome::NotRecorded
            | OrderOutcome::Held
            | OrderOutcome::Use { open: _, sent: _ } => {}
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
    let pinned = String::from_utf8(golden::same("messages.hex", now.as_bytes())).unwrap();
    let read: Vec<(&str, Message)> = pinned
        .lines()
        .map(|line| {
            let (name, packet) = line.split_once(' ').unwrap();
            (
                name,
                Message::decode(&bytes(packet)).unwrap_or_else(|fault| panic!("{name}: {fault}")),
            )
        })
        .collect();
    assert_eq!(read, messages);
}

/// How a knowledge is cut into packets: the length of each, its first bytes and its last ones; and the bounds.
#[test]
fn a_knowledge_is_cut_into_packets_as_pinned() {
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
    let knowledge = |length: usize| -> Vec<u8> { (0..length).map(|i| (i % 251) as u8).collect() };
    let line = |length: &usize| {
        let whole = knowledge(*length);
        let packets = StateAssembler::of(&whole).map(|message| {
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
    golden::same("parts.hex", now.as_bytes());
    // Packets cut so are put together again.
    for length in &lengths[..lengths.len() - 1] {
        let (mut parts, mut whole) = (StateAssembler::default(), None);
        for packet in StateAssembler::of(&knowledge(*length)).map(|message| message.encode()) {
            let Ok(Message::Knowledge { part, last }) = Message::decode(&packet) else {
                panic!("{length}")
            };
            whole = parts.take(&part, last).unwrap();
        }
        assert_eq!(whole, Some(knowledge(*length)));
    }
}
