//! Contradictions between keys: settings that mix two kinds of deployment.
//!
//! The settings alone define the deployment: who fetches, how the endpoint list arrives, what caches report, whether tail
//! latency counts. An unknown word, or a key left over from another deployment, would silently select a default.
use crate::document::Document;
use crate::error::{InvalidValue, SettingsError};

const MODES: &[&str] = &["aside", "through"];
const DISCOVERY_MODES: &[&str] = &["push", "ask"];
const REPORT_WAYS: &[&str] = &["inline", "on_probe", "off"];

impl Document {
    /// All contradictions.
    pub(crate) fn contradictions(&self) -> Vec<SettingsError> {
        let checks = [
            unknown_word("family_info.mode", &self.fetching.mode, MODES),
            unknown_word("registry_mode", &self.discovery, DISCOVERY_MODES),
            unknown_word("report.how", &self.report.how, REPORT_WAYS),
            self.unused_origin_kind(),
            self.unlisted_origin_kind(),
            self.missing_poll_interval(),
            self.unused_report_fields(),
            self.forbidden_health_checks(),
            self.missing_tolerated_fraction(),
            self.unlisted_zone(),
        ];
        checks.into_iter().flatten().collect()
    }

    fn unused_origin_kind(&self) -> Option<SettingsError> {
        let contradicts = self.fetching.mode != "aside" && self.fetching.origin_kind >= 0;
        contradicts
            .then(|| SettingsError::new("family_info.origin_kind", InvalidValue::OriginKindUnused))
    }

    fn unlisted_origin_kind(&self) -> Option<SettingsError> {
        let position = self.fetching.origin_kind;
        let length = self.kinds.len();
        let is_listed = usize::try_from(position).is_ok_and(|position| position < length);
        let contradicts =
            self.fetching.mode == "aside" && position >= 0 && length > 0 && !is_listed;
        contradicts.then(|| {
            let error = InvalidValue::OutsideList {
                position,
                length,
                list: "models",
            };
            SettingsError::new("family_info.origin_kind", error)
        })
    }

    fn missing_poll_interval(&self) -> Option<SettingsError> {
        let contradicts = self.discovery == "ask" && self.rules.poll_interval <= 0.0;
        contradicts
            .then(|| SettingsError::new("rules.ask_every", InvalidValue::PollIntervalMissing))
    }

    fn unused_report_fields(&self) -> Option<SettingsError> {
        let contradicts = self.report.how == "off" && !self.report.fields.is_empty();
        contradicts.then(|| SettingsError::new("report.fields", InvalidValue::ReportFieldsUnused))
    }

    fn forbidden_health_checks(&self) -> Option<SettingsError> {
        let contradicts = self.report.how == "on_probe" && !self.limits.may_probe;
        contradicts.then(|| SettingsError::new("report.how", InvalidValue::HealthChecksForbidden))
    }

    fn missing_tolerated_fraction(&self) -> Option<SettingsError> {
        let contradicts = self.tail.weight > 0.0 && self.tail.tolerated_fraction <= 0.0;
        contradicts.then(|| {
            SettingsError::new(
                "score_parts.borne_misses",
                InvalidValue::ToleratedFractionMissing,
            )
        })
    }

    fn unlisted_zone(&self) -> Option<SettingsError> {
        let length = self.zones.len();
        let contradicts = length > 0 && usize::from(self.zone) >= length;
        contradicts.then(|| {
            let error = InvalidValue::OutsideList {
                position: i64::from(self.zone),
                length,
                list: "areas",
            };
            SettingsError::new("locality", error)
        })
    }
}

/// An absent word selects the default.
fn unknown_word(key: &str, word: &str, allowed: &'static [&'static str]) -> Option<SettingsError> {
    let is_known = word.is_empty() || allowed.contains(&word);
    (!is_known).then(|| {
        let word = word.to_string();
        SettingsError::new(key, InvalidValue::UnknownWordOf { word, allowed })
    })
}
