//! What clients' commands are read against: the names and rules of classes and tenants in use.
use std::time::Duration;

use stairfront_policy::interface::{Class, ClassId, Micros, TenantId, SECOND};
use stairfront_settings::{Names, Retuned, Start};

use crate::clock::duration;

/// How long clients may name a class that the settings have no more: they hear of it a little later than the balancer.
const RETIRED: Micros = 2 * SECOND;

#[derive(Debug)]
pub struct RequestCatalog {
    names: Names,
    classes: Vec<Class>,
    retired: Vec<usize>,
    retired_until: Micros,
}

impl RequestCatalog {
    pub fn of(start: &Start) -> Self {
        RequestCatalog {
            names: start.names.clone(),
            classes: start.settings.classes.clone(),
            retired: Vec::new(),
            retired_until: 0,
        }
    }

    pub fn retuned(now: Micros, retuned: &Retuned) -> Self {
        RequestCatalog {
            retired: retuned.retired.clone(),
            retired_until: now + RETIRED,
            ..RequestCatalog::of(&retuned.start)
        }
    }

    /// Of all classes; none where there are none.
    pub fn longest_deadline(&self) -> Duration {
        duration(
            self.classes
                .iter()
                .map(|class| class.deadline)
                .max()
                .unwrap_or(0),
        )
    }

    /// A class by the name that a client gives it.
    pub fn class(&self, now: Micros, name: &[u8]) -> Option<(ClassId, &Class)> {
        let i = position(&self.names.classes, name)?;
        let over = self.retired.contains(&i) && now >= self.retired_until;
        let class = self.classes.get(i).filter(|_| !over)?;
        Some((ClassId(u8::try_from(i).ok()?), class))
    }

    /// A tenant that the settings do not know has no share; it is not mixed up with another's.
    pub fn tenant(&self, name: &[u8]) -> TenantId {
        let known = position(&self.names.tenants, name).and_then(|i| u32::try_from(i).ok());
        TenantId(known.unwrap_or(u32::MAX))
    }
}

fn position(names: &[String], name: &[u8]) -> Option<usize> {
    names.iter().position(|known| known.as_bytes() == name)
}
