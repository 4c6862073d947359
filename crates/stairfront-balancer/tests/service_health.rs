//! Faults of the service that keep maintenance from taking out more machines.
use stairfront_balancer::control::maintenance::service_health::ServiceCounts;

/// Otherwise hosts would be taken out one after another while the origin already refuses the requests of their misses.
#[test]
fn an_overloaded_origin_or_unserved_requests_are_faults_and_few_requests_are_none() {
    let before = ServiceCounts {
        served: 1_000,
        all: 1_000,
        at_origin: 500,
        unserved_at_origin: 10,
    };
    let after = |served, all, at_origin, unserved| ServiceCounts {
        served: before.served + served,
        all: before.all + all,
        at_origin: before.at_origin + at_origin,
        unserved_at_origin: before.unserved_at_origin + unserved,
    };
    let trouble = |now: ServiceCounts| {
        let fault = now.fault_since(before);
        fault.map_or(String::new(), |fault| fault.describe("b1"))
    };
    assert_eq!(trouble(after(990, 1_000, 100, 5)), "");
    assert!(trouble(after(960, 1_000, 100, 5)).contains("requests are served at b1"));
    assert!(trouble(after(990, 1_000, 100, 11)).contains("origin is pressed"));
    assert_eq!(trouble(after(40, 49, 19, 19)), "", "too few to say");
}
