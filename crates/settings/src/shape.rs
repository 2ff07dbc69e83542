//! Compares a file's shape with the defaults: unknown names and wrong types.
//!
//! The defaults, written out as a value, are the template. Unlike the
//! deserializer, the comparison doesn't stop at the first problem.

use crate::Problem;
use serde_json::Value;
use std::net::SocketAddr;

/// A name is suggested when it is at least this similar, from 0 to 1.
const SIMILAR_ENOUGH: f64 = 0.7;

/// Adds a problem for each name in `value` that `template` lacks and each type that
/// differs, and puts the template in place of what is wrong, so that the checks of
/// values can go on with the rest of the file.
pub(crate) fn compare(
    value: &mut Value,
    template: &Value,
    path: &str,
    problems: &mut Vec<Problem>,
) {
    match (&mut *value, template) {
        (Value::Object(fields), Value::Object(known)) => {
            fields.retain(|name, field| {
                let path = join(path, name);
                let Some(template) = known.get(name) else {
                    problems.push(Problem::new(path, unknown(name, known)));
                    return false;
                };
                compare(field, template, &path, problems);
                true
            });
            return;
        }
        (Value::Array(items), Value::Array(templates)) => {
            let Some(template) = templates.first() else {
                return;
            };
            for (index, item) in items.iter_mut().enumerate() {
                compare(item, template, &format!("{path}[{index}]"), problems);
            }
            return;
        }
        (Value::Number(number), Value::Number(_)) => {
            if number.as_u64().is_some() {
                return;
            }
            let reason = format!("{number} is not a whole number from 0");
            problems.push(Problem::new(path, reason));
        }
        (Value::String(text), Value::String(known)) => {
            if known.parse::<SocketAddr>().is_err() || text.parse::<SocketAddr>().is_ok() {
                return;
            }
            let reason = format!("`{text}` is not an IP address and port, such as 10.0.0.1:8080");
            problems.push(Problem::new(path, reason));
        }
        (Value::Bool(_), Value::Bool(_)) => return,
        (found, _) => {
            let reason = format!("expected {}, found {}", kind(template), kind(found));
            problems.push(Problem::new(path, reason));
        }
    }
    *value = template.clone();
}

fn unknown(name: &str, known: &serde_json::Map<String, Value>) -> String {
    let closest = known
        .keys()
        .map(|candidate| (strsim::jaro_winkler(name, candidate), candidate))
        .max_by(|a, b| a.0.total_cmp(&b.0));
    match closest {
        Some((similarity, candidate)) if similarity >= SIMILAR_ENOUGH => {
            format!("unknown name; did you mean `{candidate}`?")
        }
        _ => {
            let names: Vec<&str> = known.keys().map(String::as_str).collect();
            format!("unknown name; known here: {}", names.join(", "))
        }
    }
}

fn join(path: &str, name: &str) -> String {
    if path.is_empty() {
        return name.to_owned();
    }
    format!("{path}.{name}")
}

fn kind(value: &Value) -> &'static str {
    match value {
        Value::Null => "nothing",
        Value::Bool(_) => "true or false",
        Value::Number(_) => "a number",
        Value::String(_) => "text",
        Value::Array(_) => "a list",
        Value::Object(_) => "a section",
    }
}
