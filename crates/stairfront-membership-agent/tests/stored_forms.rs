//! The file of the group's cordons and the configuration of a member have the forms of earlier versions.

use std::path::Path;

use stairfront_gossip_membership::{CordonEntry, CordonSet, Tag};
use stairfront_membership_agent::{CordonSetFile, MembershipSection};
use stairfront_test_support::golden::GoldenFiles;

const GROUP: &str = "north";
const NAME: &str = "b-1";

/// Asserts that a text is that of a golden file; returns the file's.
fn assert_text(file: &str, written: &str) -> String {
    let golden = GoldenFiles::of_crate(env!("CARGO_MANIFEST_DIR"));
    String::from_utf8(golden.assert_bytes(file, written.as_bytes())).unwrap()
}

fn entries() -> Vec<CordonEntry> {
    let tag = |author: &str, process_id, number| Tag {
        author: author.into(),
        process_id,
        number,
    };
    let mut entries = vec![
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
    ];
    entries.sort_by_key(|entry| (entry.host.clone(), entry.tag.clone()));
    entries
}

fn names_in(directory: &Path) -> Vec<String> {
    let files = std::fs::read_dir(directory).unwrap();
    let mut names: Vec<String> = files
        .map(|file| file.unwrap().file_name().into_string().unwrap())
        .collect();
    names.sort();
    names
}

#[test]
fn the_file_of_cordons_has_its_pinned_form_and_name() {
    let directory = tempfile::tempdir().unwrap();
    let mut cordons = CordonSet::default();
    cordons.merge(0, &entries()).unwrap();
    CordonSetFile::in_directory(Some(directory.path()), GROUP, NAME)
        .write(&cordons)
        .unwrap();
    let names = names_in(directory.path());
    assert_eq!(names.len(), 1, "{names:?}");
    let written = std::fs::read_to_string(directory.path().join(&names[0])).unwrap();
    let stored = assert_text("ledger_file.json", &written);
    let name = assert_text("ledger_file_name.txt", &names[0]);

    let earlier = tempfile::tempdir().unwrap();
    std::fs::write(earlier.path().join(&name), &stored).unwrap();
    let mut read = CordonSetFile::in_directory(Some(earlier.path()), GROUP, NAME).read();
    read.sort_by_key(|entry| (entry.host.clone(), entry.tag.clone()));
    assert_eq!(read, entries());
}

#[test]
fn the_configuration_of_a_member_has_its_pinned_form() {
    let full = MembershipSection {
        group: GROUP.into(),
        listen: "192.0.2.17:7946".parse().unwrap(),
        advertise: Some("[2001:db8::2]:7947".parse().unwrap()),
        seeds: vec![
            "192.0.2.4:7944".parse().unwrap(),
            "192.0.2.5:7945".parse().unwrap(),
        ],
        roster: vec!["b-1".into(), "b-2".into()],
        probe_interval_ms: Some(410.5),
        ack_timeout_ms: Some(150.25),
        min_suspicion_timeout_ms: Some(1001.0),
        push_pull_interval_ms: Some(10002.0),
        drain_hint_ttl_ms: Some(5003.0),
        forget_after_ms: Some(600004.0),
    };
    let minimal = MembershipSection {
        advertise: None,
        seeds: Vec::new(),
        probe_interval_ms: None,
        ack_timeout_ms: None,
        min_suspicion_timeout_ms: None,
        push_pull_interval_ms: None,
        drain_hint_ttl_ms: None,
        forget_after_ms: None,
        ..full.clone()
    };
    for (file, value) in [
        ("membership_full.json", &full),
        ("membership_least.json", &minimal),
    ] {
        let written = serde_json::to_string(value).unwrap();
        let stored = assert_text(file, &written);
        assert_eq!(
            serde_json::from_str::<MembershipSection>(&stored).unwrap(),
            *value,
            "{file}"
        );
    }
    // Keys with a default may be left out.
    let short = r#"{"group":"north","listen":"192.0.2.17:7946","roster":["b-1","b-2"]}"#;
    assert_eq!(
        serde_json::from_str::<MembershipSection>(short).unwrap(),
        minimal
    );
    assert!(serde_json::from_str::<MembershipSection>(&short.replace("group", "groups")).is_err());
}
