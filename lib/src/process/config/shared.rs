//! The texts in force, shared by the tasks of one daemon.

use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::watch;

use super::ActiveRules;
use super::ConfigCounters;
use super::Holder;
use super::Verdict;
use super::VersionId;
use super::document::Document;
use super::document::Kind;
use super::vm_text;
use crate::process::log;
use crate::process::log::StateChange;
use crate::process::membership::VmList;
use crate::version::rules::Rules;

/// The texts in force and those who wait for newer ones.
#[derive(Debug)]
pub(crate) struct Shared {
    rules: Mutex<Holder>,
    vms: Mutex<Holder>,
    pub(crate) rules_tx: watch::Sender<Option<Arc<ActiveRules>>>,
    pub(crate) vms_tx: watch::Sender<Option<Arc<VmList>>>,
    pub(crate) counters: Arc<ConfigCounters>,
}

impl Shared {
    /// Returns the state of a daemon that holds nothing yet.
    pub(crate) fn new() -> Self {
        Self {
            rules: Mutex::default(),
            vms: Mutex::default(),
            rules_tx: watch::Sender::new(None),
            vms_tx: watch::Sender::new(None),
            counters: Arc::default(),
        }
    }

    /// Returns whether the text of a version is wanted, and counts the offers
    /// that point at a fault of the platform.
    pub(crate) fn judge(&self, kind: Kind, id: VersionId) -> Verdict {
        let verdict = self.holder(kind).lock().judge(id);
        match verdict {
            Verdict::Older => self.counters.older_offers.add_one(),
            Verdict::NewerConflict | Verdict::OlderConflict => self.note_conflict(kind, id),
            Verdict::Newer | Verdict::Same | Verdict::Refused => {}
        }
        verdict
    }

    /// Puts a text into force if it is newer and valid.
    pub(crate) fn take(&self, kind: Kind, document: &Document) {
        if !self.judge(kind, document.id).wanted() {
            return;
        }
        match kind {
            Kind::Rules => self.take_rules(document),
            Kind::Vms => self.take_vms(document),
        }
    }

    fn take_rules(&self, document: &Document) {
        let id = document.id;
        let parsed = Rules::parse("rules", &document.text);
        let mut holder = self.rules.lock();
        match parsed {
            Ok(rules) if holder.accept(id) => {
                self.note_accepted("rules", id);
                let text = document.text.clone();
                self.rules_tx.send_replace(Some(Arc::new(ActiveRules { id, text, rules })));
            }
            Ok(_) => {}
            Err(err) => {
                holder.refuse(id);
                self.counters.refused.add_one();
                log::write(&StateChange::VersionRefused {
                    of: "rules",
                    version: id,
                    error: err.to_string(),
                });
            }
        }
    }

    fn take_vms(&self, document: &Document) {
        let id = document.id;
        let parsed = vm_text::parse(id.number, &document.text);
        let mut holder = self.vms.lock();
        match parsed {
            Ok(list) if holder.accept(id) => {
                self.note_accepted("vms", id);
                self.vms_tx.send_replace(Some(Arc::new(list)));
            }
            Ok(_) => {}
            Err(err) => {
                holder.refuse(id);
                self.counters.refused.add_one();
                log::write(&StateChange::VersionRefused {
                    of: "vms",
                    version: id,
                    error: err.to_string(),
                });
            }
        }
    }

    fn note_accepted(&self, of: &'static str, id: VersionId) {
        self.counters.accepted.add_one();
        log::write(&StateChange::VersionInForce { of, version: id });
    }

    fn note_conflict(&self, kind: Kind, id: VersionId) {
        self.counters.conflicts.add_one();
        let of = match kind {
            Kind::Rules => "rules",
            Kind::Vms => "vms",
        };
        log::write(&StateChange::VersionConflict { of, version: id });
    }

    fn holder(&self, kind: Kind) -> &Mutex<Holder> {
        match kind {
            Kind::Rules => &self.rules,
            Kind::Vms => &self.vms,
        }
    }
}
