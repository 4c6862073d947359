//! Settings that take the place of others while requests are open. A request names its class and its tenant by position,
//! so classes keep theirs for as long as one of their requests may be under way.
use stairfront_policy::interface::Settings;

use crate::{Names, Start, Tenants};

/// Keys of the settings that a running balancer keeps: the lists of servers are read by them, and a place of its own
/// cannot change under way.
pub const NOT_RETUNED: [&str; 9] = [
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

/// Settings in place of those in use.
#[derive(Clone, Debug, PartialEq)]
pub struct Retuned {
    pub start: Start,
    /// Positions of classes that the file has no more. Clients that have not heard of it may name them for a while, and
    /// requests of theirs may be open.
    pub retired: Vec<usize>,
    pub tenants: Tenants,
}

impl Start {
    /// These settings as they follow those in use, of which `retired` classes were dropped before.
    pub fn following(self, in_use: &Start, retired: &[usize]) -> Retuned {
        let Start {
            settings: new,
            names,
            host,
        } = self;
        let (mut classes, mut class_names) = (
            in_use.settings.classes.clone(),
            in_use.names.classes.clone(),
        );
        let mut dropped: Vec<usize> = (0..classes.len())
            .filter(|i| !names.classes.contains(&class_names[*i]))
            .collect();
        // Those dropped by an earlier file are long over; the places of the latest are kept.
        let mut free: Vec<usize> = dropped
            .iter()
            .copied()
            .filter(|i| retired.contains(i))
            .collect();
        for (name, class) in names.classes.iter().zip(&new.classes) {
            match class_names
                .iter()
                .position(|known| known == name)
                .or_else(|| free.pop())
            {
                Some(i) => {
                    (class_names[i], classes[i]) = (name.clone(), *class);
                    dropped.retain(|other| *other != i);
                }
                None => {
                    class_names.push(name.clone());
                    classes.push(*class);
                }
            }
        }
        let was = |name: &String| in_use.names.tenants.iter().position(|known| known == name);
        let tenants = names.tenants.iter().map(was).collect();
        let kept = &in_use.settings;
        let settings = Settings {
            classes,
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
            classes: class_names,
            tenants: names.tenants,
            ..in_use.names.clone()
        };
        Retuned {
            start: Start {
                settings,
                names,
                host,
            },
            retired: dropped,
            tenants,
        }
    }
}
