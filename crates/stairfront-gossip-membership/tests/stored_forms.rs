//! Packets, the record of cordons and the JSON for operators are byte for byte those of earlier versions, so that a process
//! reads the record of an earlier one and understands members of the version before.
use std::net::SocketAddr;

use stairfront_gossip_membership::assertion::{GossipMessage, StateAssertion};
use stairfront_gossip_membership::cordon_record::{read_record, write_record};
use stairfront_gossip_membership::drain_hints::DrainNotice;
use stairfront_gossip_membership::packet::{
    group_id, Body, Item, Packet, PacketWriter, Sender, MAX_DATAGRAM_BYTES,
};
use stairfront_gossip_membership::report::{MemberReport, MissingMember, Progress, Report};
use stairfront_gossip_membership::OrderError;
use stairfront_gossip_membership::{
    Action, CordonEntry, CordonSet, MemberState, Membership, QuorumStatus, Settings, Tag, Timing,
};
use stairfront_test_support::golden::{from_hex, to_hex, GoldenFiles};

const GROUP: &str = "north";

fn address(text: &str) -> SocketAddr {
    text.parse().unwrap()
}

fn golden() -> GoldenFiles {
    GoldenFiles::of_crate(env!("CARGO_MANIFEST_DIR"))
}

/// Every number needs more than one byte, and no two are the same: an exchange of fields changes the bytes.
fn sender(name_conflict: bool) -> Sender {
    Sender {
        name: "b-1".into(),
        address: address("192.0.2.17:7946"),
        process_id: 0x1122_3344_5566_7788,
        incarnation: 1_760_000_000_123,
        roster_digest: 0x99aa_bbcc_ddee_ff01,
        view_digest: 0x2132_4354_6576_8798,
        cordon_digest: 0x0bad_cafe_f00d_d00d,
        name_conflict,
    }
}

/// One of every variant. The match in `file_of` does not compile where a variant is missing from it.
fn bodies() -> Vec<Body> {
    vec![
        Body::Ping {
            seq: 301,
            to: "b-2".into(),
        },
        Body::Ack { seq: 302 },
        Body::PingRequest {
            seq: 303,
            target: "b-3".into(),
            address: address("[2001:db8::3]:7947"),
        },
        Body::Nack { seq: 304 },
        Body::Gossip,
        Body::CordonQuery,
        Body::CordonPage {
            page: 305,
            pages: 306,
        },
        Body::CordonOrder {
            number: 307_000_000_001,
        },
        Body::CordonAck {
            number: 308_000_000_002,
        },
        Body::NameConflict {
            started_unix_ms: 1_760_000_000_309,
        },
        Body::PushPull { reply: true },
        Body::PushPull { reply: false },
        Body::Payload {
            bytes: vec![0, 255, 0x7f, 0x80, 10],
        },
    ]
}

fn file_of(body: &Body) -> &'static str {
    match body {
        Body::Ping { .. } => "packet_ping.hex",
        Body::Ack { .. } => "packet_ack.hex",
        Body::PingRequest { .. } => "packet_probe.hex",
        Body::Nack { .. } => "packet_nack.hex",
        Body::Gossip => "packet_gossip.hex",
        Body::CordonQuery => "packet_ask.hex",
        Body::CordonPage { .. } => "packet_ledger.hex",
        Body::CordonOrder { .. } => "packet_order.hex",
        Body::CordonAck { .. } => "packet_done.hex",
        Body::NameConflict { .. } => "packet_namesake.hex",
        Body::PushPull { reply: true } => "packet_exchange_reply.hex",
        Body::PushPull { reply: false } => "packet_exchange.hex",
        Body::Payload { .. } => "packet_carried.hex",
    }
}

fn entries() -> Vec<CordonEntry> {
    let tag = |author: &str, process_id, number| Tag {
        author: author.into(),
        process_id,
        number,
    };
    vec![
        CordonEntry {
            host: "s-1".into(),
            tag: tag("b-1", 7_000_000_001, 401),
            lifted: false,
        },
        CordonEntry {
            host: "s-1".into(),
            tag: tag("b-2", 7_000_000_002, 402),
            lifted: true,
        },
        CordonEntry {
            host: "s \"2\"".into(),
            tag: tag("b-\u{e9}", u64::MAX, u32::MAX),
            lifted: true,
        },
        CordonSet::planned_entry("s-3", 7_000_000_003, 403),
    ]
}

