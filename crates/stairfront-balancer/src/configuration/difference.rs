//! How two configuration files differ, key by key.
use serde_json::{Map, Value};

/// Keys that go with other keys' values: a class without idempotency keys has none of them.
const OPTIONAL: [&str; 2] = ["group", "key_ttl"];

/// The first key, as a path, that `old` has and `new` lacks. Of lists, the keys that all entries had.
pub(super) fn missing_key(path: &str, old: &Value, new: &Value) -> Option<String> {
    match (old, new) {
        (Value::Object(old_keys), Value::Object(new_keys)) => {
            old_keys.iter().find_map(|(key, old)| {
                let path = join(path, key);
                match new_keys.get(key) {
                    Some(new) => missing_key(&path, old, new),
                    None => Some(path).filter(|_| !OPTIONAL.contains(&key.as_str())),
                }
            })
        }
        (Value::Array(old_entries), Value::Array(new_entries)) => {
            let common = keys_of_all(old_entries)?;
            new_entries
                .iter()
                .enumerate()
                .find_map(|(i, new)| missing_key(&format!("{path}[{i}]"), &common, new))
        }
        _ => None,
    }
}

/// An object with the keys that all entries of a list have.
fn keys_of_all(entries: &[Value]) -> Option<Value> {
    let first = entries.first()?.as_object()?;
    let common = first
        .keys()
        .filter(|key| entries.iter().all(|entry| entry.get(*key).is_some()));
    Some(common.map(|key| (key.clone(), Value::Null)).collect())
}

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

fn join(path: &str, key: &str) -> String {
    if path.is_empty() {
        key.to_string()
    } else {
        format!("{path}.{key}")
    }
}
