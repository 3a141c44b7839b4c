//! Cases for the weight store: a new one whose rate one fetch of `large` uses up for seconds.

use serde_json::json;

use super::case::Case;

/// Returns the cases.
pub fn cases() -> Vec<Case> {
    let fetch = |name, status| {
        Case::new(name, "POST", "/v1/fetches", status)
            .body(&json!({"model": "large", "upstream": "engine-1"}))
    };
    vec![
        Case::new("nothing is used at first", "GET", "/v1/budget", 200)
            .kind("/bytes_per_s", "number")
            .is("/used", 0),
        fetch("a fetch is granted", 202)
            .kind("/fetch", "string")
            .kind("/bytes", "number")
            .kind("/seconds", "number"),
        fetch("a fetch beyond the rate is refused", 429).header("retry-after-ms", ""),
        Case::new("the rate is used", "GET", "/v1/budget", 200).kind("/used", "number"),
        Case::new("a fetch of nothing is not understood", "POST", "/v1/fetches", 400).body(&"{}"),
        Case::new("an unknown path", "GET", "/v1/none", 404),
    ]
}
