//! Memory that grows with connections, waiting requests, tokens and rules.

use std::fmt::Write as _;
use std::time::Duration;

use endivescale_testutils::error::StandInError;
use endivescale_testutils::process::wait_until;
use http::StatusCode;
use tokio::net::TcpStream;

use crate::figure::Figures;
use crate::fleet::Fleet;
use crate::fleet::Process;
use crate::fleet::RULES;

/// Numbers of a kind and the memory seen with each, in KiB.
type Series = Vec<(f64, f64)>;

/// Memory that a daemon may use, in KiB.
const BUDGET_KIB: f64 = 128.0 * 1024.0;

/// Connections of the largest instance in the brief.
const CONNECTIONS: f64 = 900.0;

/// Requests that may wait at the largest instance in the brief.
const WAITING: f64 = 140.0 * 16.0;

/// Tokens in use at once: one instance's share of the submissions of a minute.
const TOKENS: f64 = 20_000.0;

/// Rules of 450 services, ten each.
const RULE_LINES: f64 = 4_500.0;

/// Each kind may take up this share of the budget at its full number.
const SHARE: f64 = 0.25;

pub(crate) async fn measure(fleet: &Fleet, figures: &mut Figures) {
    for process in [Process::Entry, Process::Owner] {
        let resident = fleet.resident_kib(process) / 1024.0;
        figures.at_most(&format!("memory_after_calls_{process:?}"), resident, "MiB", 128.0);
    }
    let kinds: [(&str, Series, f64); 4] = [
        ("memory_per_connection", connections(fleet).await, CONNECTIONS),
        ("memory_per_waiting_request", or_empty(waiting(fleet).await), WAITING),
        ("memory_per_used_token", or_empty(tokens(fleet).await), TOKENS),
        ("memory_per_rule", or_empty(rules(fleet).await), RULE_LINES),
    ];
    for (name, points, number) in kinds {
        println!("# {name}: {points:.0?} (number, KiB)");
        figures.at_most(name, slope(&points), "KiB", BUDGET_KIB * SHARE / number);
    }
}

/// A series that could not be measured has no slope, which is over any bound.
fn or_empty(points: Result<Series, StandInError>) -> Series {
    points.unwrap_or_else(|err| {
        println!("# not measured: {err}");
        Vec::new()
    })
}

/// Least-squares slope.
fn slope(points: &[(f64, f64)]) -> f64 {
    let number = points.len() as f64;
    let mean = |value: fn(&(f64, f64)) -> f64| points.iter().map(value).sum::<f64>() / number;
    let (x, y) = (mean(|p| p.0), mean(|p| p.1));
    let over: f64 = points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum();
    let under: f64 = points.iter().map(|p| (p.0 - x).powi(2)).sum();
    over / under
}

async fn settled(fleet: &Fleet, process: Process) -> f64 {
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.resident_kib(process)
}

/// Idle connections of callers at the entry.
async fn connections(fleet: &Fleet) -> Series {
    let mut open = Vec::new();
    let mut points = vec![(0.0, settled(fleet, Process::Entry).await)];
    for number in [150, 300, 450, 600] {
        while open.len() < number {
            open.push(TcpStream::connect(fleet.entry.caller).await.expect("the entry accepts"));
        }
        points.push((number as f64, settled(fleet, Process::Entry).await));
    }
    points
}

/// Requests that wait at the owner for a slot of a stuck upstream.
async fn waiting(fleet: &Fleet) -> Result<Series, StandInError> {
    fleet.set_service_ms(20_000).await?;
    let mut points = Vec::new();
    let mut calls = futures_util::stream::FuturesUnordered::new();
    for number in [40, 100, 160, 220, 280] {
        while calls.len() < number {
            calls.push(Box::pin(fleet.call(fleet.entry.caller, "GET", "/wait/x", None)));
        }
        // The calls only go on while they are polled.
        let pause = tokio::time::sleep(Duration::from_millis(500));
        tokio::pin!(pause);
        while futures_util::future::select(&mut pause, futures_util::StreamExt::next(&mut calls))
            .await
            .is_right()
        {}
        points.push(((number - 40) as f64, fleet.resident_kib(Process::Owner)));
    }
    drop(calls);
    fleet.set_service_ms(0).await?;
    wait_until("owner", Duration::from_secs(30), async || {
        let answer = fleet.call(fleet.entry.caller, "GET", "/calls", None).await;
        answer.is_ok_and(|(status, _)| status.is_success())
    })
    .await?;
    Ok(points)
}

trait IsRight {
    fn is_right(&self) -> bool;
}

impl<A, B> IsRight for futures_util::future::Either<A, B> {
    fn is_right(&self) -> bool {
        matches!(self, Self::Right(_))
    }
}

/// Tokens that have been used and whose answers are kept.
async fn tokens(fleet: &Fleet) -> Result<Series, StandInError> {
    let mut points = Vec::new();
    let mut used = 0;
    for number in [1_000, 2_000, 4_000, 8_000] {
        while used < number {
            used += 1;
            let (status, headers) = fleet.call(fleet.entry.caller, "POST", "/x", None).await?;
            assert_eq!(status, StatusCode::PRECONDITION_REQUIRED);
            let token = headers.get("endivescale-token").expect("a token is issued");
            let (status, _) = fleet.call(fleet.entry.caller, "POST", "/x", Some(token)).await?;
            assert!(status.is_success(), "{status}");
        }
        points.push((number as f64, settled(fleet, Process::Entry).await));
    }
    Ok(points)
}

/// Rules in force.
async fn rules(fleet: &Fleet) -> Result<Series, StandInError> {
    let mut points = Vec::new();
    for number in [500, 1_000, 2_000, 4_000] {
        let mut text = RULES.to_owned();
        for line in 0..number {
            let _ = writeln!(
                text,
                "svc{} GET /things/n{number}x{line}/** criticality=normal weight=2 retries=1 deadline=1s  # asked by the bench",
                line % 450,
            );
        }
        fleet.put_rules(text).await?;
        points.push((number as f64, settled(fleet, Process::Entry).await));
    }
    Ok(points)
}