fn items() -> Vec<Item> {
    let message = |member: &str, incarnation, assertion| {
        Item::Member(GossipMessage {
            member: member.into(),
            incarnation,
            assertion,
        })
    };
    let alive = |at: &str, process_id| StateAssertion::Alive {
        address: address(at),
        process_id,
    };
    let mut items = vec![
        message("b-4", 501, alive("192.0.2.4:7944", 601_000_000_001)),
        message("b-5", 502, alive("[2001:db8::5]:7945", 602_000_000_002)),
        message("b-6", 503, StateAssertion::Suspect { by: "b-7".into() }),
        message("b-8", 504, StateAssertion::Failed { by: "b-9".into() }),
        message("b-10", 505, StateAssertion::Left),
    ];
    items.extend(entries().into_iter().map(Item::Cordon));
    items.push(Item::Drain(DrainNotice {
        host: "s-4".into(),
        index: 700_000_000_001,
        by: "b-11".into(),
    }));
    items
}

/// Asserts that bytes are those of a golden file, which has them as hexadecimal digits; returns the file's.
fn assert_hex_digits(file: &str, written: &[u8]) -> Vec<u8> {
    const LABEL: &str = "# packet\n";
    let cases = [("packet".to_string(), written.to_vec())];
    let digits = to_hex(&cases).replacen(LABEL, "", 1);
    let stored = assert_text(file, &digits);
    let mut cases = from_hex(&format!("{LABEL}{stored}"));
    cases.remove(0).1
}

/// Asserts that a text is that of a golden file; returns the file's.
fn assert_text(file: &str, written: &str) -> String {
    String::from_utf8(golden().assert_bytes(file, written.as_bytes())).unwrap()
}

/// Asserts that a packet is written to the bytes of the golden file and read from them as the same packet.
fn assert_packet(file: &str, value: &Packet) {
    let group = group_id(GROUP);
    let mut writer = PacketWriter::new(group, &value.from, &value.body, MAX_DATAGRAM_BYTES);
    value
        .items
        .iter()
        .for_each(|item| assert!(writer.add(item), "{item:?}"));
    let written = writer.finish();
    let stored = assert_hex_digits(file, &written);
    assert_eq!(
        Packet::read(group, &stored, MAX_DATAGRAM_BYTES).as_ref(),
        Ok(value),
        "{file}"
    );
}

#[test]
fn a_packet_with_each_body_has_its_pinned_form() {
    for body in bodies() {
        let file = file_of(&body);
        assert_packet(
            file,
            &Packet {
                from: sender(false),
                body,
                items: Vec::new(),
            },
        );
    }
}

#[test]
fn a_packet_with_each_item_has_its_pinned_form() {
    let packet = Packet {
        from: sender(true),
        body: Body::Gossip,
        items: items(),
    };
    assert_packet("packet_items.hex", &packet);
    // One file for each, so that a failure names the item.
    for (i, item) in items().into_iter().enumerate() {
        let kind = match &item {
            Item::Member(GossipMessage {
                assertion: StateAssertion::Alive { .. },
                ..
            }) => "alive",
            Item::Member(GossipMessage {
                assertion: StateAssertion::Suspect { .. },
                ..
            }) => "suspect",
            Item::Member(GossipMessage {
                assertion: StateAssertion::Failed { .. },
                ..
            }) => "failed",
            Item::Member(GossipMessage {
                assertion: StateAssertion::Left,
                ..
            }) => "left",
            Item::Cordon(_) => "cordon",
            Item::Drain(_) => "drain",
        };
        let packet = Packet {
            from: sender(true),
            body: Body::Gossip,
            items: vec![item],
        };
        assert_packet(&format!("item_{i}_{kind}.hex"), &packet);
    }
}

fn settings() -> Settings {
    Settings {
        group: GROUP.into(),
        name: "b-1".into(),
        advertise: address("192.0.2.17:7946"),
        seeds: vec![address("192.0.2.4:7944")],
        roster: vec!["b-1".into(), "b-4".into(), "b-6".into()],
        timing: Timing::default(),
        process_id: 9,
        started_unix_ms: 1_760_000_000_123,
        seed: 10,
    }
}

