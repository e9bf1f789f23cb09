//! The decision of an endpoint.

use std::cmp::Ordering;
use std::time::Duration;

use base::Code;

use crate::candidate::Candidate;
use crate::candidate::Residency;
use crate::decision::Alternative;
use crate::decision::Decision;
use crate::decision::MAX_ALTERNATIVES;
use crate::decision::Reason;
use crate::decision::Refusal;
use crate::decision::Rejection;
use crate::hash;
use crate::query::Policy;
use crate::query::Query;
use crate::wait;

/// When a caller should come back if no endpoint is ready.
const NO_ENDPOINT_RETRY: Duration = Duration::from_secs(1);

/// A candidate with what it is compared by.
#[derive(Clone, Copy)]
struct Entrant<'a> {
    candidate: Candidate<'a>,
    tier: Tier,
    /// Compared within a tier: higher is better.
    score: f64,
    wait: Duration,
}

/// How good a candidate is before the details: a lower tier wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Tier {
    /// Holds the adapter, below the knee.
    BelowKnee,
    /// Holds the adapter, room above the knee; or a plain service, which has no use for batches.
    AboveKnee,
    /// Holds or loads the adapter and the request waits.
    Waits,
    /// Has to load the adapter.
    Loads,
    /// Has to load the adapter and has much waiting.
    Overloaded,
}

/// Chooses the endpoint that is to answer a request, or says why none can.
///
/// The candidates are the endpoints of the request's base model or kind of service. Errors:
/// [`Code::NoEndpoint`] if none is ready, [`Code::DeadlineUnreachable`] if the request cannot
/// start before its deadline at any of them.
pub fn choose<'a>(
    query: &Query<'a>,
    candidates: impl Iterator<Item = Candidate<'a>>,
) -> Result<Decision, Refusal> {
    let seed = query.model.map_or(query.seed, hash::seed);
    let mut race = Race::new(query, seed);
    for candidate in candidates {
        race.enter(candidate);
    }
    race.finish()
}

/// The state of one pass over the candidates.
struct Race<'r, 'a> {
    query: &'r Query<'a>,
    seed: u64,
    /// The best of those that hold or load the adapter.
    holder: Option<Entrant<'a>>,
    /// The first by rank of those that would have to load it and are not overloaded, in order.
    ///
    /// Invariant: at most [`choices`] long.
    loaders: Vec<Entrant<'a>>,
    /// The best of those that would have to load it and are overloaded.
    overloaded: Option<Entrant<'a>>,
    /// Whether each holder is full enough for a second copy.
    full: bool,
    /// The highest rank of those that would have to load it.
    first: f64,
    alternatives: Vec<Alternative>,
}

impl<'r, 'a> Race<'r, 'a> {
    fn new(query: &'r Query<'a>, seed: u64) -> Race<'r, 'a> {
        Race {
            query,
            seed,
            holder: None,
            loaders: Vec::new(),
            overloaded: None,
            full: true,
            first: 0.0,
            alternatives: Vec::new(),
        }
    }

    fn enter(&mut self, candidate: Candidate<'a>) {
        if !candidate.ready || candidate.batch == 0 {
            return self.lose(&candidate, Rejection::NotReady);
        }
        if self.query.excluded.contains(candidate.endpoint) {
            return self.lose(&candidate, Rejection::Excluded);
        }
        if candidate.residency == Residency::Absent && self.has_room() {
            return self.lose(&candidate, Rejection::Absent);
        }
        let entrant = self.entrant(candidate);
        if candidate.residency == Residency::Absent {
            self.enter_loader(entrant);
        } else {
            self.full &= wait::is_full(self.query, &candidate);
            self.holder = self.better(self.holder, entrant);
        }
    }

    /// Whether an endpoint that holds the adapter has room, so that none needs to load it.
    fn has_room(&self) -> bool {
        self.holder.is_some_and(|holder| holder.tier < Tier::Waits)
    }

    fn enter_loader(&mut self, entrant: Entrant<'a>) {
        self.first = self.first.max(entrant.score);
        if entrant.tier == Tier::Overloaded {
            self.overloaded = self.better(self.overloaded, entrant);
            return;
        }
        let ahead = |other: &Entrant<'_>| compare(self.query, other, &entrant).is_gt();
        let index = self.loaders.partition_point(ahead);
        self.loaders.insert(index, entrant);
        if self.loaders.len() > choices(self.query)
            && let Some(last) = self.loaders.pop()
        {
            self.lose(&last.candidate, Rejection::LowerRank);
        }
    }

