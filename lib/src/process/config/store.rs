//! One text: the version in force, and what is kept to tell peers of it cheaply.

use std::collections::VecDeque;

use super::Fault;
use super::Holder;
use super::VersionId;
use super::delta::Delta;
use super::document::Document;
use super::offer::KnownVersions;
use super::offer::Offer;
use super::offer::Step;

/// Largest offer sent along with the notice of a version.
const MAX_INLINE_BYTES: usize = 1024;
/// Steps kept for peers that lag behind.
const MAX_KEPT_STEPS: usize = 64;
/// Bytes of steps kept for peers that lag behind.
const MAX_KEPT_STEP_BYTES: usize = 256 * 1024;
/// Whole texts kept that a peer's steps may begin at.
const MAX_KEPT_TEXTS: usize = 4;

/// The version in force of one text, with the steps that led to it.
#[derive(Debug, Default)]
pub(crate) struct Store {
    pub(crate) holder: Holder,
    /// The texts last in force, the newest at the back.
    texts: VecDeque<Document>,
    /// Steps that lead to the newest text, each with the version it begins at.
    steps: VecDeque<(VersionId, Step)>,
}

impl Store {
    /// Returns a store that holds nothing, with a deliberate defect.
    pub(crate) fn with_fault(fault: Option<Fault>) -> Self {
        Self { holder: Holder::with_fault(fault), ..Self::default() }
    }

    /// Returns the text in force.
    pub(crate) fn current(&self) -> Option<&Document> {
        self.texts.back()
    }

    /// Returns the versions whose texts are kept, the newest first.
    pub(crate) fn bases(&self) -> Vec<VersionId> {
        self.texts.iter().rev().map(|document| document.id).collect()
    }

    /// Returns the news for a peer, its text included only if it is small.
    pub(crate) fn notice(&self, known: &KnownVersions) -> Option<Offer> {
        let current = self.current().filter(|current| known.lacks(current.id))?;
        let steps = known.held.and_then(|held| self.steps_from(held));
        if let Some(steps) = steps.filter(|offer| payload_bytes(offer) <= MAX_INLINE_BYTES) {
            return Some(steps);
        }
        if current.text.len() <= MAX_INLINE_BYTES {
            return Some(full_text_offer(current));
        }
        Some(Offer::Notice(current.id))
    }

    /// Returns the text in force for a peer that keeps the texts of `bases`, by
    /// the shortest way.
    pub(crate) fn fetch(&self, bases: &[VersionId]) -> Option<Offer> {
        let current = self.current()?;
        let steps = bases.iter().find_map(|base| self.steps_from(*base));
        let shorter = steps.filter(|offer| payload_bytes(offer) < current.text.len());
        Some(shorter.unwrap_or_else(|| full_text_offer(current)))
    }

    /// Builds the texts that an offer leads through, the offered one last;
    /// `None` if it does not fit what is kept here.
    pub(crate) fn resolve(&self, offer: Offer) -> Option<Resolved> {
        match offer {
            Offer::Notice(_) => None,
            Offer::Text(id, text) => {
                let document = Document::new(id.number, &text);
                (document.id == id).then_some(Resolved { document, path: None })
            }
            Offer::Steps(base, steps) => self.apply_steps(base, steps),
        }
    }

    /// Puts a valid text into force; returns whether it was still wanted.
    pub(crate) fn accept(&mut self, resolved: Resolved) -> bool {
        let Resolved { document, path } = resolved;
        if !self.holder.accept(document.id) {
            return false;
        }
        let fits = path.filter(|path| path.first().map(|(from, _)| *from) == self.current_id());
        match (fits, self.current()) {
            (Some(path), _) => self.steps.extend(path),
            (None, Some(old)) => {
                let delta = Delta::between(&old.text, &document.text);
                self.steps.push_back((old.id, Step { to: document.id, delta }));
            }
            (None, None) => {}
        }
        self.texts.push_back(document);
        self.trim_history();
        true
    }

    fn current_id(&self) -> Option<VersionId> {
        self.current().map(|current| current.id)
    }

    fn steps_from(&self, base: VersionId) -> Option<Offer> {
        let first = self.steps.iter().position(|(from, _)| *from == base)?;
        let steps = self.steps.range(first..).map(|(_, step)| step.clone()).collect();
        Some(Offer::Steps(base, steps))
    }

    fn apply_steps(&self, base: VersionId, steps: Vec<Step>) -> Option<Resolved> {
        let start = self.texts.iter().find(|document| document.id == base)?;
        let mut document = start.clone();
        let mut path = Vec::with_capacity(steps.len());
        for step in steps {
            let text = step.delta.apply(&document.text)?;
            path.push((document.id, step.clone()));
            document = Document { id: step.to, text: text.into() };
        }
        let hash_matches = VersionId::of(document.id.number, &document.text) == document.id;
        hash_matches.then_some(Resolved { document, path: Some(path) })
    }

    fn trim_history(&mut self) {
        while self.texts.len() > MAX_KEPT_TEXTS {
            self.texts.pop_front();
        }
        let mut bytes: usize = self.steps.iter().map(|(_, step)| step.delta.size()).sum();
        while self.steps.len() > MAX_KEPT_STEPS || bytes > MAX_KEPT_STEP_BYTES {
            let Some((_, step)) = self.steps.pop_front() else { break };
            bytes -= step.delta.size();
        }
    }
}

/// A text built from an offer, and the steps that led to it if it came by steps.
#[derive(Debug)]
pub(crate) struct Resolved {
    pub(crate) document: Document,
    path: Option<Vec<(VersionId, Step)>>,
}

impl From<Document> for Resolved {
    fn from(document: Document) -> Self {
        Self { document, path: None }
    }
}

fn full_text_offer(document: &Document) -> Offer {
    Offer::Text(document.id, document.text.to_string())
}

fn payload_bytes(offer: &Offer) -> usize {
    match offer {
        Offer::Notice(_) => 0,
        Offer::Text(_, text) => text.len(),
        Offer::Steps(_, steps) => steps.iter().map(|step| step.delta.size()).sum(),
    }
}
