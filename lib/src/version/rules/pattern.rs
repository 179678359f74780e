//! The patterns of a rule: service, method and path.

use http::Method;

/// The services that a rule applies to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ServicePattern {
    /// Every service, written `*`.
    Any,
    /// The service with this name, which is in lower case.
    Named(String),
}

impl ServicePattern {
    /// Returns whether `self` matches every service that `other` matches.
    pub(super) fn covers(&self, other: &Self) -> bool {
        *self == Self::Any || self == other
    }
}

/// The methods that a rule applies to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MethodPattern {
    /// Every method, written `*`.
    Any,
    /// The listed methods, written `GET` or `GET,HEAD`.
    OneOf(Vec<Method>),
}

impl MethodPattern {
    pub(super) fn matches(&self, method: &Method) -> bool {
        match self {
            Self::Any => true,
            Self::OneOf(methods) => methods.contains(method),
        }
    }

    /// Returns whether `self` matches every method that `other` matches.
    pub(super) fn covers(&self, other: &Self) -> bool {
        match other {
            Self::Any => *self == Self::Any,
            Self::OneOf(methods) => methods.iter().all(|method| self.matches(method)),
        }
    }
}

/// The paths that a rule applies to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PathPattern {
    pub(super) segments: Vec<Segment>,
    /// Whether the pattern ends in `/**`.
    pub(super) open_ended: bool,
}

/// One segment of a path pattern.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Segment {
    /// Any segment that is not empty, written `*`.
    Any,
    /// The segment with exactly this text, compared byte by byte.
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

    /// Returns whether the pattern matches a path, which must not include a query.
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

    /// Returns whether `self` matches every path that `other` matches.
    pub(super) fn covers(&self, other: &Self) -> bool {
        let long_enough = match self.open_ended {
            true => self.segments.len() <= other.segments.len(),
            false => self.segments.len() == other.segments.len() && !other.open_ended,
        };
        long_enough && self.segments.iter().zip(&other.segments).all(|(s, o)| s.covers(o))
    }
}
