//! What comes from outside is read whole or not at all, and what merges comes to the same whatever the order.
use std::net::SocketAddr;

use proptest::prelude::*;
use stairfront_gossip_membership::claim::{GossipMessage, StateAssertion, MAX_INCARNATION};
use stairfront_gossip_membership::cordons::{
    read_record, write_record, CordonEntry, CordonSet, Tag, MAX_ENTRIES,
};
use stairfront_gossip_membership::news::{
    DrainAnnouncement, DrainHints, DrainNews, HintTransition,
};
use stairfront_gossip_membership::packet::{
    group_mark, Body, Item, Packet, PacketError, Sender, Writer,
};
use stairfront_gossip_membership::table::Table;
use stairfront_gossip_membership::{MemberState, Membership, Settings, Timing, SECOND};

const MOST: usize = 1200;

fn sender(name: &str, run: u64, incarnation: u64) -> Sender {
    let address: SocketAddr = "127.0.0.1:9".parse().unwrap();
    let (roster, view, ledger, namesake) = (1, 2, 3, false);
    Sender {
        name: name.into(),
        address,
        run,
        incarnation,
        roster,
        view,
        ledger,
        namesake,
    }
}

fn packet(mark: u32, from: &Sender, body: &Body, items: &[Item]) -> Vec<u8> {
    let mut writer = Writer::new(mark, from, body, MOST);
    items.iter().for_each(|item| assert!(writer.add(item)));
    writer.finish()
}

fn settings(me: &str) -> Settings {
    Settings {
        group: "g".into(),
        me: me.into(),
        advertise: "127.0.0.1:8".parse().unwrap(),
        seeds: Vec::new(),
        roster: vec!["a".into(), "b".into(), "c".into()],
        times: Timing::default(),
        run: 1,
        born_ms: 1,
        seed: 1,
    }
}

fn some_packet() -> Vec<u8> {
    let rumour = GossipMessage {
        member: "c".into(),
        incarnation: 7,
        assertion: StateAssertion::Suspect { by: "a".into() },
    };
    let tag = Tag {
        author: "b".into(),
        run: 1,
        number: 1,
    };
    let entry = CordonEntry {
        host: "s-1".into(),
        tag,
        lifted: false,
    };
    let news = DrainNews {
        host: "s-2".into(),
        index: 4,
        by: "b".into(),
    };
    let items = [Item::Member(rumour), Item::Cordon(entry), Item::Drain(news)];
    packet(
        group_mark("g"),
        &sender("b", 5, 6),
        &Body::Ping {
            seq: 3,
            to: "a".into(),
        },
        &items,
    )
}

proptest! {
    /// Danger: a member that a stray packet ends, or talks into something.
    #[test]
    fn rubbish_is_an_error_and_changes_nothing(bytes in proptest::collection::vec(any::<u8>(), 0..1500)) {
        let mut core = Membership::new(0, settings("a"), &[]);
        core.datagram(1, &bytes);
        core.exchanged(1, &bytes);
        prop_assert!(Packet::read(group_mark("g"), &bytes, MOST).is_err());
        prop_assert_eq!(core.count(MemberState::Alive), 1);
    }

    #[test]
    fn a_good_packet_cut_off_or_with_one_byte_changed_is_not_heard(at in 0usize..400, with in 1u8..=255) {
        let good = some_packet();
        prop_assert!(Packet::read(group_mark("g"), &good, MOST).is_ok());
        let at = at % good.len();
        prop_assert!(Packet::read(group_mark("g"), &good[..at], MOST).is_err());
        let mut spoilt = good.clone();
        spoilt[at] ^= with;
        prop_assert!(Packet::read(group_mark("g"), &spoilt, MOST).is_err());
    }

    /// The check alone does not make a packet: whatever stands behind a good one is read, or is an error.
    #[test]
    fn rubbish_with_a_good_check_does_not_end_the_reader(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let mark = group_mark("g");
        let mut whole = packet(mark, &sender("b", 1, 1), &Body::Gossip, &[]);
        let body = whole.split_off(13);
        let rest = [body, bytes].concat();
        let check = xxhash_rust::xxh3::xxh3_64_with_seed(&rest, u64::from(mark));
        whole.truncate(5);
        whole.extend(check.to_le_bytes());
        whole.extend(rest);
        let mut core = Membership::new(0, settings("a"), &[]);
        core.datagram(1, &whole);
        core.tick(2);
    }

    #[test]
    fn ledgers_merge_to_the_same_in_any_order_and_any_number_of_times(
        entries in proptest::collection::vec((0u8..4, 0u8..3, 1u32..4, any::<bool>()), 0..40),
        turn in 0usize..40,
    ) {
        let entries: Vec<CordonEntry> = entries.into_iter().map(|(host, author, number, lifted)| {
            let tag = Tag { author: format!("b{author}"), run: 1, number };
            CordonEntry { host: format!("s-{host}"), tag, lifted }
        }).collect();
        let (mut one, mut other) = (CordonSet::default(), CordonSet::default());
        one.merge(0, &entries).unwrap();
        let mut turned = entries.clone();
        turned.rotate_left(turn % entries.len().max(1));
        turned.extend(entries.iter().rev().cloned());
        for entry in &turned {
            other.merge(0, std::slice::from_ref(entry)).unwrap();
        }
        prop_assert_eq!(one.digest(), other.digest());
        prop_assert!(one.held().eq(other.held()));
        let read = read_record(&write_record(&one)).unwrap();
        prop_assert!(read.into_iter().eq(one.entries()));
    }
}

