//! The settings that a balancer is started with, by the simulator and as a program: read, checked and completed with
//! defaults here and nowhere else.
//!
//! [`LoadedSettings`] is the result, with the policy's [`Settings`] and the names of the numbers in them. Unknown keys are
//! ignored, absent optional ones get their documented default, and an error names its key ([`SettingsError`]).
//! [`LoadedSettings::replacing`] combines new settings with those in use while requests are open.
//!
//! The crate knows the keys of the settings and their units. It reads no file, and decides nothing.
mod contradictions;
mod convert;
mod document;
mod error;
mod update;
mod validation;

use stairfront_policy::interface::{Micros, Settings};

pub use self::error::{InvalidValue, SettingsError};
pub use self::update::{SettingsUpdate, FIXED_KEYS};

use self::document::Document;

/// Names of the policy's numbers, as the settings, the endpoint list and clients use them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Names {
    /// Names of the classes, by `ClassId`.
    pub classes: Vec<String>,
    /// Names of the tenants, by `TenantId`.
    pub tenants: Vec<String>,
    /// Names of the zones, by `Zone`.
    pub zones: Vec<String>,
    /// Names of the machine kinds, by `Kind`.
    pub kinds: Vec<String>,
    /// Fields of a load report, in the order of `Settings::report`.
    pub report: Vec<String>,
}

/// Limits that the driver of a policy keeps by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostLimits {
    /// Most requests open at once.
    pub max_open_requests: usize,
    /// Time after which a server closes an idle connection.
    pub idle_timeout: Micros,
}

/// Everything that the settings define.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadedSettings {
    /// The policy's settings.
    pub settings: Settings,
    /// Names of the numbers in them.
    pub names: Names,
    /// Limits of the policy's driver.
    pub host: HostLimits,
}

impl LoadedSettings {
    /// Reads settings as the simulator sends them, in JSON.
    ///
    /// # Errors
    ///
    /// The first error that the settings have. Contradictions between keys are none here: the simulator's settings are
    /// taken as they come.
    pub fn from_text(text: &str) -> Result<Self, SettingsError> {
        let document = Document::read(&mut serde_json::Deserializer::from_str(text))?;
        match document.invalid_values().into_iter().next() {
            Some(error) => Err(error),
            None => document.convert(),
        }
    }

    /// Reads settings that an operator wrote.
    ///
    /// # Errors
    ///
    /// The first error that the settings have, contradictions between keys included.
    pub fn from_value(value: serde_json::Value) -> Result<Self, SettingsError> {
        let document = Document::read(value)?;
        let mut errors = document.invalid_values();
        errors.extend(document.contradictions());
        match errors.into_iter().next() {
            Some(error) => Err(error),
            None => document.convert(),
        }
    }

    /// All errors that settings of an operator have; none if [`LoadedSettings::from_value`] accepts them.
    #[must_use]
    pub fn errors(value: serde_json::Value) -> Vec<SettingsError> {
        match Document::read(value) {
            Err(error) => vec![error],
            Ok(document) => {
                let mut errors = document.invalid_values();
                errors.extend(document.contradictions());
                errors.extend(document.convert().err());
                errors
            }
        }
    }
}
