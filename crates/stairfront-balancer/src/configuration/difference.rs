//! How two configuration files differ, key by key.
use serde_json::{Map, Value};

/// Adds the paths of the keys in which two values differ, down to those that hold no further keys.
pub(super) fn differing_keys(path: String, old: &Value, new: &Value, paths: &mut Vec<String>) {
    let (Value::Object(old_keys), Value::Object(new_keys)) = (old, new) else {
        if old != new {
            paths.push(path);
        }
        return;
    };
    let value_of =
        |keys: &Map<String, Value>, key: &str| keys.get(key).cloned().unwrap_or_default();
    let added = new_keys.keys().filter(|key| !old_keys.contains_key(*key));
    for key in old_keys.keys().chain(added) {
        let (old, new) = (value_of(old_keys, key), value_of(new_keys, key));
        differing_keys(join(&path, key), &old, &new, paths);
    }
}

/// The path of a key below another.
pub(super) fn join(path: &str, key: &str) -> String {
    if path.is_empty() {
        key.to_string()
    } else {
        format!("{path}.{key}")
    }
}
