//! What members exchange, what a file keeps and what the operators' door shows is byte for byte what earlier versions
//! wrote, so that a process reads the file of the one before it and hears members of the version before.
mod golden;

use std::net::SocketAddr;

use golden::Golden;
use stairfront_gossip_membership::claim::{GossipMessage, StateAssertion};
use stairfront_gossip_membership::cordons::{
    read_record, write_record, CordonEntry, CordonSet, Tag,
};
use stairfront_gossip_membership::core::OrderError;
use stairfront_gossip_membership::news::DrainNews;
use stairfront_gossip_membership::packet::{
    group_mark, Body, Item, Packet, Sender, Writer, MAX_DATAGRAM_BYTES,
};
use stairfront_gossip_membership::report::{MemberReport, Missing, Progress, Report};
use stairfront_gossip_membership::{
    Action, MemberState, Membership, QuorumStatus, Settings, Timing,
};

const GROUP: &str = "north";

fn address(text: &str) -> SocketAddr {
    text.parse().unwrap()
}

/// Every number needs more than one byte, and no two are the same: an exchange of fields changes the bytes.
fn sender(namesake: bool) -> Sender {
    Sender {
        name: "b-1".into(),
        address: address("192.0.2.17:7946"),
        run: 0x1122_3344_5566_7788,
        incarnation: 1_760_000_000_123,
        roster: 0x99aa_bbcc_ddee_ff01,
        view: 0x2132_4354_6576_8798,
        ledger: 0x0bad_cafe_f00d_d00d,
        namesake,
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
        Body::Probe {
            seq: 303,
            target: "b-3".into(),
            address: address("[2001:db8::3]:7947"),
        },
        Body::Nack { seq: 304 },
        Body::Gossip,
        Body::Ask,
        Body::Ledger {
            page: 305,
            pages: 306,
        },
        Body::Order {
            number: 307_000_000_001,
        },
        Body::Done {
            number: 308_000_000_002,
        },
        Body::Namesake {
            born_ms: 1_760_000_000_309,
        },
        Body::Exchange { reply: true },
        Body::Exchange { reply: false },
        Body::Carried {
            bytes: vec![0, 255, 0x7f, 0x80, 10],
        },
    ]
}

fn file_of(body: &Body) -> &'static str {
    match body {
        Body::Ping { .. } => "packet_ping.hex",
        Body::Ack { .. } => "packet_ack.hex",
        Body::Probe { .. } => "packet_probe.hex",
        Body::Nack { .. } => "packet_nack.hex",
        Body::Gossip => "packet_gossip.hex",
        Body::Ask => "packet_ask.hex",
        Body::Ledger { .. } => "packet_ledger.hex",
        Body::Order { .. } => "packet_order.hex",
        Body::Done { .. } => "packet_done.hex",
        Body::Namesake { .. } => "packet_namesake.hex",
        Body::Exchange { reply: true } => "packet_exchange_reply.hex",
        Body::Exchange { reply: false } => "packet_exchange.hex",
        Body::Carried { .. } => "packet_carried.hex",
    }
}

fn entries() -> Vec<CordonEntry> {
    let tag = |author: &str, run, number| Tag {
        author: author.into(),
        run,
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
        CordonSet::planned("s-3", 7_000_000_003, 403),
    ]
}

fn items() -> Vec<Item> {
    let rumour = |about: &str, incarnation, claim| {
        Item::Member(GossipMessage {
            member: about.into(),
            incarnation,
            assertion: claim,
        })
    };
    let alive = |at: &str, run| StateAssertion::Alive {
        address: address(at),
        run,
    };
    let mut items = vec![
        rumour("b-4", 501, alive("192.0.2.4:7944", 601_000_000_001)),
        rumour("b-5", 502, alive("[2001:db8::5]:7945", 602_000_000_002)),
        rumour("b-6", 503, StateAssertion::Suspect { by: "b-7".into() }),
        rumour("b-8", 504, StateAssertion::Failed { by: "b-9".into() }),
        rumour("b-10", 505, StateAssertion::Left),
    ];
    items.extend(entries().into_iter().map(Item::Cordon));
    items.push(Item::Drain(DrainNews {
        host: "s-4".into(),
        index: 700_000_000_001,
        by: "b-11".into(),
    }));
    items
}

