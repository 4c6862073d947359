//! A packet is accepted whole or not at all, and entries and hints merge to the same result in any order.
use std::net::SocketAddr;

use proptest::collection::vec;
use proptest::prelude::any;
use proptest::{prop_assert, prop_assert_eq, proptest};
use stairfront_common::time::SECOND;
use stairfront_gossip_membership::assertion::{GossipMessage, StateAssertion, MAX_INCARNATION};
use stairfront_gossip_membership::cordon_record::{read_record, write_record};
use stairfront_gossip_membership::cordon_set::{CordonEntry, CordonSet, Tag, MAX_ENTRIES};
use stairfront_gossip_membership::drain_hints::{
    DrainAnnouncement, DrainHints, DrainNotice, HintTransition,
};
use stairfront_gossip_membership::packet::{
    group_id, Body, Item, Packet, PacketError, PacketWriter, Sender,
};
use stairfront_gossip_membership::peer_table::PeerTable;
use stairfront_gossip_membership::{Action, MemberState, Membership, Settings, Timing};

const MAX_BYTES: usize = 1200;

fn sender(name: &str, process_id: u64, incarnation: u64) -> Sender {
    let address: SocketAddr = "127.0.0.1:9".parse().unwrap();
    Sender {
        name: name.into(),
        address,
        process_id,
        incarnation,
        roster_digest: 1,
        view_digest: 2,
        cordon_digest: 3,
        name_conflict: false,
    }
}

fn packet(group: u32, from: &Sender, body: &Body, items: &[Item]) -> Vec<u8> {
    let mut writer = PacketWriter::new(group, from, body, MAX_BYTES);
    items.iter().for_each(|item| assert!(writer.add(item)));
    writer.finish()
}

fn settings(name: &str) -> Settings {
    Settings {
        group: "g".into(),
        name: name.into(),
        advertise: "127.0.0.1:8".parse().unwrap(),
        seeds: Vec::new(),
        roster: vec!["a".into(), "b".into(), "c".into()],
        timing: Timing::default(),
        process_id: 1,
        started_unix_ms: 1,
        seed: 1,
    }
}

fn some_packet() -> Vec<u8> {
    let message = GossipMessage {
        member: "c".into(),
        incarnation: 7,
        assertion: StateAssertion::Suspect { by: "a".into() },
    };
    let tag = Tag {
        author: "b".into(),
        process_id: 1,
        number: 1,
    };
    let entry = CordonEntry {
        host: "s-1".into(),
        tag,
        lifted: false,
    };
    let notice = DrainNotice {
        host: "s-2".into(),
        index: 4,
        by: "b".into(),
    };
    let items = [
        Item::Member(message),
        Item::Cordon(entry),
        Item::Drain(notice),
    ];
    packet(
        group_id("g"),
        &sender("b", 5, 6),
        &Body::Ping {
            seq: 3,
            to: "a".into(),
        },
        &items,
    )
}

