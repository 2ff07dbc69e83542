//! Fields that hold comma-separated lists.

use http::{HeaderMap, HeaderName};

/// Stands for a value that is no text. It is no item that any field defines.
const NO_TEXT: &str = "(no text)";

/// Returns the items of all values of a field.
pub(crate) fn items<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Vec<&'a str> {
    let values = headers.get_all(name).iter();
    values
        .map(|value| value.to_str().unwrap_or(NO_TEXT))
        .flat_map(|value| value.split(','))
        .map(str::trim)
        .filter(|item| !item.is_empty())
        .collect()
}
