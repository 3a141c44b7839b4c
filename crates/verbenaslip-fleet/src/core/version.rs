//! Versions of services at the leader.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::core::Core;
use crate::version_history::{ServiceVersion, VersionHistory};

/// Holds what a leader has published of versions, and what it has yet to propose.
#[derive(Debug, Default)]
pub(crate) struct State {
    /// When each version of each service came and left, as last published.
    pub(crate) published: Arc<VersionHistory>,
    /// Change with which that was published.
    pub(crate) published_change: u64,
    /// Announced versions that are not in the log yet, each with its service.
    pub(crate) unlogged: BTreeSet<ServiceVersion>,
    /// Index of the log at which the history was last compared with the upstreams.
    checked_index: u64,
}

impl Core {
    /// Continues from the history in the log.
    pub(crate) fn restore_versions(&mut self) {
        self.versions = State {
            published: self.replicated_state.version_history().clone(),
            published_change: self.registry.last_change(),
            ..State::default()
        };
    }

    /// Proposes the versions that have announced themselves, and those that have left.
    pub(crate) fn propose_versions(&mut self) {
        if self.joins_proposal.is_some() {
            return;
        }
        // There are thousands of upstreams, which change only with the log.
        let has_changed = self.has_gathered_reports()
            && std::mem::replace(&mut self.versions.checked_index, self.applied_index)
                != self.applied_index;
        let is_behind = !self.versions.unlogged.is_empty()
            || (has_changed && self.replicated_state.is_version_history_behind());
        if is_behind {
            self.joins_proposal = Some(self.propose_upstreams(Vec::new()));
        }
    }

    /// Sends instances the history of versions if it has changed.
    pub(crate) fn publish_version_history(&mut self) {
        let history = self.replicated_state.version_history();
        if *history != self.versions.published {
            self.versions.published = history.clone();
            self.versions.published_change = self.registry.record_external_change();
            self.schedule_push();
            let history = &self.versions.published;
            self.versions.unlogged.retain(|it| !history.contains(&it.0, &it.1));
            // Announcements of these versions wait.
            self.advance_calls();
        }
    }
}
