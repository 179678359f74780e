//! Prints rules in their canonical form, which parses back to the same rules. Keys of customers
//! are not printed.

use std::fmt;

use super::Line;
use super::MethodPattern;
use super::PathPattern;
use super::Rule;
use super::Rules;
use super::Segment;
use super::ServicePattern;
use crate::process::DurationText;

impl fmt::Display for Rules {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut rules = self.rules.iter();
        for line in &self.lines {
            match line {
                Line::Blank => writeln!(f)?,
                Line::Comment(text) if text.is_empty() => writeln!(f, "#")?,
                Line::Comment(text) => writeln!(f, "# {text}")?,
                Line::Customer(text) => writeln!(f, "{text}")?,
                Line::Rule => writeln!(f, "{}", rules.next().ok_or(fmt::Error)?)?,
            }
        }
        Ok(())
    }
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} {}", self.service, self.method, self.path)?;
        write!(f, " criticality={} weight={}", self.criticality, self.weight)?;
        write!(f, " {}", if self.idempotent { "idempotent" } else { "non-idempotent" })?;
        write!(f, " retries={} deadline={}", self.retries, DurationText(self.deadline))?;
        write!(f, " {}", if self.may_wait { "wait" } else { "no-wait" })?;
        if self.public {
            f.write_str(" public")?;
        }
        write!(f, "  # asked by {}", self.requested_by)?;
        if self.reason.is_empty() { Ok(()) } else { write!(f, ", {}", self.reason) }
    }
}

impl fmt::Display for ServicePattern {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Any => f.write_str("*"),
            Self::Named(name) => f.write_str(name),
        }
    }
}

impl fmt::Display for MethodPattern {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Any => f.write_str("*"),
            Self::OneOf(methods) => {
                for (index, method) in methods.iter().enumerate() {
                    let separator = if index == 0 { "" } else { "," };
                    write!(f, "{separator}{method}")?;
                }
                Ok(())
            }
        }
    }
}

impl fmt::Display for PathPattern {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for segment in &self.segments {
            match segment {
                Segment::Any => f.write_str("/*")?,
                Segment::Exact(text) => write!(f, "/{text}")?,
            }
        }
        match (self.open_ended, self.segments.is_empty()) {
            (true, _) => f.write_str("/**"),
            (false, true) => f.write_str("/"),
            (false, false) => Ok(()),
        }
    }
}
