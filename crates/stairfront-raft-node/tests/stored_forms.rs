//! A voter's store as earlier code left it, and the JSON that operators write and read, as golden
//! files: a change of names must not change a byte.

use std::path::Path;

use redb::{Database, ReadableTable, TableDefinition, TableHandle};
use stairfront_raft::{
    Entry, HardState, IndexedEntry, Log, Payload, Ready, Recovered, Snapshot, Voter,
};
use stairfront_raft_node::{AgreementSection, Status, Store};
use stairfront_test_support::golden::GoldenFiles;

/// The tables by their names on the disk.
const HEAD: TableDefinition<&str, &[u8]> = TableDefinition::new("head");
const ENTRIES: TableDefinition<u64, &[u8]> = TableDefinition::new("entries");
const GROUP: &str = "grove";

fn golden() -> GoldenFiles {
    GoldenFiles::of_crate(env!("CARGO_MANIFEST_DIR"))
}

fn voter(name: &str, incarnation: u64) -> Voter {
    Voter {
        name: name.to_string(),
        incarnation,
    }
}

fn owner() -> Voter {
    voter("ash", 1001)
}

fn hard_state() -> HardState {
    HardState {
        term: 38,
        vote: Some(voter("birch", 1002)),
    }
}

fn snapshot() -> Snapshot {
    Snapshot {
        index: 20,
        term: 31,
        voters: vec![owner(), voter("birch", 1002), voter("cedar", 1003)],
        cluster_id: 43,
        data: vec![44, 45, 255],
    }
}

fn entries() -> Vec<Entry> {
    vec![
        Entry {
            term: 32,
            payload: Payload::Noop,
        },
        Entry {
            term: 33,
            payload: Payload::Command(vec![7, 8, 9, 200]),
        },
        Entry {
            term: 34,
            payload: Payload::Voters(vec![owner(), voter("doum", 1004)]),
        },
        Entry {
            term: 35,
            payload: Payload::Command(Vec::new()),
        },
    ]
}

fn write_store(path: &Path) {
    let (store, _) = Store::open(path, GROUP, owner()).unwrap();
    let append = (21..)
        .zip(entries())
        .map(|(index, entry)| IndexedEntry { index, entry })
        .collect();
    let ready = Ready {
        hard_state: Some(hard_state()),
        snapshot: Some(snapshot()),
        append,
        ..Ready::default()
    };
    store.save(&ready).unwrap();
}

fn rows(path: &Path) -> Vec<(String, Vec<u8>)> {
    let db = Database::open(path).unwrap();
    let read = db.begin_read().unwrap();
    let tables: Vec<String> = read
        .list_tables()
        .unwrap()
        .map(|table| table.name().to_string())
        .collect();
    assert_eq!(tables, ["entries", "head"]);
    let mut found = Vec::new();
    for row in read.open_table(HEAD).unwrap().iter().unwrap() {
        let (name, bytes) = row.unwrap();
        found.push((format!("head {}", name.value()), bytes.value().to_vec()));
    }
    for row in read.open_table(ENTRIES).unwrap().iter().unwrap() {
        let (index, bytes) = row.unwrap();
        found.push((format!("entries {}", index.value()), bytes.value().to_vec()));
    }
    found
}

fn write_rows(path: &Path, rows: &[(String, Vec<u8>)]) {
    let db = Database::create(path).unwrap();
    let write = db.begin_write().unwrap();
    for (label, bytes) in rows {
        match label.split_once(' ') {
            Some(("head", name)) => write
                .open_table(HEAD)
                .unwrap()
                .insert(name, &**bytes)
                .unwrap()
                .is_none(),
            Some(("entries", index)) => {
                let index: u64 = index.parse().unwrap();
                write
                    .open_table(ENTRIES)
                    .unwrap()
                    .insert(index, &**bytes)
                    .unwrap()
                    .is_none()
            }
            _ => panic!("{label:?} names no row"),
        };
    }
    write.commit().unwrap();
}

/// A store's file has 3 MB, whatever its content, so the golden file has its rows by table and key.
#[test]
fn the_store_of_earlier_code() {
    let dir = tempfile::tempdir().unwrap();
    let new = dir.path().join("new.redb");
    write_store(&new);
    let pinned = golden().assert_hex("store.hex", &rows(&new));

    let path = dir.path().join("old.redb");
    write_rows(&path, &pinned);
    let (store, recovered) = Store::open(&path, GROUP, voter("ash", 9)).unwrap();
    let Recovered { hard_state, log } = recovered;
    assert_eq!(store.voter(), &owner(), "another incarnation of the owner");
    assert_eq!(hard_state, self::hard_state());
    assert_eq!(log, Log::new(snapshot(), entries()));
}

#[test]
fn status_for_operators() {
    let texts = |some: &[&str]| some.iter().map(|text| text.to_string()).collect();
    let status = Status {
        role: "leads".to_string(),
        leader: Some("ash".to_string()),
        term: 71,
        committed: 72,
        voters: texts(&["birch", "cedar"]),
        missing_voters: texts(&["doum"]),
    };
    golden().assert_json("status.json", &status);
}

#[test]
fn agreement_in_a_configuration() {
    let voters = ["ash", "birch", "cedar"].map(str::to_string).to_vec();
    golden().assert_json(
        "configuration.json",
        &AgreementSection {
            voters,
            store: Some("voter.redb".into()),
        },
    );
}
