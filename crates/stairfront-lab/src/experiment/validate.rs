//! Checks of an experiment that no type expresses. All errors are found at once, each with its key.
use stairfront_common::time::from_ms;
use stairfront_emulator::faults::FaultScript;
use stairfront_emulator::settings_error::SettingsError;

use super::{Experiment, InvalidSetting, Variant};
use crate::balancer_group::GroupSettings;

/// Keys that an entry under `faults` may have, whatever its kind.
const FAULT_KEYS: [&str; 10] = [
    "kind",
    "at_s",
    "lasts_s",
    "on",
    "part",
    "factor",
    "chance",
    "copies",
    "at_a_time",
    "each_s",
];
const BASELINES: [&str; 3] = ["random", "least-in-flight", "one-choice"];
const MAX_BALANCERS: usize = 64;
const MAX_MEMBERS: usize = 300;
const MAX_CACHES: usize = 5_000;
const MAX_RATE: f64 = 10_000_000.0;
const MAX_SECONDS: f64 = 86_400.0;
const MAX_DEADLINE_MS: f64 = 3_600_000.0;
const MAX_KNEE_STEPS: u32 = 20;

/// The errors found so far.
#[derive(Default)]
struct Errors {
    found: Vec<InvalidSetting>,
}

impl Errors {
    fn require(&mut self, valid: bool, key: &str, reason: &'static str) {
        if !valid {
            let key = key.to_string();
            self.found.push(InvalidSetting::Value { key, reason });
        }
    }

    fn check_model(&mut self, table: &'static str, checked: Result<(), SettingsError>) {
        if let Err(source) = checked {
            self.found.push(InvalidSetting::Model { table, source });
        }
    }
}

impl Experiment {
    /// All errors, in the order of the file's parts.
    pub(super) fn validate(&self) -> Vec<InvalidSetting> {
        let mut errors = Errors::default();
        self.check_runs(&mut errors);
        if let Some(group) = &self.group {
            self.check_group(group, &mut errors);
        }
        self.check_fleet(&mut errors);
        self.check_classes(&mut errors);
        for (i, variant) in self.variants.iter().enumerate() {
            check_variant(i, variant, &self.variants[..i], &mut errors);
        }
        self.check_knee(&mut errors);
        self.check_models(&mut errors);
        if let Err(error) = FaultScript::build(&self.faults, &self.stage(1), 1) {
            errors.found.push(error.into());
        }
        errors.found
    }

    fn check_runs(&self, errors: &mut Errors) {
        let valid = (0.1..=MAX_SECONDS).contains(&self.seconds);
        errors.require(valid, "seconds", "must be between 0.1 and a day");
        let valid = (0.0..self.seconds.max(0.1)).contains(&self.warm_up_s);
        errors.require(valid, "warm_up_s", "must be below seconds");
        errors.require(!self.seeds.is_empty(), "seeds", "at least one is needed");
        let valid = self
            .rates
            .iter()
            .all(|rate| (0.0..=MAX_RATE).contains(rate));
        errors.require(valid, "rates", "must be between 0 and 10,000,000 a second");
        errors.require(
            !self.variants.is_empty(),
            "variants",
            "at least one is needed",
        );
        let max = if self.group.is_some() {
            MAX_MEMBERS
        } else {
            MAX_BALANCERS
        };
        errors.require(
            (1..=max).contains(&self.balancers.count),
            "balancers.count",
            "must be between 1 and 64, 300 in a group",
        );
        let of_balancers = self
            .faults
            .iter()
            .any(|timed| timed.fault.affects_balancers());
        errors.require(
            self.group.is_none() || !of_balancers,
            "faults",
            "balancers of a group are troubled under [group] alone",
        );
    }

