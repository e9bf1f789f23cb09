#![allow(dead_code, reason = "each test file uses some of the helpers")]
#![allow(missing_docs, unreachable_pub, reason = "test helpers")]
//! A simulated site without a network: gates, one leader at a time, a keeper that follows, and callers of one tenant.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use base::Map;
use base::Name;
use fleet::message::Spending;
use fleet::tenant::Quota;
use fleet::tenant::Tenant;
use fleet::tenant::Unit;
use quota::Account;
use quota::Answer;
use quota::Charge;
use quota::Ledger;
use quota::Need;
use quota::Source;
use quota::Totals;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

pub const WINDOW: Duration = Duration::from_secs(8);
const STEP: Duration = Duration::from_millis(5);
const TIMEOUT: Duration = Duration::from_millis(150);

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn quota(rate: f64, burst: f64) -> Quota {
    Quota { rate, burst, unit: Unit::Tokens, plain_tokens: 0, window: WINDOW, overage: 0.0 }
}

enum Message {
    Reserve(u64, Need),
    Unspent(u64),
    Spent(Vec<Spending>),
    Reserved(u64, Answer),
}

pub struct Gate {
    pub account: Account,
    pub up: bool,
    /// Whether messages to and from the leader are lost.
    pub cut_off: bool,
    pub frozen: bool,
    incarnation: u64,
    pending: Map<u64, (Need, Duration)>,
    /// The messages that arrived while the gate was frozen.
    inbox: Vec<Message>,
}

pub struct Site {
    pub now: Duration,
    pub quota: Quota,
    /// The quota that gates which are cut off still have.
    pub stale: Quota,
    pub gates: Vec<Gate>,
    pub leader: Option<(u64, Ledger)>,
    pub follower: Totals,
    term: u64,
    told: Duration,
    /// Whether the leader is a deputy, which tells nobody.
    deputy: bool,
    pub rng: StdRng,
    /// The part of the messages that is lost.
    pub loss: f64,
    pub delay: (Duration, Duration),
    messages: BTreeMap<(Duration, u64), (usize, u64, u64, Message)>,
    number: u64,
    /// When each request was admitted, and its units.
    pub admitted: Vec<(Duration, u64)>,
    /// When each request was refused, and its units and the time to come back.
    pub refused: Vec<(Duration, u64, Duration)>,
}

fn tenant(quota: Quota) -> Tenant {
    Tenant { name: Name::from("t"), keys: Vec::new(), rank: None, quota: Some(quota) }
}

impl Site {
    pub fn new(gates: usize, quota: Quota, seed: u64) -> Site {
        let mut site = Site {
            now: Duration::ZERO,
            quota,
            stale: quota,
            gates: Vec::new(),
            leader: None,
            follower: Totals::default(),
            term: 0,
            told: Duration::ZERO,
            deputy: false,
            rng: StdRng::seed_from_u64(seed),
            loss: 0.0,
            delay: (Duration::from_micros(500), Duration::from_micros(1_400)),
            messages: BTreeMap::new(),
            number: 0,
            admitted: Vec::new(),
            refused: Vec::new(),
        };
        site.gates.extend((0..gates).map(|_| Gate::new(Duration::ZERO)));
        site.elect();
        site
    }

    fn name(gate: usize) -> Name {
        Name::from(format!("gate-{gate}"))
    }

    /// Lets a keeper replace a lost leader until another one is elected.
    pub fn depute(&mut self) {
        self.start_ledger(true);
    }

    /// Lets a keeper lead that knows what the former leader told the others.
    pub fn elect(&mut self) {
        self.start_ledger(false);
    }

    fn start_ledger(&mut self, deputy: bool) {
        self.term += 1;
        self.deputy = deputy;
        let mut ledger = Ledger::new(self.follower.clone(), Vec::new(), self.gates.len() as u32);
        ledger.set_tenants(&[tenant(self.quota)], self.now);
        self.leader = Some((self.term, ledger));
        for gate in 0..self.gates.len() {
            if !self.gates[gate].cut_off && self.gates[gate].up {
                self.follow(gate);
            }
        }
    }

    /// Lets a gate follow the leader.
    pub fn follow(&mut self, gate: usize) {
        let Some((term, ledger)) = &mut self.leader else { return };
        ledger.add_gate(&Site::name(gate));
        self.gates[gate].cut_off = false;
        let account = &mut self.gates[gate].account;
        let report = match self.deputy {
            true => account.follow_deputy(*term, self.now),
            false => account.follow(*term, self.now),
        };
        self.gates[gate].pending.clear();
        self.send(gate, Message::Spent(report));
    }

    /// Loses the leader and what it has not told the follower.
    pub fn kill_leader(&mut self) {
        self.leader = None;
        for gate in 0..self.gates.len() {
            self.lose(gate);
        }
    }

    fn lose(&mut self, gate: usize) {
        self.gates[gate].account.lose_leader(self.now);
        let pending: Vec<Need> =
            self.gates[gate].pending.drain().map(|(_, (need, _))| need).collect();
        for need in pending {
            self.take_share(gate, need.units);
        }
    }

