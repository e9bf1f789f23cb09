//! The choice of an endpoint among the candidates.

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

/// The retry delay of a caller if no endpoint is ready.
const NO_ENDPOINT_RETRY: Duration = Duration::from_secs(1);

/// A candidate with the values by which it is compared.
#[derive(Clone, Copy)]
struct Scored<'a> {
    candidate: Candidate<'a>,
    tier: Tier,
    /// Compared within a tier; higher is better.
    score: f64,
    /// The expected time until the request starts to run.
    wait: Duration,
}

/// The first criterion by which candidates are compared; a lower tier is better.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Tier {
    /// Holds the adapter and has a batch below the knee.
    BelowKnee,
    /// Holds the adapter and has room above the knee, or is a service that does not batch.
    AboveKnee,
    /// Holds or is loading the adapter; the request must wait.
    Queued,
    /// Must load the adapter.
    NeedsLoad,
    /// Must load the adapter and has many outstanding or waiting requests.
    Overloaded,
}

/// Chooses the endpoint for a request.
///
/// The candidates are the endpoints with the request's base model or service.
///
/// # Errors
///
/// [`Code::NoEndpoint`] if no candidate is ready and not excluded, [`Code::DeadlineUnreachable`] if
/// the request cannot start before its deadline at the best candidate.
pub fn choose<'a>(
    query: &Query<'a>,
    candidates: impl Iterator<Item = Candidate<'a>>,
) -> Result<Decision, Refusal> {
    let seed = query.model.map_or(query.seed, hash::seed);
    let mut selection = Selection::new(query, seed);
    for candidate in candidates {
        selection.consider(candidate);
    }
    selection.finish()
}

/// The state of a pass over the candidates. A holder holds or is loading the adapter; a loader
/// would have to load it.
struct Selection<'r, 'a> {
    query: &'r Query<'a>,
    seed: u64,
    /// The best holder.
    holder: Option<Scored<'a>>,
    /// The loaders with the highest rendezvous ranks that are not overloaded, the highest first.
    ///
    /// Invariant: at most [`shortlist_len`] long.
    loaders: Vec<Scored<'a>>,
    /// The best overloaded loader.
    overloaded: Option<Scored<'a>>,
    /// Whether the batch of every holder is full enough for a second copy.
    holders_full: bool,
    /// The highest rendezvous rank of the loaders.
    highest_rank: f64,
    alternatives: Vec<Alternative>,
}

impl<'r, 'a> Selection<'r, 'a> {
    fn new(query: &'r Query<'a>, seed: u64) -> Selection<'r, 'a> {
        Selection {
            query,
            seed,
            holder: None,
            loaders: Vec::new(),
            overloaded: None,
            holders_full: true,
            highest_rank: 0.0,
            alternatives: Vec::new(),
        }
    }

    /// Compares a candidate with the best ones so far.
    fn consider(&mut self, candidate: Candidate<'a>) {
        if !candidate.ready || candidate.batch == 0 {
            return self.reject(&candidate, Rejection::NotReady);
        }
        if self.query.excluded.contains(candidate.endpoint) {
            return self.reject(&candidate, Rejection::Excluded);
        }
        if candidate.residency == Residency::Absent && self.has_room() {
            return self.reject(&candidate, Rejection::Absent);
        }
        let scored = self.scored(candidate);
        if candidate.residency == Residency::Absent {
            self.consider_loader(scored);
        } else {
            self.holders_full &= wait::is_full(self.query, &candidate);
            self.holder = self.keep_better(self.holder, scored);
        }
    }

    /// Returns whether a holder has room in its batch, so that no other endpoint needs to load the
    /// adapter.
    fn has_room(&self) -> bool {
        self.holder.is_some_and(|holder| holder.tier < Tier::Queued)
    }

    fn consider_loader(&mut self, scored: Scored<'a>) {
        self.highest_rank = self.highest_rank.max(scored.score);
        if scored.tier == Tier::Overloaded {
            self.overloaded = self.keep_better(self.overloaded, scored);
            return;
        }
        let ahead = |other: &Scored<'_>| compare(self.query, other, &scored).is_gt();
        let index = self.loaders.partition_point(ahead);
        self.loaders.insert(index, scored);
        if self.loaders.len() > shortlist_len(self.query)
            && let Some(last) = self.loaders.pop()
        {
            self.reject(&last.candidate, Rejection::LowerRank);
        }
    }

