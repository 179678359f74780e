use std::time::Duration;

use endivescale::process::Incarnation;
use endivescale::request::Context;
use endivescale::request::Repeat;
use endivescale::request::RequestId;
use endivescale::version::Criticality;

pub(crate) fn sample() -> Context {
    Context {
        id: RequestId(7),
        criticality: Criticality::High,
        hash: 0xbeef,
        remaining: Duration::from_millis(250),
        objective: Some(Duration::from_millis(120)),
        retries: 3,
        depth: 4,
        non_idempotent: true,
        rerun: false,
        may_wait: true,
        repeat: Some(Repeat::Inherited),
        weight: 10,
        sender: Incarnation(9),
    }
}

#[test]
fn printed_context_parses_back() {
    let cx = sample();
    assert_eq!(cx.to_string().parse(), Ok(cx.clone()));
    for repeat in [None, Some(Repeat::Own)] {
        let cx = Context { repeat, ..cx.clone() };
        assert_eq!(cx.to_string().parse(), Ok(cx));
    }
}