    /// Cuts a gate off from the leader.
    pub fn cut_off(&mut self, gate: usize) {
        self.gates[gate].cut_off = true;
        self.lose(gate);
        let (gates, now) = (self.gates.len() as u32, self.now);
        if let Some((_, ledger)) = &mut self.leader {
            ledger.remove_gate(&Site::name(gate), gates, now);
        }
    }

    pub fn restart(&mut self, gate: usize) {
        self.gates[gate] = Gate { incarnation: self.number + 1, ..Gate::new(self.now) };
        self.number += 1;
        self.follow(gate);
    }

    pub fn set_quota(&mut self, quota: Quota) {
        self.quota = quota;
        let now = self.now;
        if let Some((_, ledger)) = &mut self.leader {
            ledger.set_tenants(&[tenant(quota)], now);
        }
    }

    fn transit(&mut self) -> Duration {
        self.rng.random_range(self.delay.0..=self.delay.1)
    }

    fn send(&mut self, gate: usize, message: Message) {
        if self.gates[gate].cut_off || self.rng.random_bool(self.loss) {
            return;
        }
        let at = self.now + self.transit();
        self.number += 1;
        let incarnation = self.gates[gate].incarnation;
        let key = (at, self.number);
        self.messages.insert(key, (gate, incarnation, self.term, message));
    }

    fn gate_quota(&self, gate: usize) -> Quota {
        if self.gates[gate].cut_off { self.stale } else { self.quota }
    }

    /// Lets a caller send a request to a gate.
    pub fn request(&mut self, gate: usize, units: u64) {
        if !self.gates[gate].up || self.gates[gate].frozen {
            return;
        }
        let (now, quota) = (self.now, self.gate_quota(gate));
        match self.gates[gate].account.charge(&Name::from("t"), &quota, units, now) {
            Charge::Paid => self.admitted.push((now, units)),
            Charge::TooLarge => panic!("a request of {units} is larger than the limit"),
            Charge::Alone => self.take_share(gate, units),
            Charge::Reserve(need) => {
                self.number += 1;
                self.gates[gate].pending.insert(self.number, (need, now + TIMEOUT));
                self.send(gate, Message::Reserve(self.number, need));
            }
        }
    }

    fn take_share(&mut self, gate: usize, units: u64) {
        let (now, quota) = (self.now, self.gate_quota(gate));
        let share = (self.gates.len() as u32, self.rng.random_range(0.0..1.0));
        let (name, account) = (Name::from("t"), &mut self.gates[gate].account);
        match account.take_share(&name, &quota, units, share, now) {
            Ok(()) => {
                self.admitted.push((now, units));
                if self.leader.is_some() && !self.gates[gate].cut_off {
                    self.gates[gate].account.counted(&name, units, now);
                    let slices = vec![(0, units)];
                    self.send(gate, Message::Spent(vec![Spending { tenant: name, slices }]));
                }
            }
            Err(wait) => self.refused.push((now, units, wait)),
        }
    }

    /// Advances the time by a step, and delivers what arrives.
    pub fn step(&mut self) {
        let end = self.now + STEP;
        while let Some(entry) = self.messages.first_entry().filter(|entry| entry.key().0 <= end) {
            let ((at, _), (gate, incarnation, term, message)) = entry.remove_entry();
            self.now = at;
            let current = self.gates[gate].incarnation == incarnation && self.gates[gate].up;
            if term != self.term || self.gates[gate].cut_off {
                continue;
            }
            if let Message::Reserved(..) = &message {
                if current && self.gates[gate].frozen {
                    self.gates[gate].inbox.push(message);
                } else if current {
                    self.deliver(gate, message);
                }
                continue;
            }
            self.lead(gate, message);
        }
        self.now = end;
        self.run_timers();
    }

    fn lead(&mut self, gate: usize, message: Message) {
        let (now, name) = (self.now, Name::from("t"));
        let Some((_, ledger)) = &mut self.leader else { return };
        let sender = Site::name(gate);
        match message {
            Message::Reserve(number, need) => {
                let answer = ledger.reserve(&sender, &name, (need.units, need.extra), now);
                self.send(gate, Message::Reserved(number, answer));
            }
            Message::Unspent(units) => ledger.give_back(&sender, &name, units, now),
            Message::Spent(report) => ledger.record(&sender, &report, now),
            Message::Reserved(..) => {}
        }
    }

    fn deliver(&mut self, gate: usize, message: Message) {
        let Message::Reserved(number, answer) = message else { return };
        let (now, quota) = (self.now, self.quota);
        let Some((need, _)) = self.gates[gate].pending.remove(&number) else {
            if answer.granted > 0 {
                self.send(gate, Message::Unspent(answer.granted));
            }
            return;
        };
        let account = &mut self.gates[gate].account;
        let (name, granted) = (Name::from("t"), (answer.granted, answer.used));
        match account.settle(&name, &quota, &need, granted, now) {
            Source::Paid => self.admitted.push((now, need.units)),
            Source::Refused => {
                self.refused.push((now, need.units, answer.wait.expect("a time")));
            }
            Source::Outdated(units) => {
                if units > 0 {
                    self.send(gate, Message::Unspent(units));
                }
                self.take_share(gate, need.units);
            }
        }
    }