/// Members that agree, but compute other digests, would exchange their whole state all the time.
#[test]
fn the_digests_that_members_compare_have_their_pinned_values() {
    let mut cordons = CordonSet::default();
    cordons.merge(0, &entries()).unwrap();
    let mut core = Membership::new(0, settings(), &entries());
    let group = group_id(GROUP);
    let from = Sender {
        name: "b-4".into(),
        address: address("192.0.2.4:7944"),
        ..sender(false)
    };
    core.handle_datagram(
        1,
        &PacketWriter::new(
            group,
            &from,
            &Body::Ping {
                seq: 1,
                to: "b-1".into(),
            },
            1200,
        )
        .finish(),
    );
    let sent = core
        .take_actions()
        .into_iter()
        .find_map(|action| match action {
            Action::Send { bytes, .. } => Packet::read(group, &bytes, 1200).ok(),
            _ => None,
        });
    let Sender {
        roster_digest: roster,
        view_digest: view,
        cordon_digest: cordon,
        ..
    } = sent.expect("an answer to the ping").from;
    assert_eq!(cordon, cordons.digest());
    let written =
        format!("mark {group:08x}\nroster {roster:016x}\nview {view:016x}\nledger {cordon:016x}\n");
    golden().assert_bytes("digests.txt", written.as_bytes());
}

#[test]
fn the_record_of_cordons_has_its_pinned_form() {
    let mut cordons = CordonSet::default();
    cordons.merge(0, &entries()).unwrap();
    let written = write_record(&cordons);
    let stored = assert_text("record.json", &written);
    let mut read = read_record(&stored).unwrap();
    let mut wanted = entries();
    let order = |entry: &CordonEntry| (entry.host.clone(), entry.tag.clone());
    read.sort_by_key(order);
    wanted.sort_by_key(order);
    assert_eq!(read, wanted);
    let empty = write_record(&CordonSet::default());
    let stored = assert_text("record_empty.json", &empty);
    assert_eq!(read_record(&stored).unwrap(), []);
}

const QUORUM_STATUSES: [(QuorumStatus, &str); 5] = [
    (QuorumStatus::Settling, "settling"),
    (QuorumStatus::Whole, "whole"),
    (QuorumStatus::Majority, "majority"),
    (QuorumStatus::Minority, "minority"),
    (QuorumStatus::Alone, "alone"),
];

const STATES: [(MemberState, &str); 4] = [
    (MemberState::Alive, "alive"),
    (MemberState::Suspect, "suspect"),
    (MemberState::Failed, "failed"),
    (MemberState::Left, "left"),
];

fn report(quorum: QuorumStatus, process_id: u64) -> Report {
    let member = |name: &str, at: Option<&str>, state, incarnation, since_ms| MemberReport {
        name: name.into(),
        address: at.map(address),
        state,
        incarnation,
        process_id,
        since_ms,
    };
    Report {
        name: "b-1".into(),
        group: GROUP.into(),
        quorum,
        quorum_since_ms: 801,
        digest: "0123456789abcdef".into(),
        roster_differs: vec!["b-2".into(), "b-3".into()],
        divergence_ms: 802,
        name_conflict: quorum == QuorumStatus::Minority,
        cordons: vec!["s-1".into(), "s \"2\"".into()],
        members: vec![
            member(
                "b-1",
                Some("192.0.2.17:7946"),
                MemberState::Alive,
                1_760_000_000_123,
                803,
            ),
            member(
                "b-2",
                Some("[2001:db8::2]:7946"),
                MemberState::Suspect,
                804,
                805,
            ),
            member("b-3", None, MemberState::Failed, 0, 806),
            member("b-4", Some("192.0.2.4:7944"), MemberState::Left, 807, 808),
        ],
    }
}

#[test]
fn the_report_of_members_has_its_pinned_form() {
    for (quorum, word) in QUORUM_STATUSES {
        let file = format!("report_{word}.json");
        // The process id is not written.
        let written = serde_json::to_string(&report(quorum, 809)).unwrap();
        let stored = assert_text(&file, &written);
        assert_eq!(
            serde_json::from_str::<Report>(&stored).unwrap(),
            report(quorum, 0),
            "{file}"
        );
        assert_eq!(quorum.as_str(), word);
    }
    for (state, word) in STATES {
        assert_eq!(state.as_str(), word);
        assert_eq!(
            serde_json::to_string(&state).unwrap(),
            format!("\"{word}\"")
        );
    }
}

