//! Cases for the cloud API: a new one that sells one `standard` machine in each market of the zone
//! `north`.

use serde_json::{Value, json};

use super::case::Case;

/// Returns the cases; the notices come from whoever reclaims `entry-1` before.
pub fn cases() -> Vec<Case> {
    vec![
        Case::new("prices", "GET", "/v1/prices", 200)
            .is("/prices/0/zone", "north")
            .is("/prices/0/machine", "standard")
            .is("/prices/0/market", "reclaimable")
            .kind("/prices/0/price", "number")
            .is("/prices/1/market", "on_demand"),
        Case::new("a machine is started", "POST", MACHINES, 201)
            .body(&order(1, "reclaimable"))
            .is("/name", "north-standard-1"),
        Case::new("the same order is the same machine", "POST", MACHINES, 201)
            .body(&order(1, "reclaimable"))
            .is("/name", "north-standard-1"),
        Case::new("a start without capacity is refused", "POST", MACHINES, 409)
            .body(&order(2, "reclaimable"))
            .is("/refused", "capacity"),
        Case::new("the other market has its own capacity", "POST", MACHINES, 201)
            .body(&order(3, "on_demand"))
            .is("/name", "north-standard-2"),
        Case::new("an unknown market", "POST", MACHINES, 400).body(&order(4, "gift")),
        Case::new("machines are listed", "GET", MACHINES, 200)
            .is("/machines/1/name", "north-standard-1")
            .is("/machines/1/zone", "north")
            .is("/machines/1/machine", "standard")
            .is("/machines/1/market", "reclaimable")
            .kind("/machines/1/state", "string"),
        Case::new("a machine is given back", "DELETE", "/v1/machines/north-standard-1", 204),
        Case::new("giving back again is no error", "DELETE", "/v1/machines/north-standard-1", 204),
        Case::new("giving back what is not known is no error", "DELETE", "/v1/machines/x", 204),
        Case::new("its place can be sold again", "POST", MACHINES, 201)
            .body(&order(5, "reclaimable"))
            .is("/name", "north-standard-3"),
        Case::new("notices name what is taken", "GET", "/v1/notices?since=0", 200)
            .is("/next", 2)
            .is("/notices/0/sequence", 1)
            .is("/notices/0/name", "entry-1")
            .kind("/notices/0/deadline_ms", "number"),
        Case::new("nothing came since", "GET", "/v1/notices?since=2", 200)
            .is("/next", 2)
            .is("/notices", json!([])),
    ]
}

const MACHINES: &str = "/v1/machines";

fn order(request: u64, market: &str) -> Value {
    json!({
        "request": request,
        "zone": "north",
        "machine": "standard",
        "market": market,
        "model": "assistant",
    })
}
