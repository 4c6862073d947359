//! Errors in settings, each with its key.

/// An error in the settings.
#[derive(Debug, thiserror::Error)]
#[error("{key}: {error}")]
pub struct SettingsError {
    /// Path of the key, as in `profiles[0].aim`.
    pub key: String,
    /// The error at this key.
    #[source]
    pub error: InvalidValue,
}

impl SettingsError {
    pub(crate) fn new(key: impl Into<String>, error: InvalidValue) -> Self {
        SettingsError {
            key: key.into(),
            error,
        }
    }
}

/// Why the value of a key is not accepted.
#[derive(Debug, thiserror::Error)]
pub enum InvalidValue {
    /// The text is no JSON, a key is absent, or a value has another type.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The value is none of the words of this key.
    #[error("unknown word {0:?}")]
    UnknownWord(String),
    /// The value is none of the words of this key, which are few.
    #[error("unknown word {word:?}, one of {allowed:?} is meant")]
    UnknownWordOf {
        /// The value.
        word: String,
        /// The words of this key.
        allowed: &'static [&'static str],
    },
    /// A list of classes is empty.
    #[error("at least one class is needed")]
    NoClass,
    /// A time is negative or longer than a day.
    #[error("must be a time in milliseconds, a day at most")]
    InvalidTime,
    /// A time is not positive, or longer than a day.
    #[error("must be a time in milliseconds above 0, a day at most")]
    InvalidPositiveTime,
    /// A fraction is not between 0 and 1.
    #[error("must be between 0 and 1")]
    InvalidFraction,
    /// A number is negative or not finite.
    #[error("must be 0 or more")]
    Negative,
    /// A number is zero.
    #[error("must be above 0")]
    Zero,
    /// The balancer fetches from an origin, whose machine kind is absent.
    #[error("mode aside needs an origin kind")]
    OriginKindMissing,
    /// An origin's machine kind is given, but the caches fetch.
    #[error("caches fetch by themselves, no origin is listed")]
    OriginKindUnused,
    /// A position is outside the list of another key.
    #[error("{position} is none of the {length} {list}")]
    OutsideList {
        /// The position.
        position: i64,
        /// Length of the list.
        length: usize,
        /// Key of the list.
        list: &'static str,
    },
    /// The endpoint list is polled, but the interval is absent.
    #[error("must be above 0 where the list is asked for")]
    PollIntervalMissing,
    /// Fields of load reports are named, but there are no reports.
    #[error("report.how says that nothing is reported")]
    ReportFieldsUnused,
    /// Load reports arrive with health checks, which are forbidden.
    #[error("reports come with probes, which caps.probes forbids")]
    HealthChecksForbidden,
    /// Tail latency has a weight, but the tolerated fraction is absent.
    #[error("must be above 0 where slow_end has a weight")]
    ToleratedFractionMissing,
}
