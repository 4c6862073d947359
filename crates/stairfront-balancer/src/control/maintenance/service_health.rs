//! Judges from counters whether the service is well. Maintenance takes nothing further out while it is not.

/// Below this fraction of requests served nothing further is taken out.
const MIN_SERVED_RATIO: f64 = 0.97;
/// With fewer requests in a window nothing is judged.
const MIN_JUDGED_REQUESTS: u64 = 50;
/// An origin that serves less than this fraction of the attempts at it is overloaded, and one more cold cache would load it
/// more.
const MIN_ORIGIN_SERVED_RATIO: f64 = 0.9;
/// With fewer attempts at the origin in a window nothing is judged, since a single failure would count for too much.
const MIN_ORIGIN_ATTEMPTS: u64 = 20;

/// Requests and attempts at the origin, since the start of the process.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceCounts {
    /// Requests served.
    pub served: u64,
    /// Requests served, refused and failed.
    pub all: u64,
    /// Attempts at the origin that have ended.
    pub at_origin: u64,
    /// Those of them that were not served.
    pub unserved_at_origin: u64,
}

/// A fault of the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceFault {
    /// Too few requests are served.
    RequestsUnserved,
    /// Too few attempts at the origin are served.
    OriginOverloaded,
}

impl ServiceFault {
    /// The fault in the words that the group agrees on, as seen by `balancer`. They are part of the agreed state.
    pub fn describe(self, balancer: &str) -> String {
        match self {
            ServiceFault::RequestsUnserved => {
                let percent = MIN_SERVED_RATIO * 100.0;
                format!("under {percent:.0}% of requests are served at {balancer}")
            }
            ServiceFault::OriginOverloaded => {
                let percent = MIN_ORIGIN_SERVED_RATIO * 100.0;
                format!(
                    "the origin is pressed: under {percent:.0}% of attempts at it are served at {balancer}"
                )
            }
        }
    }
}

impl ServiceCounts {
    /// The fault of the service in the window between two counts, if there is one.
    pub fn fault_since(self, before: ServiceCounts) -> Option<ServiceFault> {
        let all = self.all.saturating_sub(before.all);
        let served = self.served.saturating_sub(before.served);
        if all >= MIN_JUDGED_REQUESTS && (served as f64) < MIN_SERVED_RATIO * all as f64 {
            return Some(ServiceFault::RequestsUnserved);
        }
        let attempts = self.at_origin.saturating_sub(before.at_origin);
        let unserved = self
            .unserved_at_origin
            .saturating_sub(before.unserved_at_origin);
        let overloaded = attempts >= MIN_ORIGIN_ATTEMPTS
            && unserved as f64 > (1.0 - MIN_ORIGIN_SERVED_RATIO) * attempts as f64;
        overloaded.then_some(ServiceFault::OriginOverloaded)
    }
}
