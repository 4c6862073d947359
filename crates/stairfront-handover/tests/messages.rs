//! Packets between two processes that may not be of one version.
use stairfront_admin_api::{OperatorOrder, OrderOutcome, OrderSource};
use stairfront_handover::{
    split_state, Message, PacketError, StateAssembler, MAX_PACKET_BYTES, MAX_PART_BYTES,
    MAX_STATE_BYTES,
};

#[test]
fn what_is_sent_is_what_is_read() {
    let messages = [
        Message::Hello {
            name: "n\n3".into(),
            revision: 0,
        },
        Message::Welcome {
            revision: 7,
            clients: 7,
            servers: 80,
        },
        Message::StatePart {
            part: vec![0, 255, b'{'],
            last: false,
        },
        Message::StatePart {
            part: vec![],
            last: true,
        },
        Message::Connection {
            used: true,
            unread: b"*1\r\n$4\r\nPI".to_vec(),
        },
        Message::Connection {
            used: false,
            unread: vec![7; MAX_PART_BYTES],
        },
        Message::Order {
            number: 9,
            order: OperatorOrder::Cordon("s-1".into()),
            source: OrderSource::Peer,
        },
        Message::Order {
            number: u32::MAX,
            order: OperatorOrder::Uncordon("s \"2\"".into()),
            source: OrderSource::Operator,
        },
        Message::OrderResult {
            number: 9,
            outcome: OrderOutcome::UnknownHost,
        },
    ];
    for message in messages {
        let packet = message.encode();
        assert!(packet.len() <= MAX_PACKET_BYTES);
        assert_eq!(Message::decode(&packet).unwrap(), message);
    }
}

#[test]
fn another_version_and_malformed_packets_are_errors() {
    let later = br#"H{"version":2,"name":"n3","more":[1]}"#;
    assert!(matches!(
        Message::decode(later),
        Err(PacketError::Version(2))
    ));
    for rubbish in [
        &b""[..],
        b"\xff\xfe",
        b"Hrubbish",
        b"W{}",
        b"O[1]",
        b"O[1,{\"Drop\":\"s-1\"}]",
        b"D[-1,\"Yes\"]",
    ] {
        assert!(Message::decode(rubbish).is_err(), "{rubbish:?}");
    }
}

#[test]
fn a_state_is_complete_or_rejected_and_never_over_its_bound() {
    for length in [0, 1, MAX_PART_BYTES, MAX_PART_BYTES + 1, 3 * MAX_PART_BYTES] {
        let state: Vec<u8> = (0..length).map(|i| (i % 251) as u8).collect();
        let (mut assembler, mut whole) = (StateAssembler::default(), None);
        for message in split_state(&state) {
            assert_eq!(whole, None, "nothing comes behind the last part");
            let Message::StatePart { part, last } = message else {
                panic!("{message:?}")
            };
            whole = assembler.add(&part, last).unwrap();
        }
        assert_eq!(whole, Some(state));
    }
    let mut assembler = StateAssembler::default();
    let full = vec![0; MAX_PART_BYTES];
    let refused = (0..=MAX_STATE_BYTES / MAX_PART_BYTES)
        .map(|_| assembler.add(&full, false))
        .filter(Result::is_err);
    assert_eq!(refused.count(), 1);
}
