//! Packets between two processes that may not be of one version.
use stairfront_admin_api::{OperatorOrder, OrderOutcome, OrderSource};
use stairfront_handover::{
    Message, PacketError, StateAssembler, MAX_PACKET_BYTES, MAX_PART_BYTES, MAX_STATE_BYTES,
};

#[test]
fn what_is_sent_is_what_is_read() {
    let messages = [
        Message::Hello {
            name: "n\n3".into(),
        },
        Message::Welcome {
            clients: 7,
            servers: 80,
        },
        Message::Knowledge {
            part: vec![0, 255, b'{'],
            last: false,
        },
        Message::Knowledge {
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
            word: OrderSource::Vouched,
        },
        Message::Order {
            number: u32::MAX,
            order: OperatorOrder::Uncordon("s \"2\"".into()),
            word: OrderSource::Operators,
        },
        Message::Done {
            number: 9,
            done: OrderOutcome::Unknown,
        },
    ];
    for message in messages {
        let packet = message.encode();
        assert!(packet.len() <= MAX_PACKET_BYTES);
        assert_eq!(Message::decode(&packet).unwrap(), message);
    }
}

#[test]
fn another_version_and_rubbish_are_told_apart_from_messages() {
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
fn a_knowledge_comes_whole_or_not_and_never_over_its_bound() {
    for length in [0, 1, MAX_PART_BYTES, MAX_PART_BYTES + 1, 3 * MAX_PART_BYTES] {
        let knowledge: Vec<u8> = (0..length).map(|i| (i % 251) as u8).collect();
        let (mut parts, mut whole) = (StateAssembler::default(), None);
        for message in StateAssembler::of(&knowledge) {
            assert_eq!(whole, None, "nothing comes behind the last part");
            let Message::Knowledge { part, last } = message else {
                panic!("{message:?}")
            };
            whole = parts.take(&part, last).unwrap();
        }
        assert_eq!(whole, Some(knowledge));
    }
    let mut parts = StateAssembler::default();
    let full = vec![0; MAX_PART_BYTES];
    let refused = (0..=MAX_STATE_BYTES / MAX_PART_BYTES)
        .map(|_| parts.take(&full, false))
        .filter(Result::is_err);
    assert_eq!(refused.count(), 1);
}
