//! Quick trials of the decisions on a small model of a site; its figures are trials.
//!
//! `cargo run --release -p place --example model -- [--site NAME] [--seeds N] [--minutes N]
//! [--flip] [--restart] [--skew N] [--lag-ms N]
//! [--half-life-ms N] [--stall-limit-ms N] [--spare-slots N] [VARIANT…]`

mod run;
mod site;
mod stats;
mod view;

use conf::section::Part;
use conf::section::Placement;
use conf::section::Scheme;
use lexopt::Arg;
use lexopt::ValueExt;

use crate::site::Site;
use crate::stats::Stats;

/// Shares of the capacity for loads at which the site is tried.
const LOADS: [f64; 4] = [0.5, 0.8, 1.0, 1.5];

/// What is tried.
pub(crate) struct Trial {
    site: Option<String>,
    seeds: u64,
    /// The minutes of a run, of which the first quarter is not counted.
    pub(crate) minutes: u64,
    /// Whether popularity flips in the middle of a run.
    pub(crate) flip: bool,
    /// Whether an engine restarts with nothing loaded every minute.
    pub(crate) restart: bool,
    /// How often gates tell each other of their engines, in milliseconds.
    pub(crate) lag_ms: u64,
    /// The exponent of the popularity of adapters, if it is not the site's.
    skew: Option<f64>,
    settings: Placement,
    /// The variants; all if empty.
    wanted: Vec<String>,
}

fn main() -> Result<(), lexopt::Error> {
    let trial = parse()?;
    for mut site in [Site::hsinchu(), Site::selat()] {
        site.skew = trial.skew.unwrap_or(site.skew);
        if trial.site.as_ref().is_none_or(|wanted| wanted == site.name) {
            compare(&site, &trial);
        }
    }
    Ok(())
}

fn parse() -> Result<Trial, lexopt::Error> {
    let settings = Placement::default();
    let mut trial = Trial {
        site: None,
        seeds: 3,
        minutes: 20,
        flip: false,
        restart: false,
        lag_ms: 100,
        skew: None,
        settings,
        wanted: Vec::new(),
    };
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Long("site") => trial.site = Some(parser.value()?.string()?),
            Arg::Long("seeds") => trial.seeds = parser.value()?.parse()?,
            Arg::Long("minutes") => trial.minutes = parser.value()?.parse()?,
            Arg::Long("flip") => trial.flip = true,
            Arg::Long("restart") => trial.restart = true,
            Arg::Long("lag-ms") => trial.lag_ms = parser.value()?.parse()?,
            Arg::Long("skew") => trial.skew = Some(parser.value()?.parse()?),
            Arg::Long("half-life-ms") => trial.settings.half_life_ms = parser.value()?.parse()?,
            Arg::Long("stall-limit-ms") => {
                trial.settings.stall_limit_ms = parser.value()?.parse()?;
            }
            Arg::Long("spare-slots") => trial.settings.spare_slots = parser.value()?.parse()?,
            Arg::Value(variant) => trial.wanted.push(variant.string()?),
            other => return Err(other.unexpected()),
        }
    }
    Ok(trial)
}

fn compare(site: &Site, trial: &Trial) {
    println!(
        "\n{}: capacity for loads {:.1}/s, for batches {:.1}/s; {} seeds, {} min{}",
        site.name,
        site.load_capacity(),
        site.batch_capacity(),
        trial.seeds,
        trial.minutes,
        match (trial.flip, trial.restart) {
            (true, _) => ", popularity flips",
            (_, true) => ", an engine restarts each minute",
            _ => "",
        },
    );
    println!("load variant          {}", Stats::HEAD);
    for load in LOADS {
        for (name, settings) in variants(&trial.settings) {
            if !trial.wanted.is_empty() && !trial.wanted.iter().any(|wanted| wanted == name) {
                continue;
            }
            let mut stats = Stats::default();
            for seed in 1..=trial.seeds {
                stats.add(run::run(site, &settings, load, seed, trial));
            }
            println!("{load:<4} {name:<16} {}", stats.row());
        }
    }
}

/// The settings that are compared.
fn variants(settings: &Placement) -> Vec<(&'static str, Placement)> {
    let without = |off: &[Part]| Placement { off: off.to_vec(), ..settings.clone() };
    let baseline = |policy| Placement { policy, ..settings.clone() };
    let oldest_lru = [
        Part::Worth,
        Part::Popularity,
        Part::Aging,
        Part::SpareSlots,
        Part::Copies,
        Part::Reload,
        Part::Prefetch,
        Part::StallLimit,
    ];
    vec![
        ("ours", settings.clone()),
        ("oldest+lru", without(&oldest_lru)),
        ("least_lru", baseline(Scheme::LeastLru)),
        ("random_lru", baseline(Scheme::RandomLru)),
        ("no_fill", without(&[Part::Fill])),
        ("no_worth", without(&[Part::Worth])),
        ("no_aging", without(&[Part::Aging])),
        ("no_popularity", without(&[Part::Popularity])),
        ("no_spare_slots", without(&[Part::SpareSlots])),
        ("no_copies", without(&[Part::Copies])),
        ("no_reload", without(&[Part::Reload])),
        ("no_prefetch", without(&[Part::Prefetch])),
        ("no_stall_limit", without(&[Part::StallLimit])),
    ]
}