    /// Returns the best loader: of those with the highest ranks the one with the fullest batch.
    /// This fills batches, while all gates still choose among the same few endpoints.
    fn best_loader(&mut self) -> Option<Scored<'a>> {
        let loaders = std::mem::take(&mut self.loaders);
        let mut best: Option<Scored<'a>> = None;
        for scored in loaders {
            let Some(current) = best else {
                best = Some(scored);
                continue;
            };
            let fuller = scored.candidate.in_flight > current.candidate.in_flight;
            let (better, worse) = if fuller { (scored, current) } else { (current, scored) };
            self.reject(
                &worse.candidate,
                if fuller { Rejection::Emptier } else { Rejection::LowerRank },
            );
            best = Some(better);
        }
        best.or(self.overloaded)
    }

    fn scored(&self, candidate: Candidate<'a>) -> Scored<'a> {
        let wait = wait::start_time(self.query, &candidate);
        let (tier, score) = match self.query.policy {
            Policy::Fill => self.fill_score(&candidate, wait),
            Policy::Least => (self.baseline_tier(&candidate), -outstanding(&candidate)),
            Policy::Random => {
                let rank = hash::rank(self.query.seed, candidate.endpoint, 1);
                (self.baseline_tier(&candidate), rank)
            }
        };
        Scored { candidate, tier, score, wait }
    }

    /// Returns the tier for the baseline policies, which only consider whether an engine holds the
    /// adapter.
    fn baseline_tier(&self, candidate: &Candidate<'_>) -> Tier {
        if candidate.residency == Residency::Absent { Tier::NeedsLoad } else { Tier::BelowKnee }
    }

    /// Returns the tier and the score for [`Policy::Fill`].
    fn fill_score(&self, candidate: &Candidate<'_>, wait: Duration) -> (Tier, f64) {
        match candidate.residency {
            Residency::Absent => {
                let rank = hash::rank(self.seed, candidate.endpoint, candidate.batch);
                let knee = wait::knee(self.query, candidate.batch);
                let busy = candidate.in_flight + 2 * candidate.waiting >= knee;
                (if busy { Tier::Overloaded } else { Tier::NeedsLoad }, rank)
            }
            Residency::Loaded if wait.is_zero() => {
                let in_flight = f64::from(candidate.in_flight);
                let batched = self.query.model.is_some();
                if batched && candidate.in_flight < wait::knee(self.query, candidate.batch) {
                    (Tier::BelowKnee, in_flight)
                } else {
                    (Tier::AboveKnee, -in_flight)
                }
            }
            Residency::Loaded | Residency::Loading => (Tier::Queued, -wait.as_secs_f64()),
        }
    }

    /// Returns the better of two candidates and records the rejection of the other.
    fn keep_better(&mut self, best: Option<Scored<'a>>, scored: Scored<'a>) -> Option<Scored<'a>> {
        let Some(best) = best else { return Some(scored) };
        let (better, worse) = match compare(self.query, &best, &scored) {
            Ordering::Less => (scored, best),
            Ordering::Equal | Ordering::Greater => (best, scored),
        };
        let rejection = rejection(self.query, &better, &worse);
        self.reject(&worse.candidate, rejection);
        Some(better)
    }

    fn reject(&mut self, candidate: &Candidate<'_>, rejection: Rejection) {
        if self.alternatives.len() < MAX_ALTERNATIVES {
            self.alternatives.push(Alternative { endpoint: candidate.endpoint.clone(), rejection });
        }
    }

    fn finish(mut self) -> Result<Decision, Refusal> {
        let loader = self.best_loader();
        let (chosen, reason) = match (self.holder, loader) {
            (None, None) => return Err(self.refuse(Code::NoEndpoint, NO_ENDPOINT_RETRY)),
            (Some(holder), None) => (holder, self.holder_reason(&holder)),
            (None, Some(loader)) => (loader, self.loader_reason(&loader)),
            (Some(holder), Some(loader)) if self.needs_second_copy(&holder, &loader) => {
                self.reject(&holder.candidate, Rejection::Full);
                (loader, Reason::SecondCopy)
            }
            (Some(holder), Some(loader)) => {
                self.reject(&loader.candidate, Rejection::Absent);
                (holder, self.holder_reason(&holder))
            }
        };
        if chosen.wait > self.query.remaining {
            self.reject(&chosen.candidate, Rejection::Deadline);
            return Err(self.refuse(Code::DeadlineUnreachable, chosen.wait));
        }
        Ok(Decision {
            endpoint: chosen.candidate.endpoint.clone(),
            gate: chosen.candidate.gate.clone(),
            owned: chosen.candidate.owned,
            reason,
            wait: chosen.wait,
            alternatives: self.alternatives,
        })
    }

    fn refuse(self, code: Code, retry_after: Duration) -> Refusal {
        Refusal { code, retry_after: Some(retry_after), alternatives: self.alternatives }
    }

    /// Returns whether a second copy of the adapter is worth its load.
    fn needs_second_copy(&self, holder: &Scored<'_>, loader: &Scored<'_>) -> bool {
        let worthwhile =
            holder.wait > wait::copy_threshold(self.query) && loader.wait < holder.wait;
        let late = holder.wait > self.query.remaining && loader.wait <= self.query.remaining;
        self.query.allow_second_copy
            && self.query.policy == Policy::Fill
            && self.holders_full
            && holder.tier == Tier::Queued
            && loader.tier == Tier::NeedsLoad
            && (worthwhile || late)
    }

    /// Returns whether an overloaded endpoint has a higher rank than the chosen loader.
    fn skipped_overloaded(&self, loader: &Scored<'_>) -> bool {
        self.overloaded.is_some_and(|overloaded| overloaded.score > loader.score)
    }

    fn holder_reason(&self, holder: &Scored<'_>) -> Reason {
        match (self.query.policy, holder.tier) {
            (Policy::Least, _) => Reason::Least,
            (Policy::Random, _) => Reason::Random,
            _ if holder.candidate.residency == Residency::Loading => Reason::SharesLoad,
            (_, Tier::BelowKnee) if self.query.prefix_affinity && holder.candidate.prefix_hit => {
                Reason::Prefix
            }
            (_, Tier::BelowKnee) => Reason::FillsBatch,
            (_, Tier::AboveKnee) => Reason::LeastFull,
            _ => Reason::ShortestWait,
        }
    }

    fn loader_reason(&self, loader: &Scored<'_>) -> Reason {
        match self.query.policy {
            Policy::Least => Reason::Least,
            Policy::Random => Reason::Random,
            Policy::Fill if loader.score >= self.highest_rank => Reason::Hash,
            Policy::Fill if loader.tier == Tier::Overloaded => Reason::Spill,
            Policy::Fill if self.skipped_overloaded(loader) => Reason::Spill,
            Policy::Fill => Reason::Packed,
        }
    }
}

