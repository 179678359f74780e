//! Finds rules that can never apply, since an earlier rule matches all their
//! requests.

use super::Rule;
use super::index::Index;

/// Returns the rules that a single earlier rule covers completely.
///
/// Rules that overlap in part are the normal way to write an exception and are not
/// returned.
pub(super) fn find_shadowed(rules: &[Rule]) -> Vec<ShadowedRule> {
    let index = Index::new(rules);
    let find = |(position, rule): (usize, &Rule)| {
        let earlier = first_covering(rules, &index, position, rule)?;
        Some(ShadowedRule { rule: position, by: earlier })
    };
    rules.iter().enumerate().filter_map(find).collect()
}

/// A rule that can never apply, and the earlier rule that covers it.
pub(super) struct ShadowedRule {
    /// Position of the covered rule.
    pub(super) rule: usize,
    /// Position of the earlier rule.
    pub(super) by: usize,
}

fn first_covering(rules: &[Rule], index: &Index, position: usize, rule: &Rule) -> Option<usize> {
    let name = match &rule.service {
        super::ServicePattern::Any => "",
        super::ServicePattern::Named(name) => name,
    };
    let earlier = index.candidates(name).take_while(|&other| other < position);
    earlier.into_iter().find(|&other| covers(&rules[other], rule))
}

fn covers(earlier: &Rule, later: &Rule) -> bool {
    earlier.service.covers(&later.service)
        && earlier.method.covers(&later.method)
        && earlier.path.covers(&later.path)
}