    /// The best of those that would have to load the adapter: of the first by rank the one with the
    /// fullest batch, so that batches fill and yet all gates look at the same few.
    fn loader(&mut self) -> Option<Entrant<'a>> {
        let loaders = std::mem::take(&mut self.loaders);
        let mut best: Option<Entrant<'a>> = None;
        for entrant in loaders {
            let Some(before) = best else {
                best = Some(entrant);
                continue;
            };
            let fuller = entrant.candidate.in_flight > before.candidate.in_flight;
            let (winner, loser) = if fuller { (entrant, before) } else { (before, entrant) };
            self.lose(
                &loser.candidate,
                if fuller { Rejection::Emptier } else { Rejection::LowerRank },
            );
            best = Some(winner);
        }
        best.or(self.overloaded)
    }

    fn entrant(&self, candidate: Candidate<'a>) -> Entrant<'a> {
        let wait = wait::start(self.query, &candidate);
        let (tier, score) = match self.query.policy {
            Policy::Fill => self.fill(&candidate, wait),
            Policy::Least => (self.plain(&candidate), -load(&candidate)),
            Policy::Random => {
                let rank = hash::rank(self.query.seed, candidate.endpoint, 1);
                (self.plain(&candidate), rank)
            }
        };
        Entrant { candidate, tier, score, wait }
    }

    /// The baselines know only whether an engine holds the adapter.
    fn plain(&self, candidate: &Candidate<'_>) -> Tier {
        if candidate.residency == Residency::Absent { Tier::Loads } else { Tier::BelowKnee }
    }

    fn fill(&self, candidate: &Candidate<'_>, wait: Duration) -> (Tier, f64) {
        match candidate.residency {
            Residency::Absent => {
                let rank = hash::rank(self.seed, candidate.endpoint, candidate.batch);
                let knee = wait::knee(self.query, candidate.batch);
                let busy = candidate.in_flight + 2 * candidate.waiting >= knee;
                (if busy { Tier::Overloaded } else { Tier::Loads }, rank)
            }
            Residency::Loaded if wait.is_zero() => {
                let in_flight = f64::from(candidate.in_flight);
                let batches = self.query.model.is_some();
                if batches && candidate.in_flight < wait::knee(self.query, candidate.batch) {
                    (Tier::BelowKnee, in_flight)
                } else {
                    (Tier::AboveKnee, -in_flight)
                }
            }
            Residency::Loaded | Residency::Loading => (Tier::Waits, -wait.as_secs_f64()),
        }
    }

    /// Returns the better of two and notes why the other lost.
    fn better(&mut self, best: Option<Entrant<'a>>, entrant: Entrant<'a>) -> Option<Entrant<'a>> {
        let Some(best) = best else { return Some(entrant) };
        let (winner, loser) = match compare(self.query, &best, &entrant) {
            Ordering::Less => (entrant, best),
            Ordering::Equal | Ordering::Greater => (best, entrant),
        };
        let loss = loss(self.query, &winner, &loser);
        self.lose(&loser.candidate, loss);
        Some(winner)
    }

    fn lose(&mut self, candidate: &Candidate<'_>, loss: Rejection) {
        if self.alternatives.len() < MAX_ALTERNATIVES {
            self.alternatives
                .push(Alternative { endpoint: candidate.endpoint.clone(), rejection: loss });
        }
    }

    fn finish(mut self) -> Result<Decision, Refusal> {
        let loader = self.loader();
        let (winner, reason) = match (self.holder, loader) {
            (None, None) => return Err(self.refuse(Code::NoEndpoint, NO_ENDPOINT_RETRY)),
            (Some(holder), None) => (holder, self.holder_reason(&holder)),
            (None, Some(loader)) => (loader, self.loader_reason(&loader)),
            (Some(holder), Some(loader)) if self.copies(&holder, &loader) => {
                self.lose(&holder.candidate, Rejection::Full);
                (loader, Reason::SecondCopy)
            }
            (Some(holder), Some(loader)) => {
                self.lose(&loader.candidate, Rejection::Absent);
                (holder, self.holder_reason(&holder))
            }
        };
        if winner.wait > self.query.remaining {
            self.lose(&winner.candidate, Rejection::Deadline);
            return Err(self.refuse(Code::DeadlineUnreachable, winner.wait));
        }
        Ok(Decision {
            endpoint: winner.candidate.endpoint.clone(),
            gate: winner.candidate.gate.clone(),
            owned: winner.candidate.owned,
            reason,
            wait: winner.wait,
            alternatives: self.alternatives,
        })
    }

    fn refuse(self, code: Code, retry_after: Duration) -> Refusal {
        Refusal { code, retry_after: Some(retry_after), alternatives: self.alternatives }
    }

    /// Whether a second copy is worth a load.
    fn copies(&self, holder: &Entrant<'_>, loader: &Entrant<'_>) -> bool {
        let worth = holder.wait > wait::copy_threshold(self.query) && loader.wait < holder.wait;
        let late = holder.wait > self.query.remaining && loader.wait <= self.query.remaining;
        self.query.copies
            && self.query.policy == Policy::Fill
            && self.full
            && holder.tier == Tier::Waits
            && loader.tier == Tier::Loads
            && (worth || late)
    }

    /// Whether an overloaded endpoint of a higher rank was passed over.
    fn is_passed_over(&self, loader: &Entrant<'_>) -> bool {
        self.overloaded.is_some_and(|overloaded| overloaded.score > loader.score)
    }

    fn holder_reason(&self, holder: &Entrant<'_>) -> Reason {
        match (self.query.policy, holder.tier) {
            (Policy::Least, _) => Reason::Least,
            (Policy::Random, _) => Reason::Random,
            _ if holder.candidate.residency == Residency::Loading => Reason::SharesLoad,
            (_, Tier::BelowKnee) if self.query.affinity && holder.candidate.prefix_hit => {
                Reason::Prefix
            }
            (_, Tier::BelowKnee) => Reason::FillsBatch,
            (_, Tier::AboveKnee) => Reason::LeastFull,
            _ => Reason::ShortestWait,
        }
    }

    fn loader_reason(&self, loader: &Entrant<'_>) -> Reason {
        match self.query.policy {
            Policy::Least => Reason::Least,
            Policy::Random => Reason::Random,
            Policy::Fill if loader.score >= self.first => Reason::Hash,
            Policy::Fill if loader.tier == Tier::Overloaded => Reason::Spill,
            Policy::Fill if self.is_passed_over(loader) => Reason::Spill,
            Policy::Fill => Reason::Packed,
        }
    }
}

