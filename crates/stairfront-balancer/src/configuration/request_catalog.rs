//! The catalog against which clients' commands are read: the names and rules of the classes and tenants in use.
use std::time::Duration;

use stairfront_common::time::{Micros, SECOND};
use stairfront_policy::interface::{Class, ClassId, TenantId};
use stairfront_settings::{LoadedSettings, Names, SettingsUpdate};

use crate::clock::timer_duration;

/// How long clients may name a class that the settings have no more: they learn of its end a little later than the
/// balancer.
const RETIRED_TTL: Micros = 2 * SECOND;

/// The classes and tenants that a command may name.
#[derive(Debug)]
pub struct RequestCatalog {
    names: Names,
    classes: Vec<Class>,
    /// Positions of the classes that the settings have no more.
    retired: Vec<usize>,
    retired_until: Micros,
}

impl RequestCatalog {
    /// The catalog of the settings at a start.
    pub fn of(start: &LoadedSettings) -> Self {
        RequestCatalog {
            names: start.names.clone(),
            classes: start.settings.classes.clone(),
            retired: Vec::new(),
            retired_until: 0,
        }
    }

    /// The catalog of new settings that are taken over at `now`.
    pub fn retuned(now: Micros, retuned: &SettingsUpdate) -> Self {
        RequestCatalog {
            retired: retuned.retired_classes.clone(),
            retired_until: now + RETIRED_TTL,
            ..RequestCatalog::of(&retuned.loaded)
        }
    }

    /// The longest deadline of all classes; zero where there are none.
    pub fn longest_deadline(&self) -> Duration {
        let deadlines = self.classes.iter().map(|class| class.deadline);
        timer_duration(deadlines.max().unwrap_or(0))
    }

    /// A class by the name that a client gives it.
    pub fn class(&self, now: Micros, name: &[u8]) -> Option<(ClassId, &Class)> {
        let i = position(&self.names.classes, name)?;
        if self.retired.contains(&i) && now >= self.retired_until {
            return None;
        }
        let class = self.classes.get(i)?;
        Some((ClassId(u8::try_from(i).ok()?), class))
    }

    /// A tenant by its name. One that the settings do not know has no quota, and is not confused with another.
    pub fn tenant(&self, name: &[u8]) -> TenantId {
        let known = position(&self.names.tenants, name).and_then(|i| u32::try_from(i).ok());
        TenantId(known.unwrap_or(u32::MAX))
    }
}

fn position(names: &[String], name: &[u8]) -> Option<usize> {
    names.iter().position(|known| known.as_bytes() == name)
}