/// Returns the number of endpoints with the highest ranks among which the fullest is chosen to load
/// an adapter: from 2 at stall weight 100 to 7 at 0, and 1 for the baselines.
fn shortlist_len(query: &Query<'_>) -> usize {
    match query.policy {
        Policy::Fill => 2 + usize::from(100 - query.stall_weight.min(100)) / 20,
        Policy::Least | Policy::Random => 1,
    }
}

/// Returns the number of requests that an endpoint has yet to answer.
fn outstanding(candidate: &Candidate<'_>) -> f64 {
    f64::from(candidate.in_flight + candidate.waiting)
}

/// Compares two candidates; the greater is better. Names break ties, so that all gates agree.
fn compare(query: &Query<'_>, left: &Scored<'_>, right: &Scored<'_>) -> Ordering {
    let tier = right.tier.cmp(&left.tier);
    if left.tier == Tier::Overloaded && tier.is_eq() {
        let shorter = right.wait.cmp(&left.wait);
        return shorter.then_with(|| left.score.total_cmp(&right.score));
    }
    tier.then_with(|| left.score.total_cmp(&right.score))
        .then_with(|| prefix_hit(query, left).cmp(&prefix_hit(query, right)))
        .then_with(|| left.candidate.owned.cmp(&right.candidate.owned))
        .then_with(|| prefix_rank(query, left).total_cmp(&prefix_rank(query, right)))
        .then_with(|| right.candidate.endpoint.cmp(left.candidate.endpoint))
}

/// Returns the rank of an endpoint for the prompt's prefix. Reports of cached prefixes are late and
/// incomplete, so this sends prompts with the same prefix to the same endpoint.
fn prefix_rank(query: &Query<'_>, scored: &Scored<'_>) -> f64 {
    match query.prefix {
        Some(prefix) if query.prefix_affinity => hash::rank(prefix, scored.candidate.endpoint, 1),
        _ => 0.0,
    }
}

/// Returns whether a candidate has the prompt's prefix in its cache and the query considers that.
fn prefix_hit(query: &Query<'_>, scored: &Scored<'_>) -> bool {
    query.prefix_affinity && scored.candidate.prefix_hit
}

/// Returns the reason why `worse` was rejected in favor of `better`.
fn rejection(query: &Query<'_>, better: &Scored<'_>, worse: &Scored<'_>) -> Rejection {
    if better.tier != worse.tier {
        return match worse.tier {
            Tier::BelowKnee | Tier::AboveKnee => Rejection::AboveKnee,
            Tier::Queued if worse.candidate.residency == Residency::Loading => Rejection::Loading,
            Tier::Queued => Rejection::Full,
            Tier::NeedsLoad => Rejection::Absent,
            Tier::Overloaded => Rejection::Overloaded,
        };
    }
    if better.score != worse.score {
        return match worse.tier {
            Tier::BelowKnee if query.policy == Policy::Fill => Rejection::Emptier,
            Tier::BelowKnee | Tier::AboveKnee => Rejection::Fuller,
            Tier::Queued | Tier::Overloaded => Rejection::LongerWait,
            Tier::NeedsLoad => Rejection::LowerRank,
        };
    }
    if prefix_hit(query, better) != prefix_hit(query, worse) {
        Rejection::NoPrefix
    } else {
        Rejection::OtherGate
    }
}
