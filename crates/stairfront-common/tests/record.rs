//! What keeps a record of another version, or a torn one, from being taken for a good one.
use serde::Deserialize;
use stairfront_common::record::{read_versioned, RecordError};

#[derive(Debug, PartialEq, Deserialize)]
struct Names {
    names: Vec<String>,
}

#[test]
fn a_later_version_is_refused_even_if_its_fields_differ() {
    let read = read_versioned::<Names>(r#"{"version":2,"hosts":["a"]}"#, 1);
    assert!(matches!(
        read,
        Err(RecordError::Version { found: 2, known: 1 })
    ));
}

#[test]
fn a_torn_record_is_an_error_and_never_part_of_one() {
    let whole = r#"{"version":1,"names":["a","b"]}"#;
    assert_eq!(read_versioned::<Names>(whole, 1).unwrap().names, ["a", "b"]);
    for end in 0..whole.len() {
        assert!(
            matches!(
                read_versioned::<Names>(&whole[..end], 1),
                Err(RecordError::Json(_))
            ),
            "{end}"
        );
    }
}
