//! Patterns of a rule for service, method and path.

use http::Method;

/// Services that a rule is for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ServicePattern {
    /// Every service, written `*`.
    Any,
    /// One service by its name, in lower case.
    Named(String),
}

impl ServicePattern {
    /// Tells whether every service of `other` is one of `self`.
    pub(super) fn covers(&self, other: &Self) -> bool {
        *self == Self::Any || self == other
    }
}

/// Methods that a rule is for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MethodPattern {
    /// Every method, written `*`.
    Any,
    /// Some methods, written `GET` or `GET,HEAD`.
    OneOf(Vec<Method>),
}

impl MethodPattern {
    pub(super) fn matches(&self, method: &Method) -> bool {
        match self {
            Self::Any => true,
            Self::OneOf(methods) => methods.contains(method),
        }
    }

    /// Tells whether every method of `other` is one of `self`.
    pub(super) fn covers(&self, other: &Self) -> bool {
        match other {
            Self::Any => *self == Self::Any,
            Self::OneOf(methods) => methods.iter().all(|method| self.matches(method)),
        }
    }
}

/// Paths that a rule is for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PathPattern {
    pub(super) segments: Vec<Segment>,
    /// Whether the pattern ends in `/**`.
    pub(super) open_ended: bool,
}

/// One segment of a path pattern.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Segment {
    /// Any one segment that is not empty, written `*`.
    Any,
    /// The segment as written, compared byte for byte.
    Exact(String),
}

impl Segment {
    fn matches(&self, segment: &str) -> bool {
        match self {
            Self::Any => !segment.is_empty(),
            Self::Exact(expected) => expected == segment,
        }
    }

    fn covers(&self, other: &Self) -> bool {
        *self == Self::Any || self == other
    }
}

impl PathPattern {
    /// Returns the pattern `/**`, which matches every path.
    pub(super) fn any() -> Self {
        Self { segments: Vec::new(), open_ended: true }
    }

    /// Tells whether the pattern matches a path without its query.
    pub(super) fn matches(&self, path: &str) -> bool {
        let mut rest = path.strip_prefix('/').unwrap_or(path);
        let mut at_end = rest.is_empty();
        for segment in &self.segments {
            if at_end {
                return false;
            }
            let (first, tail) = rest.split_once('/').map_or((rest, None), |(a, b)| (a, Some(b)));
            if !segment.matches(first) {
                return false;
            }
            at_end = tail.is_none();
            rest = tail.unwrap_or("");
        }
        at_end || self.open_ended
    }

    /// Tells whether every path of `other` is one of `self`.
    pub(super) fn covers(&self, other: &Self) -> bool {
        let long_enough = match self.open_ended {
            true => self.segments.len() <= other.segments.len(),
            false => self.segments.len() == other.segments.len() && !other.open_ended,
        };
        long_enough && self.segments.iter().zip(&other.segments).all(|(s, o)| s.covers(o))
    }
}
