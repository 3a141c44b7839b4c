//! Cases for plain services: a new one that refuses its next request.

use super::case::Case;
use crate::text;

/// Returns the cases; the first one expects the service to refuse.
pub fn cases() -> Vec<Case> {
    let ask = |name, body: &str, status| {
        Case::new(name, "POST", "/confirm", status)
            .with("verbenaslip-request", "a1")
            .with("verbenaslip-attempt", "1")
            .with("content-type", "application/json")
            .body(&body)
    };
    vec![
        ask("a refused request was not run", "{}", 503)
            .header("verbenaslip-outcome", "not-run")
            .is("/error/type", "not_run"),
        ask("an answer is for the body asked", "{\"n\":1}", 200)
            .header("content-type", "application/json")
            .is("/answer", text::reply(b"{\"n\":1}")),
        ask("another body has another answer", "{\"n\":2}", 200)
            .is("/answer", text::reply(b"{\"n\":2}")),
    ]
}
