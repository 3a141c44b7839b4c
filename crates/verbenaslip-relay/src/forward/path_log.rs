//! Log lines about the paths to upstreams.

use serde_json::json;

use crate::event_log::{self, Kind};
use crate::policy::path::{Change, Fault, Group};

/// The path to the upstreams of a service in an availability zone is cut.
const PATH_CUT: Kind = Kind { number: 953, name: "path_cut" };

/// The path is whole again.
const PATH_RESTORED: Kind = Kind { number: 954, name: "path_restored" };

/// Logs a change of a path, with what showed it.
pub(super) fn log_change(group: &Group, change: Change, fault: Option<Fault>, gateways: usize) {
    let (kind, after) = match change {
        Change::Cut => (PATH_CUT, None),
        Change::Restored { after } => (PATH_RESTORED, Some(after)),
    };
    metrics::counter!("verbenaslip_path_changes_total", "change" => kind.name).increment(1);
    let fault = fault.map(|fault| match fault {
        Fault::Hung => "hung",
        Fault::Refused => "refused",
    });
    event_log::emit(
        kind,
        [
            ("service", json!(group.service)),
            ("zone", json!(group.zone.as_str())),
            ("fault", json!(fault)),
            ("after_ms", json!(after.map(|it| it.as_millis()))),
            ("gateways", json!(gateways)),
        ],
    );
}
