//! Log records: the text that operators' pages quote and the simulator records.
use stairfront_policy::interface::{CacheId, LogRecord, Outcome, MS};

#[test]
fn log_records_have_the_text_that_pages_quote() {
    let cache = CacheId(0x2b07_4a12);
    let window = |window, outcome| LogRecord::ServerWindow {
        cache,
        window,
        outcome,
    };
    let cases = [
        (
            window(0.25, Outcome::ConnectFailed),
            "server 00002b074a12 rests, window 0.2 after ConnectFailed",
        ),
        (
            window(0.5, Outcome::Malformed),
            "server 00002b074a12 rests, window 0.5 after Malformed",
        ),
        (
            window(1.0, Outcome::Served),
            "server 00002b074a12 is in use, window 1.0 after Served",
        ),
        (
            LogRecord::IdleConnectionsLost { idle: 1_300 * MS },
            "connections idle for 1300 ms get lost",
        ),
        (
            LogRecord::OverShareShedding { active: true },
            "shedding over-share traffic starts",
        ),
        (
            LogRecord::OverShareShedding { active: false },
            "shedding over-share traffic ends",
        ),
        (
            LogRecord::MissRejection { active: true },
            "refusing most likely misses starts",
        ),
        (
            LogRecord::MissRejection { active: false },
            "refusing most likely misses ends",
        ),
    ];
    for (record, text) in cases {
        assert_eq!(record.to_string(), text);
    }
}
