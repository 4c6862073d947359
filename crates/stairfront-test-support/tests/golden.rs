//! The golden files' own guards: a changed byte, a swapped case and a torn file fail.
use std::panic::catch_unwind;

use stairfront_test_support::golden::{from_hex, to_hex, GoldenFiles};

fn files(content: &str) -> (tempfile::TempDir, GoldenFiles) {
    let folder = tempfile::tempdir().unwrap();
    std::fs::create_dir_all(folder.path().join("tests/golden")).unwrap();
    std::fs::write(folder.path().join("tests/golden/form"), content).unwrap();
    let files = GoldenFiles::of_crate(folder.path().to_str().unwrap());
    (folder, files)
}

#[test]
fn a_changed_field_order_fails_although_it_can_be_read() {
    let (_folder, golden) = files("{\"a\":1,\"b\":2}\n");
    #[derive(serde::Serialize, serde::Deserialize, PartialEq, Debug)]
    struct Reordered {
        b: u8,
        a: u8,
    }
    let value = Reordered { a: 1, b: 2 };
    assert!(catch_unwind(|| golden.assert_json("form", &value)).is_err());
}

#[test]
fn a_swapped_variant_fails() {
    let (_folder, golden) = files("# first\n00\n# second\n01\n");
    golden.assert_postcard("form", &[("first", false), ("second", true)]);
    assert!(
        catch_unwind(|| golden.assert_postcard("form", &[("first", true), ("second", false)]))
            .is_err()
    );
    assert!(catch_unwind(|| golden.assert_postcard("form", &[("first", false)])).is_err());
}

#[test]
fn bytes_that_no_value_takes_fail() {
    let (_folder, golden) = files("# first\n0000\n");
    assert!(catch_unwind(|| golden.assert_postcard("form", &[("first", false)])).is_err());
}

#[test]
fn hexadecimal_cases_are_read_as_they_were_written() {
    let cases = vec![
        ("empty".to_string(), vec![]),
        ("long".to_string(), (0..=255).collect::<Vec<u8>>()),
    ];
    assert_eq!(from_hex(&to_hex(&cases)), cases);
    assert!(catch_unwind(|| from_hex("# cut\n0")).is_err());
}
