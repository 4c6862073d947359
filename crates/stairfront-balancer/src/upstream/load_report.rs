//! Load reports in answers: text in, figures out.
use stairfront_policy::interface::LoadReport;

/// Load reports hold four values at most.
const MAX_VALUES: usize = 4;

/// A report such as `inflight=7,queue=2`, in the order in which the settings name the fields. Danger: a part of one, or
/// a figure that no server can have, would be believed; such a report is none.
pub fn load_report(text: &[u8], fields: &[String]) -> LoadReport {
    let read = |field: &String| {
        let value = |pair: &'_ [u8]| {
            Some(
                pair.strip_prefix(field.as_bytes())?
                    .strip_prefix(b"=")?
                    .to_vec(),
            )
        };
        let mut values = text.split(|b| *b == b',').filter_map(value);
        let figure = String::from_utf8(values.next()?)
            .ok()?
            .parse::<f32>()
            .ok()?;
        (values.next().is_none() && figure.is_finite() && figure >= 0.0).then_some(figure)
    };
    let mut load = LoadReport::default();
    for (i, field) in fields.iter().enumerate().take(MAX_VALUES) {
        match read(field) {
            Some(figure) => (load.values[i], load.len) = (figure, i as u8 + 1),
            None => return LoadReport::default(),
        }
    }
    load
}
