//! Health and load endpoints of an upstream, which may lag or lie.

use std::time::Duration;
use std::time::Instant;

use http::StatusCode;
use serde::Serialize;

use crate::http::Answer;
use crate::http::json;
use crate::http::text;

use super::Shared;
use super::behaviour::Reporting;

/// What the endpoints say until it is older than the configured lag.
#[derive(Clone, Copy, Debug)]
pub(super) struct Report {
    taken: Instant,
    load: Load,
}

#[derive(Clone, Copy, Debug, Serialize)]
struct Load {
    slots: usize,
    busy: usize,
    draining: bool,
}

pub(super) fn health(shared: &Shared) -> Answer {
    let load = reported(shared);
    let status = match load.draining || load.busy >= load.slots {
        true => StatusCode::SERVICE_UNAVAILABLE,
        false => StatusCode::OK,
    };
    Ok(text(status, ""))
}

pub(super) fn load(shared: &Shared) -> Answer {
    json(&reported(shared))
}

fn reported(shared: &Shared) -> Load {
    let (reporting, lag, draining) = {
        let behaviour = shared.behaviour.lock();
        let lag = Duration::from_millis(behaviour.report_lag_ms);
        (behaviour.reporting, lag, behaviour.drain)
    };
    let slots = shared.slots;
    match reporting {
        Reporting::AlwaysWell => Load { slots, busy: 0, draining: false },
        Reporting::AlwaysIll => Load { slots, busy: slots, draining: true },
        Reporting::True => {
            let busy = slots - shared.free.available_permits().min(slots);
            lagging(shared, lag, Load { slots, busy, draining })
        }
    }
}

fn lagging(shared: &Shared, lag: Duration, now: Load) -> Load {
    let mut report = shared.report.lock();
    match *report {
        Some(Report { taken, load }) if taken.elapsed() < lag => load,
        _ => {
            *report = Some(Report { taken: Instant::now(), load: now });
            now
        }
    }
}
