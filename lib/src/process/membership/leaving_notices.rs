//! Instances whose upstreams have said in an answer that they are leaving.

use indexmap::IndexMap;

use crate::process::InstanceId;

/// Most notices that are kept; the oldest is dropped first.
const NOTICES_MAX: usize = 1024;

/// Instances whose upstreams have said that they are leaving, until a list names a later start.
///
/// An instance that a list lacks and names again has not started anew, so its notice is kept.
#[derive(Debug, Default)]
pub(super) struct LeavingNotices {
    /// Start times of the upstreams, in milliseconds since the Unix epoch, as listed when the
    /// notice arrived.
    start_ms: IndexMap<InstanceId, Option<u64>>,
}

impl LeavingNotices {
    /// Records a notice of an instance; returns whether it is news.
    pub(super) fn record(&mut self, instance: &InstanceId, start_ms: Option<u64>) -> bool {
        if self.contains(instance) {
            return false;
        }
        if self.start_ms.len() >= NOTICES_MAX {
            self.start_ms.shift_remove_index(0);
        }
        self.start_ms.insert(instance.clone(), start_ms);
        true
    }

    pub(super) fn contains(&self, instance: &InstanceId) -> bool {
        self.start_ms.contains_key(instance)
    }

    pub(super) fn instances(&self) -> impl Iterator<Item = &InstanceId> {
        self.start_ms.keys()
    }

    /// Removes the notices of instances for which `listed_start` returns a later start.
    pub(super) fn apply_starts(&mut self, listed_start: impl Fn(&InstanceId) -> Option<u64>) {
        self.start_ms.retain(|instance, start_ms| {
            let Some(listed) = listed_start(instance) else { return true };
            listed <= *start_ms.get_or_insert(listed)
        });
    }
}
