//! From the settings object to the policy's settings.
use stairfront_common::time::from_ms;
use stairfront_policy::interface::{
    CacheMode, Class, DeduplicationScope, DiscoveryMode, Idempotency, Kind, Limits, ReportField,
    Rules, Settings, TailLatency, Tenant, Zone,
};

use crate::document::{
    ClassDocument, Document, FetchingDocument, LimitsDocument, RulesDocument, TenantDocument,
};
use crate::error::{InvalidValue, SettingsError};
use crate::{HostLimits, LoadedSettings, Names};

impl Document {
    /// The settings that the object defines; its values have been checked before.
    pub(crate) fn convert(&self) -> Result<LoadedSettings, SettingsError> {
        let mode = self.fetching.cache_mode()?;
        let classes = self
            .classes
            .iter()
            .enumerate()
            .map(|(position, class)| class.convert(position))
            .collect::<Result<Vec<_>, _>>()?;
        Ok(LoadedSettings {
            settings: self.settings(mode, classes),
            names: self.names(),
            host: HostLimits {
                max_open_requests: self.limits.max_open_requests,
                idle_timeout: from_ms(self.limits.idle_timeout),
            },
        })
    }

    fn names(&self) -> Names {
        let classes = self.classes.iter().map(|class| class.name.clone());
        let tenants = self.tenants.iter().map(|tenant| tenant.name.clone());
        Names {
            classes: classes.collect(),
            tenants: tenants.collect(),
            zones: self.zones.clone(),
            kinds: self.kinds.clone(),
            report: self.report.fields.clone(),
        }
    }

    fn settings(&self, mode: CacheMode, classes: Vec<Class>) -> Settings {
        let report = self.report.fields.iter().map(|name| report_field(name));
        Settings {
            instance: self.instance,
            balancers: self.balancers.max(1),
            zone: Zone(self.zone),
            tick: from_ms(self.tick),
            mode,
            discovery: if self.discovery == "ask" {
                DiscoveryMode::Poll
            } else {
                DiscoveryMode::Push
            },
            classes,
            tenants: self.tenants.iter().map(TenantDocument::convert).collect(),
            over_share_weight: self.over_share_weight,
            tail: TailLatency {
                weight: self.tail.weight,
                tolerated_fraction: self.tail.tolerated_fraction,
            },
            limits: self.limits.convert(),
            rules: self.rules.convert(),
            report: report.collect(),
            sized: !matches!(self.weights.as_str(), "off" | "none" | ""),
        }
    }
}

impl FetchingDocument {
    fn cache_mode(&self) -> Result<CacheMode, SettingsError> {
        if self.mode != "aside" {
            return Ok(CacheMode::Through);
        }
        let origin = u16::try_from(self.origin_kind).map_err(|_| {
            SettingsError::new("family_info.origin_kind", InvalidValue::OriginKindMissing)
        })?;
        Ok(CacheMode::Aside {
            origin: Kind(origin),
        })
    }
}

impl ClassDocument {
    fn convert(&self, position: usize) -> Result<Class, SettingsError> {
        Ok(Class {
            idempotency: self.idempotency(position)?,
            latency_objective: from_ms(self.latency_objective),
            deadline: from_ms(self.deadline),
            priority_weight: self.priority_weight,
            late_weight: self.late_weight,
            stream: self.stream,
        })
    }

    fn idempotency(&self, position: usize) -> Result<Idempotency, SettingsError> {
        match self.idempotency.as_str() {
            "free" => Ok(Idempotency::Idempotent),
            "single_shot" => Ok(Idempotency::NotIdempotent),
            "guarded" => Ok(Idempotency::Keyed {
                key_ttl: from_ms(self.key_ttl),
                scope: self.scope(position)?,
            }),
            other => Err(unknown_word(position, "semantics", other)),
        }
    }

    fn scope(&self, position: usize) -> Result<DeduplicationScope, SettingsError> {
        match self.scope.as_str() {
            "all" => Ok(DeduplicationScope::All),
            "zone" => Ok(DeduplicationScope::Zone),
            "cell" => Ok(DeduplicationScope::Cell),
            other => Err(unknown_word(position, "group", other)),
        }
    }
}

fn unknown_word(position: usize, key: &str, word: &str) -> SettingsError {
    let key = format!("profiles[{position}].{key}");
    SettingsError::new(key, InvalidValue::UnknownWord(word.to_string()))
}

impl TenantDocument {
    fn convert(&self) -> Tenant {
        Tenant {
            quota_per_s: self.quota_per_s,
            share: self.share,
        }
    }
}

impl LimitsDocument {
    fn convert(&self) -> Limits {
        Limits {
            max_attempts: self.max_attempts,
            may_hedge: self.may_hedge,
            may_cancel: self.may_cancel,
            may_probe: self.may_probe,
            may_gossip: self.may_gossip,
            max_retry_after: if self.retry_after {
                from_ms(self.max_retry_after)
            } else {
                0
            },
            connect_timeout: from_ms(self.connect_timeout),
        }
    }
}

impl RulesDocument {
    fn convert(&self) -> Rules {
        Rules {
            answer_slack: from_ms(self.answer_slack),
            poll_interval: from_ms(self.poll_interval),
            drain_grace: from_ms(self.drain_grace),
            removal_is_advisory: self.removal_is_advisory,
            slow_start_floor: self.slow_start_floor,
            slow_start_window: from_ms(self.slow_start_window),
            overload_multiple: self.overload_multiple,
            overload_window: from_ms(self.overload_window),
        }
    }
}

fn report_field(name: &str) -> ReportField {
    match name {
        "outstanding" => ReportField::Outstanding,
        "backlog" => ReportField::Backlog,
        "utilization" => ReportField::Utilization,
        "recent_ms" => ReportField::RecentMs,
        "throughput" => ReportField::Throughput,
        "errors_per_s" => ReportField::ErrorsPerS,
        _ => ReportField::Other,
    }
}
