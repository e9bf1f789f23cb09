//! Permits to load: rate limit, limit in flight, order, expiry and leader changes.

mod site;

use std::time::Duration;
use std::time::Instant;

use base::Name;
use keeper::permit::Limits;
use keeper::permit::Permits;
use keeper::permit::Waiter;
use site::*;
use wire::keeper::Bid;

const LIMITS: Limits = Limits { loads_per_second: 5.0, max_in_flight: 2 };
/// The term in which the permits of the tests are granted.
const TERM: u64 = 3;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn waiter(name: &'static str, worth: u32, queued_at: Duration) -> Waiter<&'static str> {
    let expires_at = queued_at + ms(10_000);
    Waiter { gate: Name::from("g1"), incarnation: 1, worth, queued_at, expires_at, reply: name }
}

fn permits(limits: Limits, bids: &[(&'static str, u32, u64)]) -> Permits<&'static str> {
    let mut permits = Permits::new(limits, TERM, ms(0));
    for (name, worth, queued_at) in bids {
        permits.enqueue(waiter(name, *worth, ms(*queued_at))).unwrap();
    }
    permits
}

#[test]
fn rate_limit_has_a_burst_of_one() {
    let mut permits = permits(LIMITS, &[("a", 1, 0), ("b", 1, 0), ("c", 1, 0)]);
    assert!(permits.grant(ms(5_000)).is_some());
    assert!(permits.grant(ms(5_199)).is_none());
    assert!(permits.grant(ms(5_200)).is_some());
}

#[test]
fn limit_in_flight_holds_until_a_permit_is_released() {
    let mut permits = permits(LIMITS, &[("a", 1, 0), ("b", 1, 0), ("c", 1, 0)]);
    let (first, _) = permits.grant(ms(200)).unwrap();
    permits.grant(ms(400)).unwrap();
    assert!(permits.grant(ms(5_000)).is_none());
    permits.release(first);
    assert!(permits.grant(ms(5_000)).is_some());
}

#[test]
fn highest_worth_is_granted_first_and_waiting_raises_it() {
    let mut permits = permits(LIMITS, &[("old", 1, 0), ("worth", 5, 1_000), ("new", 1, 1_000)]);
    assert_eq!(permits.grant(ms(1_000)).unwrap().1, "old");
    assert_eq!(permits.grant(ms(1_200)).unwrap().1, "worth");
}

#[test]
fn expired_bid_is_removed_without_a_permit() {
    let mut permits = permits(LIMITS, &[("a", 1, 0)]);
    assert_eq!(permits.take_expired(ms(9_999)).len(), 0);
    assert_eq!(permits.take_expired(ms(10_000)), ["a"]);
    assert!(permits.grant(ms(10_000)).is_none());
}

#[test]
fn permits_of_an_ended_lease_are_released() {
    let mut permits = permits(Limits { max_in_flight: 1, ..LIMITS }, &[("a", 1, 0), ("b", 1, 0)]);
    permits.grant(ms(0)).unwrap();
    assert!(permits.grant(ms(1_000)).is_none());
    let ended = permits.retain_leased(|_, incarnation| incarnation != 1);
    assert_eq!((ended, permits.in_flight()), (vec!["b"], 0));
}

#[test]
fn permit_ids_of_two_terms_differ() {
    let permit_id = |term| {
        let mut permits = Permits::new(LIMITS, term, ms(0));
        permits.enqueue(waiter("a", 1, ms(0))).unwrap();
        permits.grant(ms(0)).unwrap().0
    };
    assert_ne!(permit_id(1), permit_id(2));
}

#[tokio::test]
async fn rate_limit_holds_across_a_leader_change() {
    let mut site = Site::new(3, None);
    site.config.store.loads_per_second = 20.0;
    site.start_all().await;
    site.renew(&renewal("g1", 1, 0)).await.unwrap();
    let bid = Bid { gate: Name::from("g1"), incarnation: 1, worth: 1, patience_ms: 100 };
    let mut times: Vec<Instant> = Vec::new();
    let leader = site.wait_until_settled().await;
    let mut crashed = None;
    while times.len() < 20 {
        if times.len() == 10 && crashed.is_none() {
            site.crash(&leader);
            crashed = Some(times.len());
        }
        site.renew(&renewal("g1", 1, 0)).await.unwrap();
        let result = site.call(async |client| {
            let permit = client.permit(context(), bid.clone()).await?;
            if let Ok(permit) = &permit {
                client.settle(context(), permit.id).await?;
            }
            Ok(permit)
        });
        if result.await.is_ok() {
            times.push(Instant::now());
        }
    }
    let gap = times[10] - times[9];
    assert!(gap >= ms(site.config.timing.lease_ms), "{gap:?}");
    let elapsed = (times[19] - times[0]).as_secs_f64();
    assert!(20.0 <= elapsed * 20.0 + 1.0, "20 permits in {elapsed} s");
}
