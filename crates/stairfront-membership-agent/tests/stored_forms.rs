//! The file of the group's cordons and the configuration of a member are what earlier versions wrote and read.
mod golden;

use std::path::Path;

use golden::Golden;
use stairfront_gossip_membership::{CordonEntry, CordonSet, Tag};
use stairfront_membership_agent::{CordonSetFile, MembershipSection};

const GROUP: &str = "north";
const ME: &str = "b-1";

fn entries() -> Vec<CordonEntry> {
    let tag = |author: &str, run, number| Tag {
        author: author.into(),
        run,
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
        CordonSet::planned("s-3", 7_000_000_003, 403),
    ];
    entries.sort_by_key(|entry| (entry.host.clone(), entry.tag.clone()));
    entries
}

fn names_in(folder: &Path) -> Vec<String> {
    let files = std::fs::read_dir(folder).unwrap();
    let mut names: Vec<String> = files
        .map(|file| file.unwrap().file_name().into_string().unwrap())
        .collect();
    names.sort();
    names
}

#[test]
fn the_file_of_the_groups_cordons_is_as_pinned_under_the_pinned_name() {
    let mut golden = Golden::default();
    let folder = tempfile::tempdir().unwrap();
    let mut ledger = CordonSet::default();
    ledger.merge(0, &entries()).unwrap();
    CordonSetFile::within(Some(folder.path()), GROUP, ME)
        .write(&ledger)
        .unwrap();
    let names = names_in(folder.path());
    assert_eq!(names.len(), 1, "{names:?}");
    let written = std::fs::read_to_string(folder.path().join(&names[0])).unwrap();
    let stored = golden.text("ledger_file.json", &written);
    let name = golden.text("ledger_file_name.txt", &names[0]);

    let earlier = tempfile::tempdir().unwrap();
    std::fs::write(earlier.path().join(&name), &stored).unwrap();
    let mut read = CordonSetFile::within(Some(earlier.path()), GROUP, ME).read();
    read.sort_by_key(|entry| (entry.host.clone(), entry.tag.clone()));
    assert_eq!(read, entries());
    assert_eq!(names, [name]);
    assert_eq!(written, stored);
}

#[test]
fn the_configuration_of_a_member_is_as_pinned() {
    let mut golden = Golden::default();
    let full = MembershipSection {
        group: GROUP.into(),
        listen: "192.0.2.17:7946".parse().unwrap(),
        advertise: Some("[2001:db8::2]:7947".parse().unwrap()),
        seeds: vec![
            "192.0.2.4:7944".parse().unwrap(),
            "192.0.2.5:7945".parse().unwrap(),
        ],
        roster: vec!["b-1".into(), "b-2".into()],
        probe_ms: Some(410.5),
        answer_ms: Some(150.25),
        suspicion_ms: Some(1001.0),
        exchange_ms: Some(10002.0),
        hearsay_ms: Some(5003.0),
        forget_ms: Some(600004.0),
    };
    let least = MembershipSection {
        advertise: None,
        seeds: Vec::new(),
        probe_ms: None,
        answer_ms: None,
        suspicion_ms: None,
        exchange_ms: None,
        hearsay_ms: None,
        forget_ms: None,
        ..full.clone()
    };
    for (file, value) in [
        ("membership_full.json", &full),
        ("membership_least.json", &least),
    ] {
        let written = serde_json::to_string(value).unwrap();
        let stored = golden.text(file, &written);
        assert_eq!(
            serde_json::from_str::<MembershipSection>(&stored).unwrap(),
            *value,
            "{file}"
        );
        assert_eq!(written, stored, "{file}");
    }
    // As people write it: what has a default is left out.
    let short = r#"{"group":"north","listen":"192.0.2.17:7946","roster":["b-1","b-2"]}"#;
    assert_eq!(
        serde_json::from_str::<MembershipSection>(short).unwrap(),
        least
    );
    assert!(serde_json::from_str::<MembershipSection>(&short.replace("group", "groups")).is_err());
}
