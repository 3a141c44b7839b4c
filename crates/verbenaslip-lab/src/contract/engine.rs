//! Cases for model engines: one that has the model `assistant` loaded and is otherwise new.

use serde_json::{Value, json};

use super::case::Case;
use crate::text;

/// An expiry that does not come, in milliseconds.
const NEVER: u64 = 600_000;

/// Returns the cases; `fenced` says whether the engine checks fencing numbers.
pub fn cases(fenced: bool) -> Vec<Case> {
    let mut cases = streams();
    cases.extend(resumes());
    cases.extend(caches());
    cases.extend(orders(fenced));
    cases
}

fn streams() -> Vec<Case> {
    let text = text::expect("user\nhello\n", 3);
    let mut words = text.split_inclusive(' ');
    vec![
        chat("a stream ends with its end mark", "a1", 1, 200, &prompt("hello", 3))
            .header("content-type", "text/event-stream")
            .contains("id: 1\ndata: {")
            .contains("id: 3\ndata: {")
            .lacks("id: 4")
            .contains(words.next().unwrap_or_default())
            .contains("\"position\":3")
            .contains("\"attempt\":1")
            .contains(&format!("\"request\":\"{:0>32}\"", "a1"))
            .contains("\"finish_reason\":\"length\"")
            .contains("data: [DONE]\n\n"),
        Case::new("a stream can be read again", "GET", "/v1/streams/a1/1?from=2", 200)
            .contains("id: 3\n")
            .lacks("id: 2\n")
            .contains("data: [DONE]\n\n"),
        Case::new(
            "a stream can be read again from its start",
            "GET",
            "/v1/streams/a1/1?from=0",
            200,
        )
        .contains("id: 1\n")
        .contains("data: [DONE]\n\n"),
        Case::new("another attempt is not known", "GET", "/v1/streams/a1/2?from=0", 404),
        Case::new(
            "a request that is no number is not known",
            "GET",
            "/v1/streams/zz/1?from=0",
            404,
        ),
        Case::new("an ended run is not cancelled", "POST", "/v1/streams/a1/1/cancel", 200)
            .is("/cancelled", false),
        Case::new("an unknown run is not cancelled", "POST", "/v1/streams/b9/1/cancel", 200)
            .is("/cancelled", false),
        chat("a model that is not loaded is not run", "a2", 1, 503, &json!({"model": "other"}))
            .header("verbenaslip-outcome", "not-run")
            .is("/error/type", "not_run"),
        Case::new("a run without its request's name is not understood", "POST", CHAT, 400)
            .body(&prompt("hello", 1))
            .kind("/error/message", "string"),
        chat("a body that is no JSON is not understood", "a3", 1, 400, &Value::Null)
            .body(&"{")
            .kind("/error/message", "string"),
    ]
}

fn resumes() -> Vec<Case> {
    let so_far = text::expect("user\nhello\n", 2);
    let whole = text::expect("user\nhello\n", 5);
    let third = whole.split_inclusive(' ').nth(2).unwrap_or_default();
    let mut resume = prompt("hello", 5);
    resume["resume"] = json!({"text": so_far, "tokens": 2});
    let mut import = prompt("hello", 5);
    import["kv"] = json!({"handle": "none"});
    vec![
        chat("a resumed run goes on after the tokens it is given", "c1", 1, 200, &resume)
            .lacks("id: 2\n")
            .contains("id: 3\n")
            .contains(third)
            .contains("id: 5\n")
            .contains("data: [DONE]\n\n"),
        chat("an unknown KV cache is not run", "c2", 1, 503, &import)
            .header("verbenaslip-outcome", "not-run"),
        Case::new("an unknown run is not exported", "POST", "/v1/kv/export", 404)
            .body(&json!({"request": "ff", "attempt": 1})),
        Case::new("a source that does not answer is not imported", "POST", "/v1/kv/import", 502)
            .body(&json!({"handle": "none", "source": "127.0.0.1:9"})),
    ]
}

fn caches() -> Vec<Case> {
    vec![
        Case::new("cache events say what to ask for next", "GET", "/v1/cache/events?since=0", 200)
            .kind("/next", "number")
            .kind("/gap", "boolean")
            .kind("/events", "array"),
        Case::new("the load report has its age", "GET", "/v1/load", 200)
            .kind("/running", "number")
            .kind("/waiting", "number")
            .kind("/memory", "number")
            .kind("/age", "number"),
    ]
}

fn orders(fenced: bool) -> Vec<Case> {
    let load = |model| json!({"load": model});
    let old_status = if fenced { 409 } else { 200 };
    let mut old = order("an order with an old number", (1, 9), NEVER, &load("old"), old_status);
    let mut equal = order("another order, equal number", (2, 3), NEVER, &load("x"), old_status);
    if fenced {
        old = old.is("/held/term", 2).is("/held/index", 3);
        equal = equal.is("/held/term", 2).is("/held/index", 3);
    }
    vec![
        order("an order is obeyed", (2, 3), NEVER, &load("large"), 200).is("/applied", true),
        order("the same order again", (2, 3), NEVER, &load("large"), 200).is("/applied", true),
        equal,
        old,
        order("an order that has expired", (9, 9), 0, &load("late"), 410),
        order("a role", (3, 1), NEVER, &json!({"role": "decode"}), 200).is("/applied", true),
        order("giving up a model", (3, 2), NEVER, &json!({"unload": "assistant"}), 200),
        order("an order that is none", (3, 3), NEVER, &json!({"dance": "x"}), 400),
        Case::new("orders can be read back", "GET", "/v1/orders", 200)
            .is("/held/term", 3)
            .is("/held/index", 2)
            .kind("/models", "array")
            .is("/role", "decode")
            .lacks("assistant")
            .lacks("late"),
        chat("a model given up is not run", "d1", 1, 503, &prompt("hello", 1))
            .header("verbenaslip-outcome", "not-run"),
        Case::new("an unknown path", "GET", "/v1/none", 404),
    ]
}

const CHAT: &str = "/v1/chat/completions";

fn chat(name: &'static str, request: &str, attempt: u32, status: u16, body: &Value) -> Case {
    Case::new(name, "POST", CHAT, status)
        .with("verbenaslip-request", &format!("{request:0>32}"))
        .with("verbenaslip-attempt", &attempt.to_string())
        .with("verbenaslip-priority", "5")
        .body(&body)
}

fn order(name: &'static str, fence: (u64, u64), expires: u64, order: &Value, status: u16) -> Case {
    let body = json!({"term": fence.0, "index": fence.1, "expires_ms": expires, "order": order});
    Case::new(name, "POST", "/v1/orders", status).body(&body)
}

fn prompt(content: &str, tokens: u32) -> Value {
    json!({
        "model": "assistant",
        "stream": true,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": content}],
    })
}
