//! Names are remembered in a bound, and the bound forgets nobody who matters; records are read whole or not at all.
use stairfront_admin_api::{cordon_record, HostRegistry, UnknownHost};
use stairfront_policy::interface::CacheId;

#[test]
fn a_long_day_of_new_ids_pushes_out_neither_live_nor_cordoned_names() {
    let mut registry = HostRegistry::default();
    let (live, out, back) = (CacheId(1), CacheId(2), CacheId(3));
    for id in [live, out, back] {
        registry.note_listed(id);
    }
    let is_listed = |id: CacheId| id == live || id == back;
    registry.cordon(out, "s-2").unwrap();
    registry.note_unlisted(out, is_listed);
    registry.note_unlisted(back, is_listed);
    for id in 10..100_000 {
        registry.note_listed(CacheId(id));
        registry.note_unlisted(CacheId(id), is_listed);
    }
    assert!(registry.is_cordoned(out));
    assert_eq!(registry.uncordon(out), Ok(true));
    assert_eq!(
        (registry.cordon(live, "s-1"), registry.cordon(back, "s-3")),
        (Ok(true), Ok(true))
    );
    assert_eq!(
        registry.cordon(CacheId(99_999), "late"),
        Ok(true),
        "one that has just left is known"
    );
    assert_eq!(
        registry.cordon(CacheId(10), "early"),
        Err(UnknownHost),
        "the bound holds"
    );
    assert_eq!(registry.cordon(CacheId(5), "never"), Err(UnknownHost));
}

#[test]
fn a_record_is_read_whole_or_not_at_all() {
    let whole = cordon_record::write(["s-1", "s \"2\""].into_iter());
    assert_eq!(cordon_record::read(&whole).unwrap(), ["s-1", "s \"2\""]);
    for end in 0..whole.len() {
        assert!(
            cordon_record::read(&whole[..end]).is_err(),
            "{}",
            &whole[..end]
        );
    }
    assert!(cordon_record::read(r#"{"version":2,"cordoned":["s-1"]}"#).is_err());
    assert!(cordon_record::read("rubbish").is_err());
}