fn check_packet(golden: &mut Golden, file: &str, value: &Packet) {
    let mark = group_mark(GROUP);
    let mut writer = Writer::new(mark, &value.from, &value.body, MAX_DATAGRAM_BYTES);
    value
        .items
        .iter()
        .for_each(|item| assert!(writer.add(item), "{item:?}"));
    let written = writer.finish();
    let stored = golden.bytes(file, &written);
    assert_eq!(
        Packet::read(mark, &stored, MAX_DATAGRAM_BYTES).as_ref(),
        Ok(value),
        "{file}"
    );
    assert_eq!(written, stored, "{file}");
}

#[test]
fn a_packet_of_every_body_is_as_pinned() {
    let mut golden = Golden::default();
    for body in bodies() {
        let file = file_of(&body);
        check_packet(
            &mut golden,
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
fn a_packet_with_every_item_is_as_pinned() {
    let mut golden = Golden::default();
    let packet = Packet {
        from: sender(true),
        body: Body::Gossip,
        items: items(),
    };
    check_packet(&mut golden, "packet_items.hex", &packet);
    // One file for each, so that the one that changed is told.
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
        check_packet(&mut golden, &format!("item_{i}_{kind}.hex"), &packet);
    }
}

fn settings() -> Settings {
    Settings {
        group: GROUP.into(),
        me: "b-1".into(),
        advertise: address("192.0.2.17:7946"),
        seeds: vec![address("192.0.2.4:7944")],
        roster: vec!["b-1".into(), "b-4".into(), "b-6".into()],
        times: Timing::default(),
        run: 9,
        born_ms: 1_760_000_000_123,
        seed: 10,
    }
}

/// Danger: members that agree, but count their digests otherwise, would exchange everything all the time.
#[test]
fn the_digests_that_members_compare_are_as_pinned() {
    let mut golden = Golden::default();
    let mut ledger = CordonSet::default();
    ledger.merge(0, &entries()).unwrap();
    let mut core = Membership::new(0, settings(), &entries());
    let mark = group_mark(GROUP);
    let from = Sender {
        name: "b-4".into(),
        address: address("192.0.2.4:7944"),
        ..sender(false)
    };
    core.datagram(
        1,
        &Writer::new(
            mark,
            &from,
            &Body::Ping {
                seq: 1,
                to: "b-1".into(),
            },
            1200,
        )
        .finish(),
    );
    let sent = core.actions().into_iter().find_map(|action| match action {
        Action::Send { bytes, .. } => Packet::read(mark, &bytes, 1200).ok(),
        _ => None,
    });
    let Sender {
        roster,
        view,
        ledger: told,
        ..
    } = sent.expect("an answer to the ping").from;
    assert_eq!(told, ledger.digest());
    let written =
        format!("mark {mark:08x}\nroster {roster:016x}\nview {view:016x}\nledger {told:016x}\n");
    assert_eq!(golden.text("digests.txt", &written), written);
}

#[test]
fn the_record_of_the_groups_cordons_is_as_pinned() {
    let mut golden = Golden::default();
    let mut ledger = CordonSet::default();
    ledger.merge(0, &entries()).unwrap();
    let written = write_record(&ledger);
    let stored = golden.text("record.json", &written);
    let mut read = read_record(&stored).unwrap();
    let mut wanted = entries();
    let order = |entry: &CordonEntry| (entry.host.clone(), entry.tag.clone());
    read.sort_by_key(order);
    wanted.sort_by_key(order);
    assert_eq!(read, wanted);
    assert_eq!(written, stored);
    let empty = write_record(&CordonSet::default());
    let stored = golden.text("record_empty.json", &empty);
    assert_eq!(read_record(&stored).unwrap(), []);
    assert_eq!(empty, stored);
}

const STANDINGS: [(QuorumStatus, &str); 5] = [
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

fn report(standing: QuorumStatus, run: u64) -> Report {
    let member = |name: &str, at: Option<&str>, state, incarnation, since_ms| MemberReport {
        name: name.into(),
        address: at.map(address),
        state,
        incarnation,
        run,
        since_ms,
    };
    Report {
        me: "b-1".into(),
        group: GROUP.into(),
        standing,
        standing_since_ms: 801,
        digest: "0123456789abcdef".into(),
        roster_differs: vec!["b-2".into(), "b-3".into()],
        disagree_ms: 802,
        namesake: standing == QuorumStatus::Minority,
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
fn the_report_of_members_is_as_pinned() {
    let mut golden = Golden::default();
    for (standing, word) in STANDINGS {
        let file = format!("report_{word}.json");
        // Which process it is stays within the program.
        let written = serde_json::to_string(&report(standing, 809)).unwrap();
        let stored = golden.text(&file, &written);
        assert_eq!(
            serde_json::from_str::<Report>(&stored).unwrap(),
            report(standing, 0),
            "{file}"
        );
        assert_eq!(written, stored, "{file}");
        assert_eq!(standing.as_str(), word);
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
fn the_progress_of_an_order_for_the_group_is_as_pinned() {
    let mut golden = Golden::default();
    let missing = |name: &str, why: &str| Missing {
        name: name.into(),
        why: why.into(),
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
        let stored = golden.text(file, &written);
        assert_eq!(
            serde_json::from_str::<Progress>(&stored).unwrap(),
            value,
            "{file}"
        );
        assert_eq!(written, stored, "{file}");
    }
}

/// They go out as the body of a refusal, and are only written.
#[test]
fn the_refusals_of_orders_for_the_group_are_as_pinned() {
    let mut golden = Golden::default();
    let mut refusals: Vec<OrderError> = STANDINGS
        .map(|(standing, _)| OrderError::NoMajority(standing))
        .into();
    refusals.extend([
        OrderError::Busy,
        OrderError::Full,
        OrderError::Leaving,
        OrderError::Planned,
    ]);
    refusals.iter().for_each(|refusal| match refusal {
        OrderError::NoMajority(_)
        | OrderError::Busy
        | OrderError::Full
        | OrderError::Leaving
        | OrderError::Planned => {}
    });
    let written: String = refusals
        .iter()
        .map(|refusal| format!("{refusal}\n"))
        .collect();
    assert_eq!(golden.text("refusals.txt", &written), written);
}

/// What a member makes of what it has heard: every state, and every reason why one is missing.
#[test]
fn the_report_and_the_progress_of_a_member_that_has_heard_of_all_kinds_are_as_pinned() {
    let mut golden = Golden::default();
    let roster = ["b-1", "b-2", "b-3", "b-4", "b-5", "b-6", "b-7"]
        .map(String::from)
        .to_vec();
    // So that the suspicion of one ends in its failure at the next tick.
    let times = Timing {
        suspicion: 1,
        ..Timing::default()
    };
    let set = Settings {
        roster,
        times,
        ..settings()
    };
    let mut core = Membership::new(0, set, &entries());
    let mark = group_mark(GROUP);
    let hear = |core: &mut Membership, now, name: &str, namesake, items: &[Item]| {
        let at = address(&format!("192.0.2.4:{}", 7000 + now / 1000));
        let from = Sender {
            name: name.into(),
            address: at,
            ..sender(namesake)
        };
        let mut writer = Writer::new(mark, &from, &Body::Gossip, MAX_DATAGRAM_BYTES);
        items.iter().for_each(|item| assert!(writer.add(item)));
        core.datagram(now, &writer.finish());
    };
    hear(&mut core, 2_000, "b-2", false, &[]);
    hear(&mut core, 3_000, "b-3", false, &[]);
    hear(&mut core, 4_000, "b-4", false, &[]);
    hear(&mut core, 5_000, "b-5", false, &[]);
    hear(&mut core, 6_000, "b-6", true, &[]);
    let said = |about: &str, claim| {
        Item::Member(GossipMessage {
            member: about.into(),
            incarnation: sender(false).incarnation,
            assertion: claim,
        })
    };
    let suspect = || StateAssertion::Suspect { by: "b-2".into() };
    let items = [said("b-4", suspect()), said("b-5", StateAssertion::Left)];
    hear(&mut core, 7_000, "b-2", false, &items);
    core.tick(60_000);
    hear(&mut core, 61_000, "b-2", false, &[said("b-3", suspect())]);
    let number = core.order(62_000, "s-9", true).unwrap();
    let report = core.report(63_000);
    let states: Vec<MemberState> = report.members.iter().map(|member| member.state).collect();
    STATES
        .iter()
        .for_each(|(state, _)| assert!(states.contains(state), "{state:?} is missing"));
    let written = serde_json::to_string(&report).unwrap();
    assert_eq!(golden.text("heard_report.json", &written), written);
    let progress = core.progress(number).unwrap();
    let written = serde_json::to_string(&progress).unwrap();
    assert_eq!(golden.text("heard_progress.json", &written), written);
}
