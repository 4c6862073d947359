//! Keys that a configuration had and its successor lacks.
//!
//! Both files are compared as they were written, whatever the balancer reads of them: a default would hide that a file was
//! cut or lost a line. Entries of lists are compared by their identity, since entries come, go and change places.
use rustc_hash::FxHashMap;
use serde_json::{Map, Value};

use crate::configuration::difference::join;

/// Keys by which an entry of a list is known; the first that all entries have.
const IDENTITY_KEYS: [&str; 3] = ["name", "id", "address"];
/// The key of the decision module's settings.
const SETTINGS_KEY: &str = "settings";
/// The effect of a class.
const EFFECT_KEY: &str = "semantics";
/// The effect to which the keys of idempotency belong.
const KEYED_EFFECT: &str = "guarded";
/// Keys of a class of that effect, which it may lose together with the effect.
const KEYED_EFFECT_KEYS: [&str; 2] = ["group", "key_ttl"];

/// The first key, as a path, that `old` has and `new` lacks.
pub(super) fn missing_key(old: &Value, new: &Value) -> Option<String> {
    missing_below("", old, new)
}

fn missing_below(path: &str, old: &Value, new: &Value) -> Option<String> {
    match (old, new) {
        (Value::Object(old_keys), Value::Object(new_keys)) => {
            missing_of_object(path, old_keys, new_keys)
        }
        (Value::Array(old_entries), Value::Array(new_entries)) => {
            missing_of_list(path, old_entries, new_entries)
        }
        // Another kind of value in the place of an object or a list has none of its keys or entries.
        (Value::Object(old_keys), _) => old_keys.keys().next().map(|key| join(path, key)),
        (Value::Array(_), _) => Some(path.to_string()),
        (_, Value::Null) if !old.is_null() => Some(path.to_string()),
        _ => None,
    }
}

fn missing_of_object(
    path: &str,
    old_keys: &Map<String, Value>,
    new_keys: &Map<String, Value>,
) -> Option<String> {
    let loses_effect_keys = loses_effect_keys(old_keys, new_keys);
    let missing = old_keys.iter().find_map(|(key, old)| {
        let path = join(path, key);
        match new_keys.get(key) {
            Some(new) => missing_below(&path, old, new),
            None if loses_effect_keys && is_effect_key(key) => None,
            None => Some(path),
        }
    });
    let gains_effect = effect(old_keys) != Some(KEYED_EFFECT);
    missing.or_else(|| missing_of_effect(path, new_keys).filter(|_| gains_effect))
}

/// Whether a class has another effect now, and none of the keys that went with the one before. If one of them is left, the
/// other is missing.
fn loses_effect_keys(old_keys: &Map<String, Value>, new_keys: &Map<String, Value>) -> bool {
    effect(old_keys) == Some(KEYED_EFFECT)
        && effect(new_keys).is_some_and(|effect| effect != KEYED_EFFECT)
        && !KEYED_EFFECT_KEYS
            .iter()
            .any(|key| new_keys.contains_key(*key))
}

/// The first key that the effect of a class needs and that the class lacks.
fn missing_of_effect(path: &str, class: &Map<String, Value>) -> Option<String> {
    if effect(class) != Some(KEYED_EFFECT) {
        return None;
    }
    let is_missing = |key: &&&str| class.get(**key).is_none_or(Value::is_null);
    let missing = KEYED_EFFECT_KEYS.iter().find(is_missing);
    missing.map(|key| join(path, key))
}

fn effect(class: &Map<String, Value>) -> Option<&str> {
    class.get(EFFECT_KEY)?.as_str()
}

fn is_effect_key(key: &str) -> bool {
    KEYED_EFFECT_KEYS.contains(&key)
}

fn missing_of_list(path: &str, old_entries: &[Value], new_entries: &[Value]) -> Option<String> {
    let is_plain = |entries: &[Value]| {
        !entries
            .iter()
            .any(|entry| entry.is_object() || entry.is_array())
    };
    if is_plain(old_entries) && is_plain(new_entries) {
        return missing_of_plain_list(path, old_entries, new_entries);
    }
    let identity_key = IDENTITY_KEYS.into_iter().find(|key| {
        let mut entries = old_entries.iter();
        !old_entries.is_empty() && entries.all(|entry| entry.get(key).is_some())
    });
    let by_identity = identity_key.map(|key| entries_by(key, old_entries));
    let common = common_keys(old_entries);
    new_entries.iter().enumerate().find_map(|(position, new)| {
        let path = format!("{path}[{position}]");
        let old = match (identity_key, &by_identity) {
            (Some(key), Some(entries)) => new
                .get(key)
                .and_then(|identity| entries.get(identity).copied()),
            _ if old_entries.len() == new_entries.len() => old_entries.get(position),
            _ => None,
        };
        match old {
            Some(old) => missing_below(&path, old, new),
            None => missing_of_added(&path, &common, new),
        }
    })
}

/// An entry that a list of plain values in the settings has lost, with nothing in its place. Such a list gives names to
/// numbers elsewhere, and stays as it is while a balancer runs.
fn missing_of_plain_list(path: &str, old: &[Value], new: &[Value]) -> Option<String> {
    let is_changed =
        !path.starts_with(SETTINGS_KEY) || new.iter().any(|entry| !old.contains(entry));
    let mut entries = old.iter().enumerate().filter(|_| !is_changed);
    let missing = entries.find(|(_, entry)| !new.contains(entry));
    missing.map(|(position, _)| format!("{path}[{position}]"))
}

/// The entries of a list by the value of a key.
fn entries_by<'a>(key: &str, entries: &'a [Value]) -> FxHashMap<&'a Value, &'a Value> {
    let identified = entries
        .iter()
        .filter_map(|entry| Some((entry.get(key)?, entry)));
    identified.collect()
}

/// The keys that all entries of a list have.
fn common_keys(entries: &[Value]) -> Vec<&str> {
    let Some(first) = entries.first().and_then(Value::as_object) else {
        return Vec::new();
    };
    let keys = first.keys().map(String::as_str);
    keys.filter(|key| entries.iter().all(|entry| entry.get(key).is_some()))
        .collect()
}

/// The first key that an added entry lacks: one that all entries had, or that goes with its own effect.
fn missing_of_added(path: &str, common: &[&str], added: &Value) -> Option<String> {
    let lacks = |key: &str| added.get(key).is_none_or(Value::is_null);
    let effect_keys = KEYED_EFFECT_KEYS.iter().filter(|key| lacks(key)).count();
    // A class of another effect has all of these or none.
    let needs_effect_keys = effect_keys < KEYED_EFFECT_KEYS.len();
    let missing = common
        .iter()
        .find(|key| lacks(key) && (needs_effect_keys || !is_effect_key(key)));
    missing
        .map(|key| join(path, key))
        .or_else(|| missing_of_effect(path, added.as_object()?))
}
