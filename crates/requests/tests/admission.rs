//! Guards against a backend server that gets more requests than its limits allow,
//! expired requests, or requests after its agent began to leave.

use std::time::Duration;

use cumindeck_requests::{AdmissionConfig, AdmissionEffect, AdmissionEvent, AdmissionMachine};
use cumindeck_types::{Attempt, Remaining, RequestId, Uptime};

fn id(n: u32) -> RequestId {
    format!("r{n}").parse().expect("valid id")
}

fn offer(n: u32, remaining_ms: u64, received_ms: u64) -> AdmissionEvent {
    AdmissionEvent::DispatchReceived {
        request: id(n),
        attempt: Attempt::new(1),
        remaining: Remaining::new(Duration::from_millis(remaining_ms)),
        received: Uptime::from_millis(received_ms),
    }
}

fn connected(n: u32) -> AdmissionEvent {
    AdmissionEvent::Connected {
        request: id(n),
        attempt: Attempt::new(1),
    }
}

fn finished(n: u32) -> AdmissionEvent {
    AdmissionEvent::Finished {
        request: id(n),
        attempt: Attempt::new(1),
    }
}

/// Applies a series of events and returns one line for each, with its effects.
fn run(cfg: AdmissionConfig, events: Vec<(u64, AdmissionEvent)>) -> String {
    let mut admission = AdmissionMachine::new(cfg);
    let mut lines = String::new();
    for (at, event) in events {
        let effects = admission.step(Uptime::from_millis(at), event);
        let shown = effects.iter().map(show).collect::<Vec<_>>().join(", ");
        lines += &format!(
            "{at}ms: [{shown}] in flight {}\n",
            admission.load().in_flight
        );
    }
    lines
}

fn show(effect: &AdmissionEffect) -> String {
    match effect {
        AdmissionEffect::Admit { request, .. } => format!("admit {request}"),
        AdmissionEffect::Forward {
            request, remaining, ..
        } => format!("hand over {request} with {remaining}"),
        AdmissionEffect::Refuse {
            request, reason, ..
        } => format!("refuse {request}: {reason}"),
        AdmissionEffect::Drained => "drained".to_owned(),
    }
}

#[test]
fn limits_time_and_leaving() {
    let cfg = AdmissionConfig {
        slots: 3,
        connections: 2,
    };
    insta::assert_snapshot!(run(
        cfg,
        vec![
            (10, offer(1, 500, 10)),
            (11, offer(2, 100, 11)),
            (12, offer(3, 500, 12)),
            (13, offer(1, 500, 13)),
            (14, connected(1)),
            (15, connected(1)),
            // Paused from here on: the second request expires before it can be sent.
            (300, connected(2)),
            (301, offer(4, 100, 150)),
            (302, offer(5, 100, 302)),
            (303, AdmissionEvent::Leave),
            (304, offer(6, 100, 304)),
            (305, connected(5)),
            (306, finished(1)),
            (307, finished(5)),
            (308, finished(5)),
        ]
    ));
}