    fn run_timers(&mut self) {
        let now = self.now;
        for gate in 0..self.gates.len() {
            if !self.gates[gate].up || self.gates[gate].frozen {
                continue;
            }
            for message in std::mem::take(&mut self.gates[gate].inbox) {
                self.deliver(gate, message);
            }
            let pending = self.gates[gate].pending.iter();
            let late = pending.filter(|(_, (_, end))| *end <= now);
            let late: Vec<u64> = late.map(|(number, _)| *number).collect();
            for number in late {
                let Some((need, _)) = self.gates[gate].pending.remove(&number) else { continue };
                self.gates[gate].account.unanswered(now);
                self.take_share(gate, need.units);
            }
            if now.as_millis().is_multiple_of(100) {
                for (_, units) in self.gates[gate].account.take_expired(now) {
                    self.send(gate, Message::Unspent(units));
                }
            }
        }
        if let Some((_, ledger)) = &mut self.leader
            && now >= self.told + ms(500)
            && !self.deputy
        {
            self.told = now;
            let changes = ledger.take_changes(now);
            if !changes.is_empty() {
                self.follower.update(&changes, now);
            }
        }
    }

    /// Returns the largest number of units that were admitted within the window, from a time on.
    pub fn busiest(&self, from: Duration) -> u64 {
        let mut admitted: Vec<(Duration, u64)> = self.admitted.clone();
        admitted.sort_unstable();
        let (mut sum, mut most, mut first) = (0, 0, 0);
        for (at, units) in &admitted {
            sum += units;
            while admitted[first].0 + WINDOW <= *at {
                sum -= admitted[first].1;
                first += 1;
            }
            if admitted[first].0 >= from {
                most = most.max(sum);
            }
        }
        most
    }

    /// Returns the units that were admitted in a span of time.
    pub fn admitted_in(&self, from: Duration, to: Duration) -> u64 {
        let within = self.admitted.iter().filter(|(at, _)| (from..to).contains(at));
        within.map(|(_, units)| units).sum()
    }
}

impl Gate {
    fn new(now: Duration) -> Gate {
        Gate {
            account: Account::new(now),
            up: true,
            cut_off: false,
            frozen: false,
            incarnation: 0,
            pending: Map::default(),
            inbox: Vec::new(),
        }
    }
}

/// What callers send: the demand in limits per window, and the gates of which a part of the demand goes to few.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// The units that are sent, as a multiple of the sustained rate.
    pub rate: f64,
    /// The gates that get four fifths of the requests; they change every two seconds.
    pub few: usize,
    /// Whether callers send only what the limit of a window that is longer by [`MARGIN`] allows.
    pub within: bool,
}

/// By how much the ledger counts a unit for longer than the window, and the time of messages.
const MARGIN: Duration = Duration::from_millis(1_010);

/// Sends requests for a time.
pub fn run(site: &mut Site, demand: Demand, time: Duration) {
    let end = site.now + time;
    let mut debt = 0.0;
    let mut sent = VecDeque::new();
    let mut sum = 0;
    let step = 0.005;
    while site.now < end {
        debt += demand.rate * site.quota.rate * step;
        while debt > 0.0 {
            let most = (site.quota.limit().min(site.stale.limit()) / 16).clamp(1, 7_000);
            let units = site.rng.random_range(1..=most);
            let gates = site.gates.len();
            let favoured = site.rng.random_bool(0.8) && demand.few > 0;
            let moved = site.now.as_secs() as usize / 2 * 7;
            let gate = match favoured {
                true => (moved + site.rng.random_range(0..demand.few)) % gates,
                false => site.rng.random_range(0..gates),
            };
            debt -= units as f64;
            if demand.within {
                let from = site.now.saturating_sub(WINDOW + MARGIN);
                while let Some((_, units)) = sent.pop_front_if(|(at, _)| *at < from) {
                    sum -= units;
                }
                if sum + units > site.quota.limit() {
                    continue;
                }
                sent.push_back((site.now, units));
                sum += units;
            }
            site.request(gate, units);
        }
        site.step();
    }
}

const QUOTAS: [(f64, f64); 4] =
    [(4_000.0, 5_800.0), (40_000.0, 80_000.0), (400_000.0, 400_000.0), (4_000.0, 0.0)];
const GATES: [usize; 6] = [1, 2, 5, 28, 74, 700];

/// Calls `check` with sites of several sizes, quotas and seeds.
pub fn for_sites(check: impl Fn(Site, Quota, u64)) {
    let mut seed = 0;
    for gates in GATES {
        for (rate, burst) in QUOTAS {
            seed += 1;
            check(Site::new(gates, quota(rate, burst), seed), quota(rate, burst), seed);
        }
    }
}