/// The number of endpoints, the first by rank, of which the fullest loads an adapter: from 2 at
/// stall weight 100 to 7 at 0; the baselines take the first.
fn choices(query: &Query<'_>) -> usize {
    match query.policy {
        Policy::Fill => 2 + usize::from(100 - query.stall_weight.min(100)) / 20,
        Policy::Least | Policy::Random => 1,
    }
}

/// The requests that an endpoint has to serve.
fn load(candidate: &Candidate<'_>) -> f64 {
    f64::from(candidate.in_flight + candidate.waiting)
}

/// Compares two entrants: the greater is better. Names decide last, so that all gates agree.
fn compare(query: &Query<'_>, left: &Entrant<'_>, right: &Entrant<'_>) -> Ordering {
    let tier = right.tier.cmp(&left.tier);
    if left.tier == Tier::Overloaded && tier.is_eq() {
        let shorter = right.wait.cmp(&left.wait);
        return shorter.then_with(|| left.score.total_cmp(&right.score));
    }
    tier.then_with(|| left.score.total_cmp(&right.score))
        .then_with(|| prefix(query, left).cmp(&prefix(query, right)))
        .then_with(|| left.candidate.owned.cmp(&right.candidate.owned))
        .then_with(|| likely_prefix(query, left).total_cmp(&likely_prefix(query, right)))
        .then_with(|| right.candidate.endpoint.cmp(left.candidate.endpoint))
}

/// Sends the same prefix to the same endpoint, since reports of cached prefixes are late and have
/// gaps.
fn likely_prefix(query: &Query<'_>, entrant: &Entrant<'_>) -> f64 {
    match query.prefix {
        Some(prefix) if query.affinity => hash::rank(prefix, entrant.candidate.endpoint, 1),
        _ => 0.0,
    }
}

fn prefix(query: &Query<'_>, entrant: &Entrant<'_>) -> bool {
    query.affinity && entrant.candidate.prefix_hit
}

/// Says why `loser` lost against `winner`.
fn loss(query: &Query<'_>, winner: &Entrant<'_>, loser: &Entrant<'_>) -> Rejection {
    if winner.tier != loser.tier {
        return match loser.tier {
            Tier::BelowKnee | Tier::AboveKnee => Rejection::AboveKnee,
            Tier::Waits if loser.candidate.residency == Residency::Loading => Rejection::Loading,
            Tier::Waits => Rejection::Full,
            Tier::Loads => Rejection::Absent,
            Tier::Overloaded => Rejection::Overloaded,
        };
    }
    if winner.score != loser.score {
        return match loser.tier {
            Tier::BelowKnee if query.policy == Policy::Fill => Rejection::Emptier,
            Tier::BelowKnee | Tier::AboveKnee => Rejection::Fuller,
            Tier::Waits | Tier::Overloaded => Rejection::LongerWait,
            Tier::Loads => Rejection::LowerRank,
        };
    }
    if prefix(query, winner) != prefix(query, loser) {
        Rejection::NoPrefix
    } else {
        Rejection::OtherGate
    }
}
