//! Which shape of deployment is in force follows from the settings alone: who fetches, how the list comes, what caches
//! report, how the slow end counts. Here stands what says two of them at once, which is how a move half done looks. Only the
//! program asks; the simulator's wire is taken as it comes.
use crate::{Raw, SettingsError};

impl Raw {
    /// Danger: an unknown word or a key left over from another shape would silently put the default in force.
    pub(crate) fn mixes(&self) -> Vec<SettingsError> {
        let (mode, kind) = (self.family_info.mode.as_str(), self.family_info.origin_kind);
        let kinds = self.models.len();
        let listed = usize::try_from(kind).is_ok_and(|kind| kind < kinds);
        let (how, fields) = (self.report.how.as_str(), &self.report.fields);
        let parts = &self.score_parts;
        let checks = [
            known("family_info.mode", mode, &["aside", "through"]),
            known("registry_mode", &self.registry_mode, &["push", "ask"]),
            known("report.how", how, &["inline", "on_probe", "off"]),
            (mode != "aside" && kind >= 0).then(|| {
                (
                    "family_info.origin_kind",
                    "caches fetch by themselves, no origin is listed".into(),
                )
            }),
            (mode == "aside" && kind >= 0 && kinds > 0 && !listed).then(|| {
                (
                    "family_info.origin_kind",
                    format!("{kind} is none of the {kinds} models"),
                )
            }),
            (self.registry_mode == "ask" && self.rules.ask_every <= 0.0).then(|| {
                (
                    "rules.ask_every",
                    "must be above 0 where the list is asked for".into(),
                )
            }),
            (how == "off" && !fields.is_empty()).then(|| {
                (
                    "report.fields",
                    "report.how says that nothing is reported".into(),
                )
            }),
            (how == "on_probe" && !self.caps.probes).then(|| {
                (
                    "report.how",
                    "reports come with probes, which caps.probes forbids".into(),
                )
            }),
            (parts.slow_end > 0.0 && parts.borne_misses <= 0.0).then(|| {
                (
                    "score_parts.borne_misses",
                    "must be above 0 where slow_end has a weight".into(),
                )
            }),
            (!self.areas.is_empty() && usize::from(self.locality) >= self.areas.len()).then(|| {
                (
                    "locality",
                    format!(
                        "{} is none of the {} areas",
                        self.locality,
                        self.areas.len()
                    ),
                )
            }),
        ];
        checks
            .into_iter()
            .flatten()
            .map(|(key, problem)| SettingsError::new(key, problem))
            .collect()
    }
}

/// An absent word stands for the default.
fn known(key: &'static str, word: &str, words: &[&str]) -> Option<(&'static str, String)> {
    let unknown = !word.is_empty() && !words.contains(&word);
    unknown.then(|| {
        (
            key,
            format!("unknown word {word:?}, one of {words:?} is meant"),
        )
    })
}
