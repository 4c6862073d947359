//! Load reports in replies: text in, numbers out.
use stairfront_policy::interface::LoadReport;

/// The most values that a load report holds.
const MAX_VALUES: usize = 4;

/// Reads a report such as `inflight=7,queue=2`, in the order in which the settings name the fields. A report that lacks a
/// field, names one twice, or has a value that no server can have counts as none.
pub fn load_report(text: &[u8], fields: &[String]) -> LoadReport {
    let mut load = LoadReport::default();
    for (i, field) in fields.iter().enumerate().take(MAX_VALUES) {
        match read_field(text, field) {
            Some(value) => {
                load.values[i] = value;
                load.len = i as u8 + 1;
            }
            None => return LoadReport::default(),
        }
    }
    load
}

fn read_field(text: &[u8], field: &str) -> Option<f32> {
    let value_of = |pair: &[u8]| {
        let value = pair.strip_prefix(field.as_bytes())?.strip_prefix(b"=")?;
        Some(value.to_vec())
    };
    let mut values = text.split(|b| *b == b',').filter_map(value_of);
    let value: f32 = String::from_utf8(values.next()?).ok()?.parse().ok()?;
    (values.next().is_none() && value.is_finite() && value >= 0.0).then_some(value)
}