#[test]
fn the_progress_of_an_order_has_its_pinned_form() {
    let missing = |name: &str, reason: &str| MissingMember {
        name: name.into(),
        reason: reason.into(),
    };
    for (cordoned, done) in [(true, false), (false, true)] {
        let value = Progress {
            host: "s-1".into(),
            cordoned,
            done,
            confirmed: vec!["b-1".into(), "b-2".into()],
            missing: vec![missing("b-3", "failed"), missing("b-4", "has not answered")],
        };
        let written = serde_json::to_string(&value).unwrap();
        let file = if cordoned {
            "progress_cordon.json"
        } else {
            "progress_lift.json"
        };
        let stored = assert_text(file, &written);
        assert_eq!(
            serde_json::from_str::<Progress>(&stored).unwrap(),
            value,
            "{file}"
        );
    }
}

/// The texts are the bodies of answers that refuse an order; nothing reads them back.
#[test]
fn the_errors_of_orders_have_their_pinned_texts() {
    let mut errors: Vec<OrderError> = QUORUM_STATUSES
        .map(|(quorum, _)| OrderError::NoMajority(quorum))
        .into();
    errors.extend([
        OrderError::Busy,
        OrderError::Full,
        OrderError::Leaving,
        OrderError::Planned,
    ]);
    errors.iter().for_each(|error| match error {
        OrderError::NoMajority(_)
        | OrderError::Busy
        | OrderError::Full
        | OrderError::Leaving
        | OrderError::Planned => {}
    });
    let written: String = errors.iter().map(|error| format!("{error}\n")).collect();
    golden().assert_bytes("refusals.txt", written.as_bytes());
}

/// A member of seven that has received packets about members in each state; returns it with the number of its order.
fn member_that_knows_all_states() -> (Membership, u64) {
    let roster = ["b-1", "b-2", "b-3", "b-4", "b-5", "b-6", "b-7"]
        .map(String::from)
        .to_vec();
    // So that the suspicion of one member ends in its failure at the next tick.
    let timing = Timing {
        min_suspicion_timeout: 1,
        ..Timing::default()
    };
    let settings = Settings {
        roster,
        timing,
        ..settings()
    };
    let mut core = Membership::new(0, settings, &entries());
    receive(&mut core, 2_000, "b-2", false, &[]);
    receive(&mut core, 3_000, "b-3", false, &[]);
    receive(&mut core, 4_000, "b-4", false, &[]);
    receive(&mut core, 5_000, "b-5", false, &[]);
    receive(&mut core, 6_000, "b-6", true, &[]);
    let assertion = |member: &str, assertion| {
        Item::Member(GossipMessage {
            member: member.into(),
            incarnation: sender(false).incarnation,
            assertion,
        })
    };
    let suspect = || StateAssertion::Suspect { by: "b-2".into() };
    let items = [
        assertion("b-4", suspect()),
        assertion("b-5", StateAssertion::Left),
    ];
    receive(&mut core, 7_000, "b-2", false, &items);
    core.tick(60_000);
    receive(
        &mut core,
        61_000,
        "b-2",
        false,
        &[assertion("b-3", suspect())],
    );
    let number = core.order(62_000, "s-9", true).unwrap();
    (core, number)
}

/// Hands in a datagram of a member with these items.
fn receive(core: &mut Membership, now: i64, name: &str, name_conflict: bool, items: &[Item]) {
    let from = Sender {
        name: name.into(),
        address: address(&format!("192.0.2.4:{}", 7000 + now / 1000)),
        ..sender(name_conflict)
    };
    let mut writer = PacketWriter::new(group_id(GROUP), &from, &Body::Gossip, MAX_DATAGRAM_BYTES);
    items.iter().for_each(|item| assert!(writer.add(item)));
    core.handle_datagram(now, &writer.finish());
}

/// The JSON of a member that knows members in all states, and of an order that all kinds of members have not confirmed.
#[test]
fn the_report_and_the_progress_with_members_of_all_states_have_their_pinned_forms() {
    let (core, number) = member_that_knows_all_states();
    let report = core.report(63_000);
    let states: Vec<MemberState> = report.members.iter().map(|member| member.state).collect();
    STATES
        .iter()
        .for_each(|(state, _)| assert!(states.contains(state), "{state:?} is missing"));
    assert_text(
        "heard_report.json",
        &serde_json::to_string(&report).unwrap(),
    );
    let progress = core.progress(number).unwrap();
    assert_text(
        "heard_progress.json",
        &serde_json::to_string(&progress).unwrap(),
    );
}