proptest! {
    /// A stray packet must neither end a member nor change what it knows.
    #[test]
    fn random_bytes_are_rejected_and_change_nothing(bytes in vec(any::<u8>(), 0..1500)) {
        let mut core = Membership::new(0, settings("a"), &[]);
        core.handle_datagram(1, &bytes);
        core.handle_stream_packet(1, &bytes);
        prop_assert!(Packet::read(group_id("g"), &bytes, MAX_BYTES).is_err());
        prop_assert_eq!(core.count(MemberState::Alive), 1);
    }

    #[test]
    fn a_truncated_packet_or_one_with_a_changed_byte_is_rejected(at in 0usize..400, with in 1u8..=255) {
        let good = some_packet();
        prop_assert!(Packet::read(group_id("g"), &good, MAX_BYTES).is_ok());
        let at = at % good.len();
        prop_assert!(Packet::read(group_id("g"), &good[..at], MAX_BYTES).is_err());
        let mut corrupt = good.clone();
        corrupt[at] ^= with;
        prop_assert!(Packet::read(group_id("g"), &corrupt, MAX_BYTES).is_err());
    }

    /// The checksum alone does not make a packet valid: the content behind it is decoded, or is an error.
    #[test]
    fn random_content_with_a_correct_checksum_does_not_panic(bytes in vec(any::<u8>(), 0..300)) {
        let group = group_id("g");
        let mut whole = packet(group, &sender("b", 1, 1), &Body::Gossip, &[]);
        let body = whole.split_off(13);
        let rest = [body, bytes].concat();
        let check = xxhash_rust::xxh3::xxh3_64_with_seed(&rest, u64::from(group));
        whole.truncate(5);
        whole.extend(check.to_le_bytes());
        whole.extend(rest);
        let mut core = Membership::new(0, settings("a"), &[]);
        core.handle_datagram(1, &whole);
        core.tick(2);
    }

    #[test]
    fn cordon_sets_merge_to_the_same_in_any_order_and_any_number_of_times(
        entries in vec((0u8..4, 0u8..3, 1u32..4, any::<bool>()), 0..40),
        rotation in 0usize..40,
    ) {
        let entries: Vec<CordonEntry> = entries.into_iter().map(|(host, author, number, lifted)| {
            let tag = Tag { author: format!("b{author}"), process_id: 1, number };
            CordonEntry { host: format!("s-{host}"), tag, lifted }
        }).collect();
        let (mut one, mut other) = (CordonSet::default(), CordonSet::default());
        one.merge(0, &entries).unwrap();
        let mut rotated = entries.clone();
        rotated.rotate_left(rotation % entries.len().max(1));
        rotated.extend(entries.iter().rev().cloned());
        for entry in &rotated {
            other.merge(0, std::slice::from_ref(entry)).unwrap();
        }
        prop_assert_eq!(one.digest(), other.digest());
        prop_assert!(one.cordoned_hosts().eq(other.cordoned_hosts()));
        let read = read_record(&write_record(&one)).unwrap();
        prop_assert!(read.into_iter().eq(one.entries()));
    }
}

#[test]
fn packets_of_another_group_or_version_are_counted_and_rejected() {
    let mut core = Membership::new(0, settings("a"), &[]);
    core.handle_datagram(
        1,
        &packet(group_id("other"), &sender("b", 5, 6), &Body::Gossip, &[]),
    );
    let mut later = some_packet();
    later[0] = 2;
    core.handle_datagram(1, &later);
    assert_eq!(
        Packet::read(group_id("g"), &later, MAX_BYTES),
        Err(PacketError::Version(2))
    );
    assert_eq!(
        (core.counters().other_group, core.counters().other_version),
        (1, 1)
    );
    assert_eq!(core.count(MemberState::Alive), 1);
    // An incarnation that the member could not refute any more.
    let out = packet(
        group_id("g"),
        &sender("b", 5, MAX_INCARNATION),
        &Body::Gossip,
        &[],
    );
    core.handle_datagram(1, &out);
    assert_eq!(
        (core.counters().undecodable, core.count(MemberState::Alive)),
        (1, 1)
    );
}

/// An order whose entries found no room is not in force, and must not be confirmed.
#[test]
fn an_order_without_room_in_the_cordon_set_is_not_confirmed() {
    let mut core = Membership::new(0, settings("a"), &[]);
    let entry = |number| {
        let tag = Tag {
            author: "b".into(),
            process_id: 1,
            number,
        };
        CordonEntry {
            host: format!("s-{number}"),
            tag,
            lifted: false,
        }
    };
    let full: Vec<CordonEntry> = (0..MAX_ENTRIES as u32).map(entry).collect();
    core.restore_record(0, &full);
    full.iter()
        .for_each(|entry| core.cordon_applied(0, &entry.host, true));
    core.take_actions();
    let order = |number: u32| {
        packet(
            group_id("g"),
            &sender("b", 5, 6),
            &Body::CordonOrder { number: 1 },
            &[Item::Cordon(entry(number))],
        )
    };
    let done = |core: &mut Membership| {
        core.take_actions().into_iter().any(|action| match action {
            Action::Send { bytes, .. } => {
                matches!(
                    Packet::read(group_id("g"), &bytes, MAX_BYTES).unwrap().body,
                    Body::CordonAck { .. }
                )
            }
            _ => false,
        })
    };
    core.handle_datagram(1, &order(7));
    assert!(done(&mut core), "an applied cordon is not confirmed");
    core.handle_datagram(1, &order(MAX_ENTRIES as u32));
    assert!(!done(&mut core));
}

