//! Guards against keys that change their home needlessly, and against retries beyond
//! the budget.

use cumindeck_requests::*;
use cumindeck_types::message::{DispatchReply, Load};
use cumindeck_types::*;
use proptest::prelude::*;

fn ring(agents: &[u32]) -> Ring {
    let member = |n: &u32| RingMember {
        agent: format!("a{n}").parse().expect("valid id"),
        incarnation: Incarnation::new(1),
    };
    Ring {
        region: "dakar".parse().expect("valid region"),
        version: RingVersion::new(1),
        members: agents.iter().map(member).collect(),
    }
}

/// Entries of different builds must agree on the homes.
#[test]
fn homes_are_the_same_in_every_build() {
    let ring = ring(&(0..11).collect::<Vec<_>>());
    let line = |n: u32| {
        let key = format!("key-{n}").parse().expect("valid key");
        format!("{key} -> {}\n", ring.home(&key).expect("a member").agent)
    };
    insta::assert_snapshot!((0..8).map(line).collect::<String>());
}

proptest! {
    /// Only the keys of a removed agent move, whatever the order of members.
    #[test]
    fn a_removed_agent_moves_only_its_own_keys(key in "[a-z0-9]{1,20}", count in 2u32..12, removed in 0u32..12) {
        let key: IdempotencyKey = key.parse().expect("valid key");
        let all: Vec<u32> = (0..count).collect();
        let rest: Vec<u32> = (0..count).rev().filter(|n| *n != removed).collect();
        let (before, after) = (ring(&all), ring(&rest));
        let before = &before.home(&key).expect("a member").agent;
        let after = &after.home(&key).expect("a member").agent;
        let is_removed = before.as_str() == format!("a{removed}");
        prop_assert!(before == after || is_removed, "{before} became {after}");
    }

    /// Retries never exceed the budget, whichever requests are refused.
    #[test]
    fn retries_stay_within_the_budget(refused in prop::collection::vec(any::<bool>(), 1..300), percent in 0u32..40) {
        let limits = TeamLimits { weight: 1, queue_limit: 10, rate: None, home_region: "dakar".parse().expect("valid region") };
        let team: TeamId = "a".parse().expect("valid team");
        let mut machine = EntryMachine::new(EntryConfig {
            entry: "e0".parse().expect("valid id"),
            region: "dakar".parse().expect("valid region"),
            teams: vec![(team.clone(), limits)],
            routing: RoutingConfig::default(),
            retry_percent: percent,
        }, 1);
        let agent: AgentId = "a1".parse().expect("valid id");
        let mut effects = machine.step(Uptime::ZERO, EntryEvent::AgentSeen(AgentView {
            agent: agent.clone(),
            incarnation: Incarnation::new(1),
            zone: "zone".parse().expect("valid zone"),
            region: "dakar".parse().expect("valid region"),
            is_zone_open: true,
            is_leaving: false,
            is_suspect: false,
            slots: 8,
            connections: 64,
            in_flight: 0,
        }));
        for (n, is_refused) in refused.iter().enumerate() {
            let now = Uptime::from_millis(n as u64);
            effects.extend(machine.step(now, EntryEvent::Submitted(Submission {
                request: format!("r{n}").parse().expect("valid id"),
                key: None,
                team: team.clone(),
                is_idempotent: true,
                deadline: now.plus(std::time::Duration::from_secs(60)),
                body: ByteSize::new(1),
            })));
            while let Some(effect) = effects.pop() {
                let EntryEffect::Dispatch(order) = effect else { continue };
                let reason = if *is_refused { NotRunReason::Busy } else { NotRunReason::Expired };
                let load = Load { slots: 8, in_flight: 0, is_leaving: false };
                effects.extend(machine.step(now, EntryEvent::Dispatched {
                    request: order.request,
                    attempt: order.attempt,
                    agent: order.agent,
                    result: Ok(DispatchReply { load, verdict: Verdict::NotRun(reason) }),
                }));
            }
            let stats = machine.stats();
            prop_assert!(stats.retries * 100 <= stats.first_attempts * u64::from(percent));
        }
    }
}
