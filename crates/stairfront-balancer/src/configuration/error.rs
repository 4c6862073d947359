//! Errors in a configuration, by file, line and key.
use crate::configuration::toml_config;

/// Environment variable that names the configuration file.
pub(super) const CONFIG_VARIABLE: &str = "ROUTER_CONFIG";
/// Environment variable that overrides the address of the admin API.
pub(super) const ADMIN_VARIABLE: &str = "ROUTER_OPS";

/// Why a configuration cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// No file is named.
    #[error("{CONFIG_VARIABLE} is not set: it names the configuration file")]
    NoPath,
    /// The address of the admin API in the environment cannot be parsed.
    #[error("{ADMIN_VARIABLE}: {address:?} is not an address and a port")]
    AdminAddress {
        /// The address as written.
        address: String,
    },
    /// The file cannot be read.
    #[error("{path}: {source}")]
    File {
        /// The file.
        path: String,
        /// Why.
        source: std::io::Error,
    },
    /// A key has an error.
    #[error("{path}: {key}: {problem}")]
    Key {
        /// The file.
        path: String,
        /// Path of the key.
        key: String,
        /// The error.
        problem: String,
    },
    /// A key whose line is known has an error.
    #[error("{path}:{line}: {key}: {problem}")]
    Line {
        /// The file.
        path: String,
        /// The line, from 1.
        line: usize,
        /// Path of the key.
        key: String,
        /// The error.
        problem: String,
    },
}

/// An error of one key in the platform's form, before the file is known.
pub(super) struct KeyError {
    pub(super) key: String,
    pub(super) problem: String,
}

impl KeyError {
    pub(super) fn new(key: impl Into<String>, problem: impl ToString) -> Self {
        KeyError {
            key: key.into(),
            problem: problem.to_string(),
        }
    }

    /// The error with a section before its key.
    pub(super) fn within(section: &str, key: &str, problem: impl ToString) -> Self {
        KeyError::new(format!("{section}.{key}"), problem)
    }
}

/// Where a configuration came from, by which its errors are named.
pub(super) struct Source {
    pub(super) path: String,
    /// Its text, where it is an install's own TOML file.
    pub(super) toml: Option<String>,
}

impl Source {
    /// An error of a key of the platform's form, named as it stands in the file.
    pub(super) fn error(&self, error: KeyError) -> ConfigError {
        let KeyError { key, problem } = error;
        let Some(text) = &self.toml else {
            let path = self.path.clone();
            return ConfigError::Key { path, key, problem };
        };
        let key = toml_config::own_key(&key);
        let line = toml_config::line_of(text, &key);
        self.located(line, key, problem)
    }

    /// An error of a key of a TOML file; its line is looked up where it is not known.
    pub(super) fn toml_error(&self, error: toml_config::TomlError) -> ConfigError {
        let toml_config::TomlError { key, problem, line } = error;
        let text = self.toml.as_deref().unwrap_or_default();
        let line = line.or_else(|| toml_config::line_of(text, &key));
        self.located(line, key, problem)
    }

    fn located(&self, line: Option<usize>, key: String, problem: String) -> ConfigError {
        let path = self.path.clone();
        match line {
            Some(line) => ConfigError::Line {
                path,
                line,
                key,
                problem,
            },
            None => ConfigError::Key { path, key, problem },
        }
    }
}
