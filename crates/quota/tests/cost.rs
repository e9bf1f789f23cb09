//! What a reservation costs, and how much the other keepers are told.

mod sim;

use std::time::Duration;
use std::time::Instant;

use base::Name;
use fleet::tenant::Tenant;
use quota::Ledger;
use quota::Totals;

fn tenants(count: usize) -> Vec<Tenant> {
    let quota = Some(sim::quota(4_000.0, 5_800.0));
    let tenant = |number: usize| Tenant {
        name: Name::from(format!("tenant-{number}")),
        keys: Vec::new(),
        rank: None,
        quota,
    };
    (0..count).map(tenant).collect()
}

// Guards against a cost that grows with the number of tenants. Run with `--nocapture` for the figures.
#[test]
fn a_reservation_costs_the_same_for_many_tenants() {
    for count in [16, 10_000] {
        let mut ledger = Ledger::new(Totals::default(), Vec::new(), 28);
        ledger.set_tenants(&tenants(count), Duration::ZERO);
        let gates: Vec<Name> = (0..28).map(|gate| Name::from(format!("gate-{gate}"))).collect();
        let names: Vec<Name> = tenants(count).into_iter().map(|tenant| tenant.name).collect();
        // 320 requests a second for 20 s.
        let requests = 6_400_usize;
        let (mut told, mut bytes, mut refused) = (0, 0, 0);
        let start = Instant::now();
        let mut telling = Duration::ZERO;
        for request in 0..requests {
            let now = Duration::from_micros(3_125 * request as u64);
            let tenant = &names[request * 7 % count];
            let answer = ledger.reserve(&gates[request % 28], tenant, (2_400, 0), now);
            refused += usize::from(answer.granted == 0);
            if request % 160 == 0 {
                let start = Instant::now();
                let changes = ledger.take_changes(now);
                telling += start.elapsed();
                let entries = changes.iter().map(|spending| 20 + spending.slices.len() * 5);
                bytes += entries.sum::<usize>();
                told += 1;
            }
        }
        let each = (start.elapsed() - telling) / requests as u32;
        let telling = telling / told as u32;
        println!(
            "{count} tenants: {each:?} a reservation ({refused} refused), {telling:?} and {} bytes to tell",
            bytes / told
        );
        assert!(each < Duration::from_millis(1), "{each:?}");
    }
}

// Guards against a ledger that grows with each gate that is lost, for tenants that are idle.
#[test]
fn lost_gates_are_forgotten_for_idle_tenants() {
    let mut ledger = Ledger::new(Totals::default(), Vec::new(), 100);
    ledger.set_tenants(&tenants(50), Duration::ZERO);
    let size = |ledger: &Ledger| format!("{ledger:?}").len();
    let empty = size(&ledger);
    for gate in 0..100 {
        ledger.remove_gate(&Name::from(format!("gate-{gate}")), 100, Duration::from_secs(1));
    }
    assert!(size(&ledger) > 2 * empty, "all are counted at first");
    ledger.take_changes(Duration::from_secs(40));
    assert_eq!(size(&ledger), empty);
}