    fn check_group(&self, group: &GroupSettings, errors: &mut Errors) {
        let count = self.balancers.count;
        let mut touched = group
            .faults
            .iter()
            .flat_map(|timed| timed.fault.affected_members());
        errors.require(
            touched.all(|member| member < count),
            "group.troubles",
            "names a balancer that there is not; they are counted from 0",
        );
        let mut times = group.faults.iter();
        errors.require(
            times.all(|timed| timed.at_ms >= 0.0 && timed.duration_ms >= 0.0),
            "group.troubles",
            "at_ms and lasts_ms must be 0 or more",
        );
        let ends = self
            .seeds
            .iter()
            .map(|seed| group.script(*seed, count).end());
        let last = ends.max().unwrap_or(0);
        errors.require(
            from_ms(self.seconds * 1e3) - last >= group.time_after_faults(),
            "seconds",
            "must leave whole_again_s and one more after the last trouble",
        );
    }

    fn check_fleet(&self, errors: &mut Errors) {
        errors.require(
            (1..=MAX_CACHES).contains(&self.fleet.caches),
            "fleet.caches",
            "must be between 1 and 5,000",
        );
        let zones = &self.fleet.zones;
        errors.require(!zones.is_empty(), "fleet.zones", "at least one is needed");
        let speeds = &self.fleet.speeds;
        errors.require(
            !speeds.is_empty() && speeds.iter().all(|speed| (0.01..=100.0).contains(speed)),
            "fleet.speeds",
            "at least one is needed, each between 0.01 and 100",
        );
    }

    fn check_classes(&self, errors: &mut Errors) {
        errors.require(
            !self.classes.is_empty(),
            "classes",
            "at least one is needed",
        );
        for (i, class) in self.classes.iter().enumerate() {
            let valid = class.latency_objective_ms > 0.0
                && class.deadline_ms >= class.latency_objective_ms
                && class.deadline_ms <= MAX_DEADLINE_MS;
            errors.require(
                valid,
                &format!("classes[{i}].deadline_ms"),
                "must be at least aim_ms, and that above 0",
            );
        }
    }

    fn check_knee(&self, errors: &mut Errors) {
        if let Some(knee) = &self.knee {
            errors.require(
                knee.from >= 1.0 && knee.p99_ms > 0.0 && knee.steps <= MAX_KNEE_STEPS,
                "knee",
                "needs from of 1 or more, p99_ms above 0 and steps of 20 at most",
            );
        }
    }

    /// Checks the settings of servers and clients, which know their own ranges.
    fn check_models(&self, errors: &mut Errors) {
        errors.check_model("fleet.cache", self.fleet.cache.validate());
        errors.check_model("fleet.origin", self.fleet.origin.validate());
        errors.check_model("clients.traffic", self.clients.traffic.validate());
        if let Err(error) = self.clients.behavior.validate() {
            errors.found.push(InvalidSetting::Behavior(error));
        }
        errors.require(
            self.clients.traffic.classes.len() <= self.classes.len(),
            "clients.traffic.classes",
            "has more parts than there are classes",
        );
    }
}

fn check_variant(i: usize, variant: &Variant, before: &[Variant], errors: &mut Errors) {
    let key = format!("variants[{i}].baseline");
    let baseline = variant.baseline.as_deref();
    errors.require(
        baseline.is_none_or(|name| BASELINES.contains(&name)),
        &key,
        "must be one of random, least-in-flight, one-choice",
    );
    let chosen = [
        variant.baseline.is_some(),
        variant.program.is_some(),
        variant.direct,
    ];
    errors.require(
        chosen.into_iter().filter(|chosen| *chosen).count() <= 1,
        &key,
        "only one of baseline, program and direct can stand in a variant",
    );
    let twice = before.iter().any(|other| other.name == variant.name);
    errors.require(!twice, &format!("variants[{i}].name"), "stands twice");
}

/// Unknown keys under `faults`, which serde cannot reject there since the kinds are flattened.
pub(super) fn unknown_fault_keys(experiment: &toml::Table) -> Vec<InvalidSetting> {
    let faults = experiment.get("faults").and_then(toml::Value::as_array);
    let mut found = Vec::new();
    for (index, entry) in faults.into_iter().flatten().enumerate() {
        let keys = entry.as_table().into_iter().flat_map(|table| table.keys());
        let unknown = keys.filter(|key| !FAULT_KEYS.contains(&key.as_str()));
        found.extend(unknown.map(|key| InvalidSetting::UnknownFaultKey {
            index,
            key: key.clone(),
        }));
    }
    found
}
