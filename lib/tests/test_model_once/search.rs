//! Breadth-first search over the model.

use std::cell::Cell;
use std::cell::RefCell;

use pathfinding::directed::bfs::bfs;

use super::fault::Fault;
use super::issuers::Capacity;
use super::issuers::Issuers;
use super::state::DAEMONS;
use super::state::State;
use super::state::Violation;
use super::step::Stepper;

pub(super) struct Search {
    start: State,
    stepper: RefCell<Stepper>,
    explored: Cell<usize>,
}

impl Search {
    pub(super) fn new(capacity: Capacity, fault: Option<Fault>) -> Self {
        let mut issuers = Issuers::new(capacity);
        let mut start = [0; DAEMONS];
        for (daemon, issuer) in start.iter_mut().enumerate() {
            *issuer = issuers.start(daemon as u8, 0);
        }
        Self {
            start: State::new(start),
            stepper: RefCell::new(Stepper { issuers, fault }),
            explored: Cell::new(0),
        }
    }

    /// Returns the shortest path to a state that `found` accepts.
    fn find(&self, found: impl Fn(&State) -> bool) -> Option<Vec<State>> {
        self.explored.set(0);
        let successors = |state: &State| {
            self.explored.set(self.explored.get() + 1);
            let steps = self.stepper.borrow_mut().steps(state);
            steps.into_iter().map(|(_, next)| next).collect::<Vec<_>>()
        };
        bfs(&self.start, successors, found)
    }

    pub(super) fn assert_reaches(&mut self, what: &str, found: impl Fn(&State) -> bool) {
        let path = self.find(found);
        println!("{what}: {}", path.as_ref().map_or("never".into(), |path| self.format_path(path)));
        assert!(path.is_some(), "never reached: {what}");
    }

    fn format_path(&self, path: &[State]) -> String {
        let mut text = format!("{} steps", path.len() - 1);
        for pair in path.windows(2) {
            let steps = self.stepper.borrow_mut().steps(&pair[0]);
            let (action, _) = steps.iter().find(|(_, next)| *next == pair[1]).unwrap();
            text.push_str(&format!("\n  {action:?}"));
        }
        text
    }
}

/// Explores every reachable state and asserts that none violates a property.
pub(super) fn assert_holds(capacity: Capacity) {
    let search = Search::new(capacity, None);
    let path = search.find(|state| Violation::ALL.iter().any(|v| v.occurs_in(state)));
    let issuers = search.stepper.borrow().issuers.len();
    println!("{capacity:?}: {} states, {issuers} issuer states", search.explored.get());
    if let Some(path) = path {
        panic!("a property is violated after {}", search.format_path(&path));
    }
}

/// Asserts that the search finds a violation of the property under the fault.
pub(super) fn assert_broken(fault: Fault, capacity: Capacity, violation: Violation) {
    let search = Search::new(capacity, Some(fault));
    let path = search.find(|state| violation.occurs_in(state));
    let path = path.unwrap_or_else(|| panic!("{fault:?} does not break {violation:?}"));
    println!("{fault:?} breaks {violation:?} after {}", search.format_path(&path));
}