#[test]
fn late_gossip_does_not_bring_back_a_forgotten_member() {
    let mut table = PeerTable::new(0, &["a".into(), "b".into()], "a");
    assert!(table.admit("z", 5, 0));
    let peer = table.peers.get_mut("z").unwrap();
    peer.incarnation = 5;
    peer.state = MemberState::Failed;
    table.remove_expired(11 * SECOND, 10 * SECOND);
    assert!(!table.peers.contains_key("z") && table.peers.contains_key("b"));
    assert!(!table.admit("z", 5, 12 * SECOND));
    assert!(table.admit("z", 6, 12 * SECOND));
    for i in 0..1000 {
        table.admit(&format!("invented-{i}"), 1, 0);
    }
    assert!(
        table.peers.len() < 70,
        "the number of invented names is not bounded"
    );
}

#[test]
fn drain_hints_stop_a_part_of_the_fleet_for_a_while_and_never_against_a_newer_list() {
    let mut hints = DrainHints::default();
    let announcement = |index| DrainAnnouncement {
        index,
        hosts: 8,
        leaving: Vec::new(),
    };
    hints.handle_announcement(&announcement(10), "a");
    let notice = |host: &str, index| DrainNotice {
        host: host.into(),
        index,
        by: "b".into(),
    };
    let stop = |host: &str| Some(HintTransition::Stop(host.into()));
    let release = |host: &str| HintTransition::Release(host.into());
    let mut transition = |host: &str, index| {
        hints
            .handle_notice(0, &notice(host, index), SECOND)
            .transition
    };
    assert_eq!(transition("s-1", 9), None, "older than the own list");
    assert_eq!(transition("s-2", 11), stop("s-2"));
    assert_eq!(transition("s-3", 11), stop("s-3"));
    assert_eq!(
        transition("s-4", 11),
        None,
        "a quarter of the fleet at most"
    );
    assert_eq!(hints.over_limit, 1);
    let repeated = hints.handle_notice(0, &notice("s-2", 11), 9 * SECOND);
    assert!(
        !repeated.is_new && repeated.transition.is_none(),
        "applied once"
    );
    assert!(hints.tick(SECOND / 2).is_empty());
    assert_eq!(hints.tick(SECOND), [release("s-2"), release("s-3")]);
    hints.handle_notice(SECOND, &notice("s-5", 12), 5 * SECOND);
    assert_eq!(
        hints
            .handle_announcement(&announcement(12), "a")
            .transitions,
        [release("s-5")],
        "its own list is as new"
    );
}

/// Otherwise a process that has a failed member's address now would be taken for it.
#[test]
fn a_ping_for_another_name_is_not_answered() {
    let mut core = Membership::new(0, settings("a"), &[]);
    for (to, answered) in [("a", true), ("c", false)] {
        let ping = Body::Ping {
            seq: 1,
            to: to.into(),
        };
        core.handle_datagram(1, &packet(group_id("g"), &sender("b", 5, 6), &ping, &[]));
        let acked = core.take_actions().into_iter().any(|action| match action {
            Action::Send { bytes, .. } => {
                matches!(
                    Packet::read(group_id("g"), &bytes, MAX_BYTES).unwrap().body,
                    Body::Ack { .. }
                )
            }
            _ => false,
        });
        assert_eq!(acked, answered, "{to}");
    }
    assert_eq!(core.counters().misdirected, 1);
}
