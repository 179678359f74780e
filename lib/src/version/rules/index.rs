//! Looks up rules by service, in the order of the file.

use indexmap::IndexMap;

use super::Rule;
use super::ServicePattern;

/// Positions of the rules that apply to each service.
///
/// The position of a rule for every service is in each list, so that one look-up
/// returns all candidates in the order of the file, however many services there
/// are.
#[derive(Clone, Debug)]
pub(super) struct Index {
    by_service: IndexMap<String, Vec<usize>, rustc_hash::FxBuildHasher>,
    any_service: Vec<usize>,
}

impl Index {
    pub(super) fn new(rules: &[Rule]) -> Self {
        let mut index = Self { by_service: IndexMap::default(), any_service: Vec::new() };
        for (position, rule) in rules.iter().enumerate() {
            index.add(position, &rule.service);
        }
        index
    }

    /// Returns the positions of the rules that apply to `service`, in ascending
    /// order.
    pub(super) fn candidates(&self, service: &str) -> impl Iterator<Item = usize> + '_ {
        let has_upper_case = service.bytes().any(|b| b.is_ascii_uppercase());
        let found = match has_upper_case {
            true => self.by_service.get(&service.to_ascii_lowercase()),
            false => self.by_service.get(service),
        };
        found.unwrap_or(&self.any_service).iter().copied()
    }

    fn add(&mut self, position: usize, service: &ServicePattern) {
        match service {
            ServicePattern::Any => {
                self.any_service.push(position);
                self.by_service.values_mut().for_each(|list| list.push(position));
            }
            ServicePattern::Named(name) => {
                let earlier = &self.any_service;
                let list = self.by_service.entry(name.clone()).or_insert_with(|| earlier.clone());
                list.push(position);
            }
        }
    }
}
