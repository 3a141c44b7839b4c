//! The catalogue of metrics: the one place that defines their names, kinds, labels and meanings.
//!
//! `docs/OPERATIONS.md` repeats the catalogue; a test compares the two.

use super::Metric;
use super::label::Label;

/// Defines the metrics and the method of [`Metric`] that records each.
macro_rules! metrics {
    ($($kind:ident $method:ident $name:literal ($($label:ident),*) $text:literal)*) => {
        /// Lists all metrics in the order of the docs.
        pub const CATALOGUE: &[Entry] = &[
            $(Entry {
                name: $name,
                kind: Kind::$kind,
                labels: &[$(stringify!($label)),*],
                text: $text,
            },)*
        ];

        impl Metric {
            $(metrics!(@ $kind $method $name ($($label),*) $text);)*
        }
    };
    (@ Counter $method:ident $name:literal ($($label:ident),*) $text:literal) => {
        #[doc = concat!("Adds to: ", $text)]
        pub fn $method(&self, $($label: impl Label,)* count: u64) {
            self.counter($name, vec![$((stringify!($label), $label.text())),*], count);
        }
    };
    (@ Gauge $method:ident $name:literal ($($label:ident),*) $text:literal) => {
        #[doc = concat!("Sets: ", $text)]
        pub fn $method(&self, $($label: impl Label,)* value: f64) {
            self.gauge($name, vec![$((stringify!($label), $label.text())),*], value);
        }
    };
    (@ Histogram $method:ident $name:literal ($($label:ident),*) $text:literal) => {
        #[doc = concat!("Records, in seconds: ", $text)]
        pub fn $method(&self, $($label: impl Label,)* time: std::time::Duration) {
            self.histogram($name, vec![$((stringify!($label), $label.text())),*], time);
        }
    };
}

/// Describes one metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The name at `/metrics`.
    pub name: &'static str,
    /// How it is counted.
    pub kind: Kind,
    /// The names of its labels, besides `instance` and `instance_zone`, which all have.
    pub labels: &'static [&'static str],
    /// What it says.
    pub text: &'static str,
}

/// Says how a metric is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Only rises, from 0 at the start.
    Counter,
    /// Goes up and down.
    Gauge,
    /// Counts times by how long they were.
    Histogram,
}

metrics! {
    // Requests, by row.
    Counter requests "verbenaslip_requests_total" (team, class) "Requests that arrived."
    Counter answers "verbenaslip_answers_total" (team, class) "Answers given whole."
    Counter late "verbenaslip_late_total" (team, class) "Answers given whole after their deadline."
    Counter refused "verbenaslip_refused_total" (team, class, reason) "Requests refused as not run, by reason."
    Counter unknown "verbenaslip_unknown_total" (team, class, reason) "Requests that ended with unknown outcome, by reason."
    Counter tokens "verbenaslip_tokens_total" (team, class) "Tokens given to callers."
    Counter tokens_again "verbenaslip_tokens_again_total" (team, class, way) "Tokens computed again after work was lost or moved, by way."
    Counter retries "verbenaslip_retries_total" (team, class) "Runs begun again after a failure."
    Counter retries_denied "verbenaslip_retries_denied_total" (team, class) "Runs not begun again because a budget was used up."
    Histogram first_token "verbenaslip_first_token_seconds" (team, class) "Time from arrival to the first token given to the caller."
    Histogram inter_token "verbenaslip_inter_token_seconds" (team, class) "Time between tokens given to the caller."
    Histogram answer "verbenaslip_answer_seconds" (team, class) "Time from arrival to the whole answer."
    Histogram wait "verbenaslip_wait_seconds" (team, class) "Time that requests waited before they were sent to an upstream."
    Gauge queue "verbenaslip_queue_requests" (team, class) "Requests that wait at this instance."
    Gauge running "verbenaslip_running_requests" (team, class) "Requests in progress at this instance."

    // Upstreams.
    Counter runs "verbenaslip_runs_total" (upstream) "Runs begun."
    Counter run_failures "verbenaslip_run_failures_total" (upstream, step) "Runs that ended without a whole answer, by step."
    Counter stalls "verbenaslip_stalls_total" (upstream) "Streams that went silent."
    Counter moves "verbenaslip_moves_total" (way) "Streams that moved to another upstream, by way."
    Histogram upstream_first_token "verbenaslip_upstream_first_token_seconds" (upstream) "Time from sending a request to its first token."
    Gauge upstream_running "verbenaslip_upstream_running_requests" (upstream) "Requests that an upstream runs, by its last report and what was sent since."
    Gauge upstreams "verbenaslip_upstreams" (zone, phase) "Upstreams known, by availability zone and phase."

    // Decisions.
    Counter routes "verbenaslip_routes_total" (reason) "Choices of an upstream, by what tipped the scales."
    Counter claims "verbenaslip_claims_total" (outcome) "Claims for non-idempotent requests, by outcome."
    Counter orders "verbenaslip_orders_total" (outcome) "Orders to upstreams, by outcome."
    Counter starts "verbenaslip_starts_total" (zone, market, outcome) "Machines ordered from the cloud, by outcome."
    Counter takeovers "verbenaslip_takeovers_total" () "Requests taken over from a lost instance."
    Counter handovers "verbenaslip_handovers_total" () "Requests handed over to another instance."
    Gauge slots "verbenaslip_slots" (model) "Requests that ready upstreams can run at once."
    Gauge cost "verbenaslip_cost_per_hour" (zone, market) "Price of all running upstreams for an hour, in currency units."
    Counter steps "verbenaslip_steps_total" (input) "Inputs that the control thread has handled, by kind."
    Histogram step "verbenaslip_step_seconds" () "Time that the control thread took for one input."

    // Table and log.
    Counter edits "verbenaslip_edits_total" (outcome) "Edits of the table, by outcome."
    Histogram edit_in_force "verbenaslip_edit_in_force_seconds" () "Time from an edit's arrival until it was in force everywhere."
    Gauge table_revision "verbenaslip_table_revision" () "Revision of the table in force at this instance."
    Gauge table_lease_age "verbenaslip_table_lease_age_seconds" () "Time since the table in force was last confirmed."
    Gauge log_index "verbenaslip_log_index" () "Last committed entry of the replicated log."
    Gauge log_term "verbenaslip_log_term" () "Newest term known."
    Gauge leader "verbenaslip_leader" () "1 if this instance leads the voters, else 0."
    Histogram sync "verbenaslip_sync_seconds" () "Time to sync an entry to disk."

    // Instances and traffic between them.
    Gauge ready "verbenaslip_ready" () "1 if this instance accepts work, else 0."
    Gauge members "verbenaslip_members" (state) "Instances known, by state."
    Counter messages_sent "verbenaslip_messages_sent_total" (kind) "Messages sent to other instances, by kind."
    Counter bytes_sent "verbenaslip_bytes_sent_total" (kind) "Bytes sent to other instances, by kind."
    Counter messages_received "verbenaslip_messages_received_total" (kind) "Messages received from other instances, by kind."
    Counter bytes_received "verbenaslip_bytes_received_total" (kind) "Bytes received from other instances, by kind."
    Counter frames_refused "verbenaslip_frames_refused_total" () "Bytes from `peers` that were no frame."
    Gauge connections "verbenaslip_connections" (listener) "Open connections, by listener."
    Gauge journal "verbenaslip_journal_bytes" () "Memory in use for requests and answers held here."
    Counter events "verbenaslip_events_total" (event) "Log events of this process, by number, written or left out."
}