#[test]
fn another_group_and_another_version_are_counted_and_not_heard() {
    let mut core = Membership::new(0, settings("a"), &[]);
    core.datagram(
        1,
        &packet(group_mark("other"), &sender("b", 5, 6), &Body::Gossip, &[]),
    );
    let mut later = some_packet();
    later[0] = 2;
    core.datagram(1, &later);
    assert_eq!(
        Packet::read(group_mark("g"), &later, MOST),
        Err(PacketError::Version(2))
    );
    assert_eq!(
        (core.figures.other_group, core.figures.other_version),
        (1, 1)
    );
    assert_eq!(core.count(MemberState::Alive), 1);
    // An incarnation beyond which no refutation is left.
    let out = packet(
        group_mark("g"),
        &sender("b", 5, MAX_INCARNATION),
        &Body::Gossip,
        &[],
    );
    core.datagram(1, &out);
    assert_eq!(
        (core.figures.unreadable, core.count(MemberState::Alive)),
        (1, 1)
    );
}

/// Danger: an order confirmed by one whose ledger had no room for it.
#[test]
fn what_finds_no_room_in_the_ledger_is_not_confirmed() {
    let mut core = Membership::new(0, settings("a"), &[]);
    let entry = |number| {
        let tag = Tag {
            author: "b".into(),
            run: 1,
            number,
        };
        CordonEntry {
            host: format!("s-{number}"),
            tag,
            lifted: false,
        }
    };
    let full: Vec<CordonEntry> = (0..MAX_ENTRIES as u32).map(entry).collect();
    core.restore(0, &full);
    full.iter()
        .for_each(|entry| core.applied(0, &entry.host, true));
    core.actions();
    let order = |number: u32| {
        packet(
            group_mark("g"),
            &sender("b", 5, 6),
            &Body::Order { number: 1 },
            &[Item::Cordon(entry(number))],
        )
    };
    let done = |core: &mut Membership| {
        core.actions().into_iter().any(|action| match action {
            stairfront_gossip_membership::Action::Send { bytes, .. } => {
                matches!(
                    Packet::read(group_mark("g"), &bytes, MOST).unwrap().body,
                    Body::Done { .. }
                )
            }
            _ => false,
        })
    };
    core.datagram(1, &order(7));
    assert!(done(&mut core), "what is held is confirmed");
    core.datagram(1, &order(MAX_ENTRIES as u32));
    assert!(!done(&mut core));
}

#[test]
fn a_late_rumour_does_not_raise_one_that_is_forgotten() {
    let mut table = Table::new(0, &["a".into(), "b".into()], "a");
    assert!(table.admit("z", 5, 0));
    let peer = table.peers.get_mut("z").unwrap();
    (peer.incarnation, peer.state) = (5, MemberState::Failed);
    table.forget_long_gone(11 * SECOND, 10 * SECOND);
    assert!(!table.peers.contains_key("z") && table.peers.contains_key("b"));
    assert!(!table.admit("z", 5, 12 * SECOND));
    assert!(table.admit("z", 6, 12 * SECOND));
    for i in 0..1000 {
        table.admit(&format!("made-up-{i}"), 1, 0);
    }
    assert!(table.peers.len() < 70, "a flood of names is bounded");
}

#[test]
fn hearsay_only_stops_for_a_while_for_a_part_and_never_against_newer_news() {
    let mut hearsay = DrainHints::default();
    let told = |index| DrainAnnouncement {
        index,
        hosts: 8,
        leaving: Vec::new(),
    };
    hearsay.told(&told(10), "a");
    let news = |host: &str, index| DrainNews {
        host: host.into(),
        index,
        by: "b".into(),
    };
    assert_eq!(
        hearsay.heard(0, &news("s-1", 9), SECOND).1,
        None,
        "older than the own list"
    );
    assert_eq!(
        hearsay.heard(0, &news("s-2", 11), SECOND).1,
        Some(HintTransition::Stop("s-2".into()))
    );
    assert_eq!(
        hearsay.heard(0, &news("s-3", 11), SECOND).1,
        Some(HintTransition::Stop("s-3".into()))
    );
    assert_eq!(
        hearsay.heard(0, &news("s-4", 11), SECOND).1,
        None,
        "a quarter of the fleet at most"
    );
    assert_eq!(hearsay.over_part, 1);
    assert_eq!(
        hearsay.heard(0, &news("s-2", 11), 9 * SECOND),
        (false, None),
        "heard once"
    );
    assert!(hearsay.tick(SECOND / 2).is_empty());
    assert_eq!(
        hearsay.tick(SECOND),
        [
            HintTransition::Trust("s-2".into()),
            HintTransition::Trust("s-3".into())
        ]
    );
    hearsay.heard(SECOND, &news("s-5", 12), 5 * SECOND);
    assert_eq!(
        hearsay.told(&told(12), "a").1,
        [HintTransition::Trust("s-5".into())],
        "its own list is as new"
    );
}

/// Danger: a member that moved is taken for whoever has its address now, and a dead one for alive.
#[test]
fn a_probe_for_another_name_is_not_answered() {
    let mut core = Membership::new(0, settings("a"), &[]);
    for (to, answered) in [("a", true), ("c", false)] {
        let ping = Body::Ping {
            seq: 1,
            to: to.into(),
        };
        core.datagram(1, &packet(group_mark("g"), &sender("b", 5, 6), &ping, &[]));
        let acked = core.actions().into_iter().any(|action| match action {
            stairfront_gossip_membership::Action::Send { bytes, .. } => {
                matches!(
                    Packet::read(group_mark("g"), &bytes, MOST).unwrap().body,
                    Body::Ack { .. }
                )
            }
            _ => false,
        });
        assert_eq!(acked, answered, "{to}");
    }
    assert_eq!(core.figures.misdirected, 1);
}
