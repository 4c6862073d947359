//! New settings in place of those in use, while requests are open.
//!
//! A request names its class and its tenant by position. So a class keeps its position for as long as a request of it may
//! be open.
use stairfront_policy::interface::{Class, Settings};

use crate::{LoadedSettings, Names};

/// Keys of the settings that a running balancer keeps. The endpoint lists are read by them, and a balancer cannot change
/// its own place while it runs.
pub const FIXED_KEYS: [&str; 9] = [
    "me",
    "replicas_of_me",
    "locality",
    "areas",
    "models",
    "registry_mode",
    "weights",
    "report",
    "family_info",
];

/// Settings that replace those in use.
#[derive(Clone, Debug, PartialEq)]
pub struct SettingsUpdate {
    /// The settings to use from now on.
    pub loaded: LoadedSettings,
    /// Positions of classes that the new settings lack. Clients that do not know of it may name them for a while, and
    /// requests of theirs may be open.
    pub retired_classes: Vec<usize>,
    /// For each tenant, its position in the settings before, if it was there.
    pub former_tenants: Vec<Option<usize>>,
}

impl LoadedSettings {
    /// Puts these settings in the place of those in use, from which `retired_classes` were dropped earlier.
    #[must_use]
    pub fn replacing(self, in_use: &LoadedSettings, retired_classes: &[usize]) -> SettingsUpdate {
        let LoadedSettings {
            settings: new,
            names,
            host,
        } = self;
        let former_tenants = names.tenants.iter().map(|name| {
            let mut former = in_use.names.tenants.iter();
            former.position(|known| known == name)
        });
        let former_tenants = former_tenants.collect();
        let mut table = ClassTable::of(in_use, &names.classes, retired_classes);
        for (name, class) in names.classes.iter().zip(&new.classes) {
            table.assign(name, *class);
        }
        let kept = &in_use.settings;
        let settings = Settings {
            classes: table.classes,
            instance: kept.instance,
            balancers: kept.balancers,
            zone: kept.zone,
            mode: kept.mode,
            discovery: kept.discovery,
            report: kept.report.clone(),
            sized: kept.sized,
            ..new
        };
        let names = Names {
            classes: table.names,
            tenants: names.tenants,
            ..in_use.names.clone()
        };
        SettingsUpdate {
            loaded: LoadedSettings {
                settings,
                names,
                host,
            },
            retired_classes: table.dropped,
            former_tenants,
        }
    }
}

/// The classes by position, while new ones are assigned theirs.
struct ClassTable {
    classes: Vec<Class>,
    names: Vec<String>,
    /// Positions of classes that the new settings lack.
    dropped: Vec<usize>,
    /// Those of them that can be used again.
    free: Vec<usize>,
}

impl ClassTable {
    fn of(in_use: &LoadedSettings, new_names: &[String], retired: &[usize]) -> Self {
        let names = in_use.names.classes.clone();
        let classes = in_use.settings.classes.clone();
        let dropped: Vec<usize> = (0..classes.len())
            .filter(|position| !new_names.contains(&names[*position]))
            .collect();
        // Requests of classes that were dropped earlier have ended; positions dropped just now may still be named.
        let free = dropped
            .iter()
            .copied()
            .filter(|position| retired.contains(position))
            .collect();
        ClassTable {
            classes,
            names,
            dropped,
            free,
        }
    }

    /// Sets a class at its position in use, at a free one, or at the end.
    fn assign(&mut self, name: &String, class: Class) {
        let in_use = self.names.iter().position(|known| known == name);
        match in_use.or_else(|| self.free.pop()) {
            Some(position) => {
                self.names[position].clone_from(name);
                self.classes[position] = class;
                self.dropped.retain(|other| *other != position);
            }
            None => {
                self.names.push(name.clone());
                self.classes.push(class);
            }
        }
    }
}
