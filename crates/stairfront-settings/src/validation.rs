//! Values that are out of their range. In use, they would show only as strange decisions hours later.
use crate::document::{ClassDocument, Document, LimitsDocument, RulesDocument};
use crate::error::{InvalidValue, SettingsError};

/// A time beyond this, a day, is a mistaken unit.
const MAX_TIME_MS: f64 = 86_400_000.0;

impl Document {
    /// All values that are out of their range.
    pub(crate) fn invalid_values(&self) -> Vec<SettingsError> {
        let mut checks = vec![require(
            !self.classes.is_empty(),
            "profiles",
            InvalidValue::NoClass,
        )];
        for (position, class) in self.classes.iter().enumerate() {
            checks.extend(class_checks(position, class));
        }
        for (position, tenant) in self.tenants.iter().enumerate() {
            let key = format!("tenants[{position}].quota_rps");
            checks.push(non_negative(key, tenant.quota_per_s));
        }
        checks.push(time("tick", self.tick));
        checks.push(fraction("over_share_worth", self.over_share_weight));
        checks.extend(limit_checks(&self.limits));
        checks.extend(rule_checks(&self.rules));
        checks.push(non_negative("score_parts.slow_end", self.tail.weight));
        checks.push(fraction(
            "score_parts.borne_misses",
            self.tail.tolerated_fraction,
        ));
        checks.into_iter().flatten().collect()
    }
}

/// The error of one value, if it has one.
type Check = Option<SettingsError>;

fn class_checks(position: usize, class: &ClassDocument) -> [Check; 4] {
    let key = |name: &str| format!("profiles[{position}].{name}");
    [
        positive_time(key("aim"), class.latency_objective),
        positive_time(key("deadline"), class.deadline),
        time(key("key_ttl"), class.key_ttl),
        fraction(key("late_worth"), class.late_weight),
    ]
}

fn limit_checks(limits: &LimitsDocument) -> [Check; 5] {
    [
        time("caps.max_retry_after", limits.max_retry_after),
        time("caps.connect_timeout", limits.connect_timeout),
        positive_time("caps.keepalive", limits.idle_timeout),
        require(
            limits.max_open_requests > 0,
            "caps.open_cap",
            InvalidValue::Zero,
        ),
        require(
            limits.max_attempts > 0,
            "caps.most_tries",
            InvalidValue::Zero,
        ),
    ]
}

fn rule_checks(rules: &RulesDocument) -> [Check; 7] {
    [
        time("rules.answer_slack", rules.answer_slack),
        time("rules.ask_every", rules.poll_interval),
        time("rules.stop_sending_within", rules.drain_grace),
        time("rules.warm_up", rules.slow_start_window),
        time("rules.fall", rules.overload_window),
        fraction("rules.cold_from", rules.slow_start_floor),
        non_negative("rules.fall_multiple", rules.overload_multiple),
    ]
}

fn require(condition: bool, key: impl Into<String>, error: InvalidValue) -> Check {
    (!condition).then(|| SettingsError::new(key, error))
}

fn positive_time(key: impl Into<String>, ms: f64) -> Check {
    let valid = ms > 0.0 && ms <= MAX_TIME_MS;
    require(valid, key, InvalidValue::InvalidPositiveTime)
}

fn time(key: impl Into<String>, ms: f64) -> Check {
    let valid = (0.0..=MAX_TIME_MS).contains(&ms);
    require(valid, key, InvalidValue::InvalidTime)
}

fn fraction(key: impl Into<String>, value: f64) -> Check {
    let valid = (0.0..=1.0).contains(&value);
    require(valid, key, InvalidValue::InvalidFraction)
}

fn non_negative(key: impl Into<String>, value: f64) -> Check {
    let valid = value >= 0.0 && value.is_finite();
    require(valid, key, InvalidValue::Negative)
}
